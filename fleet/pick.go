package fleet

import (
	"slices"
	"time"

	"github.com/crocusreel/crocusreel/routing"
)

// Demand is what a piece of work is expected to need.
type Demand struct {
	// Prompt and Output are tokens; both are 0 for work at a plain service.
	Prompt int
	Output int
}

// Tokens is the memory at the end of the run.
func (d Demand) Tokens() int { return d.Prompt + d.Output }

// Weights of the choice among endpoints. The unit is the share of an engine's memory
// in use; for plain services the share of slots.
const (
	// otherDataCentreCost keeps work in its data centre while loads are about equal.
	otherDataCentreCost = 0.08
	// unreadCost is for each second of prompts that wait to be read before this one.
	unreadCost = 1.0
	// readRate is the number of prompt tokens that a busy engine reads in a second.
	readRate = 7500.0
	// maxUnread is the number of unread prompt tokens on an engine beyond which it gets no
	// further prompt: waiting prompts hold memory and cannot go elsewhere.
	maxUnread = 4500
	// failureCost applies in full if all recent results are failures.
	failureCost = 2.0
	// warmingCost keeps work from an endpoint that has just started.
	warmingCost = 0.25
	// missingCost keeps work from an endpoint whose entry is missing.
	missingCost = 0.5
	// spread is the range of a random addition: nodes choose from the same reports and
	// would otherwise all choose the same endpoint.
	spread = 0.04
	// copyCost is for each second that a copy takes to a target, behind the copies of all
	// nodes that are on their way there. It outweighs the other costs: a far copy holds up all
	// others of its engine.
	copyCost = 10.0
	// farCopy is how many times longer a copy to another data centre takes.
	farCopy = 2.0
	// moveSpread replaces spread for moves, whose nodes choose at the same moment.
	moveSpread = 0.25
	// memoryShare is the part of an engine's memory that may be promised to long answers. A
	// run is promised what it needs at its end, and runs end at different times.
	memoryShare = 1.06
	// shortShare is that part for short answers, which hold their memory briefly.
	shortShare = 1.14
	// moveShare is that part for runs that move: without a target they are lost.
	moveShare = 1.10
	// lateShare is that part for work that is late already; the rest is kept for work that
	// can be in time.
	lateShare = 0.70
	// shortOutput is the length in tokens up to which an answer is short.
	shortOutput = 64
	// plainOvercommit is how many requests, in multiples of its slots, an endpoint of a plain
	// service is given; those beyond its slots wait in its own queue.
	plainOvercommit = 2.0
)

// Want describes work to be placed.
type Want struct {
	Service *routing.Service
	Demand  Demand
	// Longest is the length in tokens that the answer may have at most; 0 if that is not
	// known.
	Longest int
	// Rank orders waiting work, lowest first.
	Rank int
	// StartWithin is the time within which the work must start to be on time; 0 if there
	// is no such time.
	StartWithin time.Duration
	// Exclude are IDs of endpoints that were tried.
	Exclude []string
	// Bound is set for work that may run in Regions only.
	Bound   bool
	Regions []string
	// late is set once StartWithin is over.
	late bool
	// from is the endpoint that a move leaves; nil for new work. moving is the memory that
	// is moved, in tokens.
	from   *Endpoint
	moving int
}

// pickLocked returns the best endpoint with room, nil if there is none.
func (f *Fleet) pickLocked(w *Want) *Endpoint {
	return f.pickAmongLocked(w, f.services[w.Service.Name])
}

// pickAmongLocked returns the best of some endpoints of the work's service.
func (f *Fleet) pickAmongLocked(w *Want, endpoints []*Endpoint) *Endpoint {
	var best *Endpoint
	bestCost := 0.0
	now := f.now()
	for _, ejectedToo := range []bool{false, true} {
		for _, e := range endpoints {
			if !f.mayServeLocked(e, w) || f.deferForPauseLocked(e, now) {
				continue
			}
			if !ejectedToo && f.ejectedLocked(e, now) {
				continue
			}
			load := e.total()
			if !f.fitsLocked(e, w, &load) || !f.takesColdLocked(e, w.Service, &load, now) || !f.limitAllowsLocked(e, now) {
				continue
			}
			if cost := f.costLocked(e, w, &load, now); best == nil || cost < bestCost {
				best, bestCost = e, cost
			}
		}
		if best != nil || f.anyInServiceLocked(w, now) {
			return best
		}
	}
	return best
}

