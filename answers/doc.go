// Package answers analyses the logs of all nodes and reports the outcomes of requests: how many
// answers were complete, began late or paused, and why the others failed, by cause and by time. It
// needs only the log lines that a node writes in production.
//
// A request that is in flight when its node is killed leaves no log line. The only trace of such
// requests is the time of the node's next start.
package answers
