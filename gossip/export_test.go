package gossip

import "time"

// LiveTime returns how long a node of a group with the given number of members counts as live after
// its last datagram, and the period between two datagrams.
func LiveTime(members int) (live, period time.Duration) {
	r := roundSchedule{members: members}
	return r.liveTime(), r.period()
}
