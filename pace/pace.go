// Package pace shares a rate among nodes that do not talk to each other. Each has turns of its own
// at times that a hash gives, or slots that are evenly spread by the order of the nodes' names and
// the time of day.
package pace

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"
)

// Length is how long a turn can be used. A turn that is not used is lost, so that nodes with
// unused turns cannot all use them at the same moment.
const Length = 100 * time.Millisecond

const (
	// limitShare is the part of an endpoint's limit that is used. The rest is for requests whose
	// sender did not know yet, and for slots that lie close together.
	limitShare = 0.9
	// leastLimit is the rate, in requests a second, for endpoints that name less: their answers
	// alone tell when the limit ends.
	leastLimit = 0.25
)

// LimitRate is the number of requests a second that are sent, by all together, to an endpoint
// that takes perSecond.
func LimitRate(perSecond float64) float64 { return limitShare * max(perSecond, leastLimit) }

// Turn returns when a node's last turn at an endpoint began and when its next one begins, where
// that many nodes together have perSecond turns a second. Nodes with clocks of different origins
// have different turns all the same.
func Turn(node string, endpoint uint32, nodes int, perSecond float64, now time.Duration) (began, next time.Duration) {
	period := max(time.Duration(float64(nodes)/perSecond*float64(time.Second)), shortestSlot)
	phase := time.Duration(float64(order(node, endpoint)) / math.MaxUint64 * float64(period))
	began = now - (now+period-phase)%period
	return began, began + period
}

// order is a hash of a node's name for an endpoint.
func order(node string, endpoint uint32) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint32(nil, endpoint))
	_, _ = h.Write([]byte(node))
	return mix(h.Sum64())
}

// mix spreads a hash over all its bits (the finalizer of MurmurHash3): names that differ in the
// last digit only would otherwise get turns close to each other.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// Key is the number of an endpoint that is known by its name.
func Key(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}
