package fleet

import (
	"slices"
	"time"

	"github.com/crocusreel/crocusreel/routing"
)

// Demand is the expected size of a piece of work.
type Demand struct {
	// Prompt and Output are numbers of tokens. Both are 0 for work of a plain service.
	Prompt int
	Output int
}

// Tokens returns the memory, in tokens, that the run occupies at its end.
func (d Demand) Tokens() int { return d.Prompt + d.Output }

// Cost weights for the choice among endpoints. A cost of 1 corresponds to the whole memory of an
// engine or, for plain services, to all slots of an endpoint.
const (
	// otherDataCentreCost keeps work in the data centre of this node while loads are about equal.
	otherDataCentreCost = 0.08
	// prefillCostPerSecond is the cost of each second of prefill that is pending ahead of this
	// prompt.
	prefillCostPerSecond = 1.0
	// prefillTokensPerSecond is the prefill rate of a busy engine in prompt tokens per second.
	prefillTokensPerSecond = 7500.0
	// maxPendingPrefillTokens is the number of prompt tokens pending prefill above which an engine
	// gets no further prompt: pending prompts occupy memory and cannot be moved to another engine.
	maxPendingPrefillTokens = 4500
	// failureCost is the cost of an endpoint whose recent results are all failures.
	failureCost = 2.0
	// warmingCost is the cost of an endpoint that has just started.
	warmingCost = 0.25
	// missingCost is the cost of an endpoint whose store entry is missing.
	missingCost = 0.5
	// costJitter is the range of the random part of the cost. Nodes choose from the same load
	// reports and would otherwise all choose the same endpoint.
	costJitter = 0.04
	// isolatedRunCost is the cost, for isolated work, of each run on the engine. It outweighs all others.
	isolatedRunCost = 100.0
	// copyCostPerSecond is the cost of each second that a memory copy to a target takes, including
	// the wait for copies of all nodes that are in progress to the same target. It outweighs the
	// other costs because a slow copy delays all other copies of the same source engine.
	copyCostPerSecond = 10.0
	// remoteCopyFactor is the factor by which a copy to another data centre takes longer.
	remoteCopyFactor = 2.0
	// moveCostJitter replaces costJitter for moves, because the nodes choose move targets at the
	// same moment.
	moveCostJitter = 0.25
	// longMemoryShare is the share of an engine's memory that can be reserved for long answers. It
	// exceeds 1 because each run reserves the memory that it needs at its end, and runs end at
	// different times.
	longMemoryShare = 1.06
	// shortMemoryShare is the same share for short answers, which occupy their memory briefly.
	shortMemoryShare = 1.14
	// moveMemoryShare is the same share for runs that move: without a target they are lost.
	moveMemoryShare = 1.10
	// lateMemoryShare is the same share for work that is already late; the rest is kept for work
	// that can still start in time.
	lateMemoryShare = 0.70
	// maxShortOutputTokens is the maximum length, in tokens, of a short answer.
	maxShortOutputTokens = 64
	// plainOvercommit is the number of requests that an endpoint of a plain service gets, as a
	// multiple of its slots. Requests beyond its slots wait in its own queue.
	plainOvercommit = 2.0
)

// Work describes a piece of work to be placed.
type Work struct {
	Service *routing.Service
	Demand  Demand
	// MaxOutput is the maximum length of the answer in tokens, or 0 if it is not known.
	MaxOutput int
	// Rank is the priority of waiting work; lower values are served first.
	Rank int
	// Workspace is the name of the workspace that the work belongs to, empty if it has none.
	Workspace string
	// Target is the latency target of the route and GapTarget the longest pause between two events
	// with which an answer is on time; 0 if there is none. Since is the time since the caller's
	// request was received.
	Target    time.Duration
	GapTarget time.Duration
	Since     time.Duration
	// Started is set if an endpoint may have run the work already. Its caller has waited for that run,
	// and may have the beginning of the answer.
	Started bool
	// Patience is the time for which the caller still waits for the first event before it leaves, 0 if
	// it is not known.
	Patience time.Duration
	// Remaining is the time until the request's deadline, 0 if it is not known. RequestID is the
	// caller's ID of the request, for the log.
	Remaining time.Duration
	RequestID string
	// StartWithin is the time within which the work must start to be on time, or 0 if it has no
	// such limit.
	StartWithin time.Duration
	// Exclude holds the IDs of endpoints that were already tried.
	Exclude []string
	// RegionBound restricts the work to endpoints in Regions.
	RegionBound bool
	Regions     []string
	// Isolated is set for work that may crash its engine. It is placed where the fewest runs are, and
	// keeps other work off an engine that was idle.
	Isolated bool
	// late is set once StartWithin has elapsed.
	late bool
	// enqueuedAt is the time from which the work waits.
	enqueuedAt time.Duration
	// moveSource is the source endpoint of a move, or nil for new work. moveTokens is the memory to
	// be copied, in tokens.
	moveSource *Endpoint
	moveTokens int
}

// pickLocked returns the endpoint with capacity and the lowest cost, or nil if none has capacity.
func (f *Fleet) pickLocked(w *Work) *Endpoint {
	return f.pickAmongLocked(w, f.services[w.Service.Name])
}

