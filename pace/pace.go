// Package pace divides a request rate among nodes without any communication between them. A node
// sends either in turns, whose times follow from a hash of its name, or in slots, which are spread
// evenly by the order of the nodes' names and the time of day.
package pace

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"
)

// TurnLength is how long a turn can be used. An unused turn is lost, so that nodes with unused
// turns cannot use them all at the same moment.
const TurnLength = 100 * time.Millisecond

const (
	// limitShare is the share of an endpoint's limit that is used. The remainder covers requests
	// from senders that did not know the limit yet, and slots that lie close together.
	limitShare = 0.9
	// minLimitPerSecond is the rate, in requests per second, that is used for endpoints with a
	// lower limit: only the answers to requests show when the limit ends.
	minLimitPerSecond = 0.25
)

// LimitRate returns the number of requests per second that all nodes together send to an endpoint
// whose limit is perSecond.
func LimitRate(perSecond float64) float64 { return limitShare * max(perSecond, minLimitPerSecond) }

// Turn returns when a node's latest turn at an endpoint began and when its next one begins, if the
// given number of nodes together have perSecond turns per second. The nodes' turns are spread even
// if their monotonic clocks have different origins.
func Turn(node string, endpoint uint32, nodes int, perSecond float64, now time.Duration) (began, next time.Duration) {
	period := max(time.Duration(float64(nodes)/perSecond*float64(time.Second)), minSlotSpacing)
	phase := time.Duration(float64(rankHash(node, endpoint)) / math.MaxUint64 * float64(period))
	began = now - (now+period-phase)%period
	return began, began + period
}

// rankHash returns a hash of a node's name and an endpoint, which orders the nodes for the
// endpoint.
func rankHash(node string, endpoint uint32) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint32(nil, endpoint))
	_, _ = h.Write([]byte(node))
	return mix(h.Sum64())
}

// mix spreads a hash over all its bits (the finalizer of MurmurHash3). Otherwise, names that differ
// only in the last digit would get turns close to each other.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// EndpointKey returns the number that identifies the endpoint with the given name in Rank and Turn.
func EndpointKey(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}
