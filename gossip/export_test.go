package gossip

import "time"

// LiveTime is how long a node of a group of so many counts as live after its last datagram,
// and Period the time between two.
func LiveTime(members int) (live, period time.Duration) {
	r := rounds{members: members}
	return r.liveTime(), r.period()
}