// pickAmongLocked returns the endpoint with capacity and the lowest cost among some endpoints of
// the work's service, or nil. Ejected endpoints are considered only if every eligible endpoint is
// ejected.
func (f *Fleet) pickAmongLocked(w *Work, endpoints []*Endpoint) *Endpoint {
	var best *Endpoint
	bestCost := 0.0
	now := f.now()
	score := f.scorerLocked(w, now)
	for _, includeEjected := range []bool{false, true} {
		for _, e := range endpoints {
			if !f.mayServeLocked(e, w) || f.deferForPauseLocked(e, now) {
				continue
			}
			if !includeEjected && f.ejectedLocked(e, now) {
				continue
			}
			load := e.total()
			if !f.fitsLocked(e, w, &load) || !f.coldLimitAllowsLocked(e, w.Service, &load, now) || !f.limitAllowsLocked(e, now) || !f.brittleAllowsLocked(e, now) {
				continue
			}
			if cost := f.costLocked(e, w, &load, score, now); best == nil || cost < bestCost {
				best, bestCost = e, cost
			}
		}
		if best != nil || f.anyNotEjectedLocked(w, now) {
			return best
		}
	}
	return best
}

// anyNotEjectedLocked reports whether some eligible endpoint is not ejected. If all are ejected,
// ejection is ignored, as it no longer helps to choose among them.
func (f *Fleet) anyNotEjectedLocked(w *Work, now time.Duration) bool {
	for _, e := range f.services[w.Service.Name] {
		if f.eligibleLocked(e, w) && !f.ejectedLocked(e, now) {
			return true
		}
	}
	return false
}

// eligibleLocked reports whether the work can be sent to the endpoint now, regardless of load.
func (f *Fleet) eligibleLocked(e *Endpoint, w *Work) bool {
	return f.mayServeLocked(e, w) && !f.pausedLocked(e)
}

// mayServeLocked reports whether the work can be sent to the endpoint now or after its pause.
func (f *Fleet) mayServeLocked(e *Endpoint, w *Work) bool {
	return !e.isLeaving && !e.isEvacuated && !slices.Contains(w.Exclude, e.ID) && f.inRegionsLocked(e, w)
}

// inRegionsLocked reports whether the endpoint is in a region to which the work is restricted.
func (f *Fleet) inRegionsLocked(e *Endpoint, w *Work) bool {
	return !w.RegionBound || slices.Contains(w.Regions, f.Regions[e.DataCentre])
}

func (f *Fleet) ejectedLocked(e *Endpoint, now time.Duration) bool {
	return now < e.health.ejectedUntil && !f.Disabled[Ejection] || f.refusesConnectionsLocked(e, now)
}

// fitsLocked reports whether the endpoint has capacity for the work in addition to the given load.
func (f *Fleet) fitsLocked(e *Endpoint, w *Work, load *Load) bool {
	spec := w.Service.Engine
	if spec == nil {
		overcommit := plainOvercommit
		if f.isBrittleLocked(e.Service, f.now()) {
			overcommit = 1
		}
		return float64(load.Count) < overcommit*float64(max(e.Slots, 1))
	}
	if load.Count >= e.Slots {
		return false
	}
	need := float64(load.Tokens + load.BackupTokens + w.Demand.Tokens())
	return (need <= f.memoryShareFor(w)*float64(spec.CacheTokens) || load.Count == 0) &&
		(w.moveSource != nil || load.PendingPrefill <= maxPendingPrefillTokens || f.Disabled[PrefillBound])
}

// costLocked returns the cost of placing one more run on the endpoint.
func (f *Fleet) costLocked(e *Endpoint, w *Work, load *Load, score scorer, now time.Duration) float64 {
	cost := f.distanceCostLocked(e, w)
	if !f.Disabled[Ejection] {
		cost += failureCost * e.health.failureShare(now)
	}
	if now < e.warmingUntil {
		cost += warmingCost
	}
	if e.missingSince != 0 {
		cost += missingCost
	}
	if w.Isolated {
		cost += isolatedRunCost * float64(load.Count)
	}
	if spec := w.Service.Engine; spec != nil {
		share := float64(load.Tokens) / float64(max(spec.CacheTokens, 1))
		return cost + share + score.runCost(e, w, *load)
	}
	return cost + float64(load.Count)/float64(max(e.Slots, 1))
}

// distanceCostLocked returns the cost of the distance to the endpoint, including its random part.
// For a move, the distance is the expected time of the memory copy.
func (f *Fleet) distanceCostLocked(e *Endpoint, w *Work) float64 {
	if w.moveSource == nil {
		cost := f.random.Float64() * costJitter
		if e.DataCentre != f.dataCentre {
			cost += otherDataCentreCost
		}
		return cost
	}
	copying := w.Service.Engine.CopyTime(w.moveTokens).Seconds()
	if e.DataCentre != w.moveSource.DataCentre {
		copying *= remoteCopyFactor
	}
	queued := w.Service.Engine.CopyTime(e.total().IncomingTokens).Seconds()
	return f.random.Float64()*moveCostJitter + copyCostPerSecond*(queued+copying)
}

func (f *Fleet) memoryShareFor(w *Work) float64 {
	if w.late {
		return lateMemoryShare
	}
	if f.queueIDFor(w).short {
		return shortMemoryShare
	}
	if w.moveSource != nil {
		return moveMemoryShare
	}
	return longMemoryShare
}
