// Package answers reads the logs of all nodes and tells where the answers went: how many
// were whole, late to begin or paused, and why the others were lost, by cause and by time.
// It needs nothing but the lines that a node writes in production.
//
// A request that is under way when its node is killed leaves no line; what the other
// lines show of it is the time of the node's next start.
package answers
