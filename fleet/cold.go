package fleet

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"

	"github.com/crocusreel/crocusreel/routing"
)

// A cold endpoint bears few requests a second, from all nodes together, and crashes above
// that. Nodes do not agree on who sends: each has turns of its own at each cold endpoint, one
// in every nodes/rate seconds, at a time that a hash of both names gives. A turn that is not
// used soon is lost, so that nodes with unused turns cannot all send at the same moment. A
// lost datagram or a late one changes nothing, as long as a node does not take the others for
// fewer than they are.

const (
	// coldShare is the part of what a cold endpoint bears that nodes send it. The rest is for
	// requests that were sent before its sender knew, and for late ones.
	coldShare = 0.8
	// coldTurnLength is how long a turn can be used.
	coldTurnLength = 100 * time.Millisecond
)

// coldTurn returns when the node's last turn at a cold endpoint began and when the next one
// begins. Rate is what the endpoint bears a second.
func coldTurn(node string, endpoint EndpointKey, nodes int, rate float64, now time.Duration) (began, next time.Duration) {
	period := time.Duration(float64(nodes) / (coldShare * rate) * float64(time.Second))
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(endpoint)))
	_, _ = h.Write([]byte(node))
	phase := time.Duration(float64(mix(h.Sum64())) / math.MaxUint64 * float64(period))
	began = now - (now+period-phase)%period
	return began, began + period
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

// coldLocked tells whether the endpoint is cold and its service bounds what it may get.
func (f *Fleet) coldLocked(e *Endpoint, s *routing.Service, now time.Duration) bool {
	if s.ColdPerSecond <= 0 || f.Without[ColdTurns] {
		return false
	}
	return now < e.warmUntil || (e.returnedAt != 0 && now < e.returnedAt+s.ColdStart)
}

// takesColdLocked tells whether this node may send a request to the endpoint now, as far as
// that is cold. If not, it notes when work that waits has to be looked at again.
func (f *Fleet) takesColdLocked(e *Endpoint, s *routing.Service, now time.Duration) bool {
	if !f.coldLocked(e, s, now) {
		return true
	}
	nodes := f.Nodes()
	if nodes <= 0 {
		return false
	}
	began, next := coldTurn(f.Name, e.key, nodes, s.ColdPerSecond, now)
	if now-began < coldTurnLength && e.coldUsedAt < began {
		return true
	}
	f.wakeLocked(now, next-now)
	return false
}

// useColdTurnLocked records that a request goes to the endpoint.
func (f *Fleet) useColdTurnLocked(e *Endpoint) { e.coldUsedAt = f.now() }

// wakeLocked has waiting work looked at after the given time at the latest.
func (f *Fleet) wakeLocked(now, after time.Duration) {
	at := now + after
	if f.wakeAt > now && f.wakeAt <= at {
		return
	}
	f.wakeAt = at
	f.Wake(after)
}

// SetCold records that an endpoint said that it stays cold for the given time; it returns
// false for an endpoint that is not known.
func (f *Fleet) SetCold(key EndpointKey, remaining time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byKey[key]
	if e == nil {
		return false
	}
	e.warmUntil = max(e.warmUntil, f.now()+remaining)
	return true
}