// anyInServiceLocked tells whether some endpoint is neither leaving nor ejected. If
// none is, ejection is no longer a choice among endpoints and is ignored.
func (f *Fleet) anyInServiceLocked(w *Want, now time.Duration) bool {
	for _, e := range f.services[w.Service.Name] {
		if f.eligibleLocked(e, w) && !f.ejectedLocked(e, now) {
			return true
		}
	}
	return false
}

// eligibleLocked tells whether the work may be sent to the endpoint, whatever its load.
func (f *Fleet) eligibleLocked(e *Endpoint, w *Want) bool {
	return f.mayServeLocked(e, w) && !f.pausedLocked(e)
}

// mayServeLocked tells whether the work may be sent to the endpoint, now or once its pause is over.
func (f *Fleet) mayServeLocked(e *Endpoint, w *Want) bool {
	return !e.isLeaving && !e.isEvacuated && !slices.Contains(w.Exclude, e.ID) && f.inRegionsLocked(e, w)
}

// inRegionsLocked tells whether the endpoint is in a region to which the work is bound.
func (f *Fleet) inRegionsLocked(e *Endpoint, w *Want) bool {
	return !w.Bound || slices.Contains(w.Regions, f.Regions[e.DataCentre])
}

func (f *Fleet) ejectedLocked(e *Endpoint, now time.Duration) bool {
	return now < e.health.ejectedUntil && !f.Without[Ejection]
}

// fitsLocked tells whether the endpoint, which bears the load, has room for the work.
func (f *Fleet) fitsLocked(e *Endpoint, w *Want, load *Load) bool {
	spec := w.Service.Engine
	if spec == nil {
		return float64(load.Count) < plainOvercommit*float64(max(e.Slots, 1))
	}
	if load.Count >= e.Slots {
		return false
	}
	need := float64(load.Tokens + load.Held + w.Demand.Tokens())
	return (need <= f.memoryShare(w)*float64(spec.CacheTokens) || load.Count == 0) &&
		(w.from != nil || load.Unread <= maxUnread || f.Without[UnreadBound])
}

// costLocked returns the cost of one more run.
func (f *Fleet) costLocked(e *Endpoint, w *Want, load *Load, now time.Duration) float64 {
	cost := f.distanceCostLocked(e, w)
	if !f.Without[Ejection] {
		cost += failureCost * e.health.failureShare(now)
	}
	if now < e.warmUntil {
		cost += warmingCost
	}
	if e.missingAt != 0 {
		cost += missingCost
	}
	if spec := w.Service.Engine; spec != nil {
		share := float64(load.Tokens) / float64(max(spec.CacheTokens, 1))
		return cost + share + unreadCost*float64(load.Unread)/readRate
	}
	return cost + float64(load.Count)/float64(max(e.Slots, 1))
}

// distanceCostLocked is the cost of the way to the endpoint, with its random part.
func (f *Fleet) distanceCostLocked(e *Endpoint, w *Want) float64 {
	if w.from == nil {
		cost := f.random.Float64() * spread
		if e.DataCentre != f.dataCentre {
			cost += otherDataCentreCost
		}
		return cost
	}
	copying := w.Service.Engine.CopyTime(w.moving).Seconds()
	if e.DataCentre != w.from.DataCentre {
		copying *= farCopy
	}
	queued := w.Service.Engine.CopyTime(e.total().Arriving).Seconds()
	return f.random.Float64()*moveSpread + copyCost*(queued+copying)
}

func (f *Fleet) memoryShare(w *Want) float64 {
	if w.late {
		return lateShare
	}
	if f.line(w).short {
		return shortShare
	}
	if w.from != nil {
		return moveShare
	}
	return memoryShare
}
