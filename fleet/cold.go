package fleet

import (
	"time"

	"github.com/crocusreel/crocusreel/pace"
	"github.com/crocusreel/crocusreel/routing"
)

// A cold endpoint bears few requests a second, from all nodes together, and crashes above
// that. Nodes do not agree on who sends: each has turns of its own at each cold endpoint. A lost
// datagram or a late one changes nothing, as long as a node does not take the others for fewer
// than they are.
//
// Generations take so long that few of them at a time are few a second. While nodes hear each
// other, a cold engine gets them without turns up to a small number, which they tell each other
// as they do all loads: the nodes on which work waits are few, and their turns would leave the
// engine idle.

const (
	// coldShare is the part of what a cold endpoint bears that nodes send it. The rest is for
	// requests that were sent before its sender knew, and for late ones.
	coldShare = 0.8
	// leastGeneration is the least time that a generation takes.
	leastGeneration = 250 * time.Millisecond
)

// Population is how many nodes there are.
type Population struct {
	// Nodes is their number, this one included, or more; 0 if it is not known.
	Nodes int
	// Heard tells whether this node hears at least half of them.
	Heard bool
}

// coldUntilLocked returns until when the endpoint gets a bounded number of requests; 0 if it
// is not cold or its service has no bound.
func (f *Fleet) coldUntilLocked(e *Endpoint, s *routing.Service, now time.Duration) time.Duration {
	if s.ColdPerSecond <= 0 || f.Without[ColdTurns] {
		return 0
	}
	until := e.warmUntil
	if e.returnedAt != 0 {
		until = max(until, e.returnedAt+s.ColdStart)
	}
	if now >= until {
		return 0
	}
	return until
}

// coldLocked tells whether the endpoint gets a bounded number of requests.
func (f *Fleet) coldLocked(e *Endpoint, s *routing.Service, now time.Duration) bool {
	return f.coldUntilLocked(e, s, now) != 0
}

// takesColdLocked tells whether this node may send a request to the endpoint now, as far as
// that is cold. If not, it has waiting work looked at again when that changes.
func (f *Fleet) takesColdLocked(e *Endpoint, s *routing.Service, load *Load, now time.Duration) bool {
	until := f.coldUntilLocked(e, s, now)
	if until == 0 {
		return true
	}
	population := f.Population()
	if population.Nodes <= 0 {
		return false
	}
	if s.Engine != nil && population.Heard && float64(load.Count) < s.ColdPerSecond*leastGeneration.Seconds() {
		return true
	}
	began, next := pace.Turn(f.Name, uint32(e.key), population.Nodes, coldShare*s.ColdPerSecond, now)
	if now-began < pace.TurnLength && e.coldUsedAt < began {
		return true
	}
	f.wakeLocked(now, min(next, until)-now)
	return false
}

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
