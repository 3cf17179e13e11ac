package pace

import "time"

const (
	// SlotLength is how long a slot can be used.
	SlotLength = 500 * time.Millisecond
	// leastGap is the least time between two uses of a node's slots, in periods. It bounds what a
	// node sends whose time of day jumps.
	leastGap = 0.5
	// shortestSlot is the time between two slots for rates that no endpoint comes near.
	shortestSlot = time.Microsecond
)

// Slots are a node's, one in each period. Those of all nodes are evenly spread as long as their
// times of day agree; where they do not, a node still uses its own once a period.
type Slots struct {
	// Rank is the node's place among so many nodes.
	Rank, Nodes int
	// PerSecond is the number of slots a second of all nodes together at most.
	PerSecond float64
}

// places is the number of slots in a period: a little more than the nodes. Nodes whose numbers differ
// by one or two mostly have the same, and slots that fit each other.
func (s Slots) places() int {
	n := 1
	for n < s.Nodes {
		n = max(n+1, n+n/4)
	}
	return n
}

// Until returns the time until the node may send: 0 for now. Wall is the time of day, now a
// monotonic clock, and used the time by that clock at which the node last sent; 0 for never.
func (s Slots) Until(wall time.Time, now, used time.Duration) time.Duration {
	each := max(time.Duration(float64(time.Second)/s.PerSecond), shortestSlot)
	places := s.places()
	period, begin := time.Duration(places)*each, time.Duration(s.Rank*places/s.Nodes)*each
	ago := (time.Duration(wall.UnixNano()%int64(period)) + period - begin) % period
	if used != 0 {
		if gap := time.Duration(leastGap * float64(period)); now-used < gap {
			return max(gap-(now-used), time.Nanosecond)
		}
	}
	if ago < SlotLength && (used == 0 || used < now-ago) {
		return 0
	}
	return period - ago
}

// Rank returns a node's place among all for an endpoint, by a hash of the names: each endpoint has
// an order of its own, and a name more or less moves the others by one place at most.
func Rank(node string, all []string, endpoint uint32) int {
	own, rank := order(node, endpoint), 0
	for _, name := range all {
		if h := order(name, endpoint); h < own || (h == own && name < node) {
			rank++
		}
	}
	return rank
}
