package pace

import "time"

const (
	// SlotLength is how long a slot can be used.
	SlotLength = 500 * time.Millisecond
	// minGapPeriods is the minimum time between two uses of a node's slots, as a fraction of a
	// period. It bounds the rate of a node whose time of day jumps.
	minGapPeriods = 0.5
	// minSlotSpacing is the minimum time between two slots. It applies to rates that no endpoint
	// comes near.
	minSlotSpacing = time.Microsecond
)

// Slots are the time slots of one node, one in each period. The slots of all nodes are spread
// evenly as long as their times of day agree; if they do not, a node still uses its slot at most
// once per period.
type Slots struct {
	// Rank is the rank of the node, from 0, and Nodes the number of nodes.
	Rank, Nodes int
	// PerSecond is the maximum number of slots per second of all nodes together.
	PerSecond float64
	// Length is how long a slot can be used, 0 for SlotLength. Nodes whose slots overlap may send at
	// the same moment.
	Length time.Duration
}

// length returns how long a slot can be used.
func (s Slots) length() time.Duration {
	if s.Length > 0 {
		return s.Length
	}
	return SlotLength
}

// slotsPerPeriod returns the number of slots in a period, which slightly exceeds the number of
// nodes. Nodes whose counts of nodes differ by one or two mostly get the same number, so that their
// slots do not overlap.
func (s Slots) slotsPerPeriod() int {
	n := 1
	for n < s.Nodes {
		n = max(n+1, n+n/4)
	}
	return n
}

// Until returns the time until the node may send; 0 if it may send now. Wall is the time of day,
// now the time of a monotonic clock, and lastSent the time of that clock at which the node last
// sent; 0 if it never did.
func (s Slots) Until(wall time.Time, now, lastSent time.Duration) time.Duration {
	spacing := max(time.Duration(float64(time.Second)/s.PerSecond), minSlotSpacing)
	slotCount := s.slotsPerPeriod()
	period, offset := time.Duration(slotCount)*spacing, time.Duration(s.Rank*slotCount/s.Nodes)*spacing
	sinceBegin := (time.Duration(wall.UnixNano()%int64(period)) + period - offset) % period
	if lastSent != 0 {
		if gap := time.Duration(minGapPeriods * float64(period)); now-lastSent < gap {
			return max(gap-(now-lastSent), time.Nanosecond)
		}
	}
	if sinceBegin < s.length() && (lastSent == 0 || lastSent < now-sinceBegin) {
		return 0
	}
	return period - sinceBegin
}

// Rank returns the rank of a node among all nodes for an endpoint, by a hash of the names. Each
// endpoint has its own order, and adding or removing a name moves the others by at most one rank.
func Rank(node string, all []string, endpoint uint32) int {
	own, rank := rankHash(node, endpoint), 0
	for _, name := range all {
		if h := rankHash(name, endpoint); h < own || (h == own && name < node) {
			rank++
		}
	}
	return rank
}
