package fleet

import (
	"time"

	"github.com/crocusreel/crocusreel/pace"
	"github.com/crocusreel/crocusreel/routing"
)

// A cold endpoint can serve only a few requests per second from all nodes together, and crashes
// above that rate. Nodes do not coordinate who sends: each node has its own turns at each cold
// endpoint. Lost or late datagrams have no effect, as long as no node underestimates the number of
// nodes.
//
// Generations take so long that a small number of concurrent ones amounts to only a few per second.
// While nodes receive each other's reports, a cold engine gets generations without turns up to a
// small number, which is counted over all nodes by their load reports. Only few nodes have waiting
// work, and turns would leave the engine idle.

const (
	// coldRateShare is the share of a cold endpoint's rate that nodes use. The rest is a reserve
	// for requests that were sent before their sender knew that the endpoint is cold, and for late
	// ones.
	coldRateShare = 0.8
	// minGenerationTime is the minimum duration of a generation.
	minGenerationTime = 250 * time.Millisecond
)

// ClusterSize is the number of nodes in the deployment.
type ClusterSize struct {
	// Nodes is an upper bound of the number of nodes, including this one, or 0 if it is not known.
	Nodes int
	// HalfLive is set if at least half of the nodes are live from the point of view of this node.
	HalfLive bool
}

// coldUntilLocked returns the time until which the rate of requests to the endpoint is limited
// because it is cold. It returns 0 if the endpoint is not cold or its service has no such limit.
func (f *Fleet) coldUntilLocked(e *Endpoint, s *routing.Service, now time.Duration) time.Duration {
	if s.ColdPerSecond <= 0 || f.Disabled[ColdTurns] {
		return 0
	}
	until := e.warmingUntil
	if e.evacuationEndedAt != 0 {
		until = max(until, e.evacuationEndedAt+s.ColdStart)
	}
	if now >= until {
		return 0
	}
	return until
}

// isColdLocked reports whether the rate of requests to the endpoint is limited because it is cold.
func (f *Fleet) isColdLocked(e *Endpoint, s *routing.Service, now time.Duration) bool {
	return f.coldUntilLocked(e, s, now) != 0
}

// coldLimitAllowsLocked reports whether this node may send a request to the endpoint now under the
// limit for cold endpoints. If not, it schedules a dispatch of waiting work for the time at which
// that changes.
func (f *Fleet) coldLimitAllowsLocked(e *Endpoint, s *routing.Service, load *Load, now time.Duration) bool {
	until := f.coldUntilLocked(e, s, now)
	if until == 0 {
		return true
	}
	size := f.ClusterSize()
	if size.Nodes <= 0 {
		return false
	}
	if s.Engine != nil && size.HalfLive && float64(load.Count) < s.ColdPerSecond*minGenerationTime.Seconds() {
		return true
	}
	began, next := pace.Turn(f.Name, uint32(e.key), size.Nodes, coldRateShare*s.ColdPerSecond, now)
	if now-began < pace.TurnLength && e.lastRequestAt < began {
		return true
	}
	f.scheduleTickLocked(now, min(next, until)-now)
	return false
}

// scheduleTickLocked schedules a dispatch of waiting work after the given time at the latest.
func (f *Fleet) scheduleTickLocked(now, after time.Duration) {
	at := now + after
	if f.nextTickAt > now && f.nextTickAt <= at {
		return
	}
	f.nextTickAt = at
	f.ScheduleTick(after)
}

// SetCold records that an endpoint has announced that it stays cold for the given time. It returns
// false if the endpoint is not known.
func (f *Fleet) SetCold(key EndpointKey, remaining time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byKey[key]
	if e == nil {
		return false
	}
	e.warmingUntil = max(e.warmingUntil, f.now()+remaining)
	return true
}
