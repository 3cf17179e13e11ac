package fleet

import (
	"context"
	"time"
)

// Placement is a reservation to run one piece of work on one endpoint. It must be released exactly
// once.
type Placement struct {
	fleet    *Fleet
	endpoint *Endpoint
	demand   Demand
	// rank is the rank of the work.
	rank     int
	produced int
	// prefilling is set until the prefill of the prompt is complete, that is, until the first
	// event.
	prefilling bool
	released   bool
	// incomingTokens is the memory, in tokens, that is being copied to the endpoint for this run.
	incomingTokens int
	// isolationTokens is the memory, in tokens, that is held in addition so that no other work is placed
	// on the engine.
	isolationTokens int
	// placedAt is the time of the placement.
	placedAt time.Duration
	// producedAt is the time of the last update of produced, or 0 if there was none on this endpoint.
	producedAt time.Duration
	// pendingAtStart and decodingAtStart are the prompt tokens, including the run's own, and the
	// number of decoding runs that the prefill met.
	pendingAtStart, decodingAtStart int
	// Predicted is what the choice of the endpoint was based on, zero while engines count as equal.
	Predicted Prediction
	// Waited is the time that the work spent in the queue.
	Waited time.Duration
}

// Result is the outcome of work on an endpoint as far as it concerns the endpoint's health.
type Result int

const (
	// Neutral says nothing about the health of the endpoint.
	Neutral Result = iota
	// Good is a complete answer.
	Good
	// Failed is a failure that is attributed to the endpoint.
	Failed
	// Busy is a refusal by an endpoint without capacity.
	Busy
	// Unreachable is a failed connection attempt.
	Unreachable
	// Silent is the lack of any answer to accepted work within the time limit.
	Silent
)

var resultNames = map[Result]string{
	Neutral: "neutral", Good: "good", Failed: "failed", Busy: "busy", Unreachable: "unreachable", Silent: "silent",
}

// String implements fmt.Stringer.
func (r Result) String() string { return resultNames[r] }

// Weights of results, as fractions or multiples of one failure.
const (
	busyWeight   = 0.3
	silentWeight = 1.5
)

func (f *Fleet) placeLocked(e *Endpoint, d Demand) *Placement {
	p := &Placement{fleet: f, endpoint: e, demand: d, prefilling: d.Prompt > 0, placedAt: f.now()}
	p.startObservationLocked(e.total())
	f.used[e] = struct{}{}
	now := f.now()
	e.lastRequestAt = now
	f.useSlotLocked(e, now)
	e.overload.sentAt = now
	e.own.Count++
	e.own.Tokens += p.expectedTokens()
	e.own.PendingPrefill += p.pendingPrefill()
	if d.Prompt > 0 {
		f.broadcastLoadLocked(e)
	}
	return p
}

// isolationFactor is the multiple of an engine's memory that isolated work holds: more than any other
// work may count on.
const isolationFactor = 2

// placeWorkLocked places the work, and keeps other work off the engine if the work is isolated and the
// engine is idle.
func (f *Fleet) placeWorkLocked(e *Endpoint, w *Work) *Placement {
	load := e.total()
	p := f.placeLocked(e, w.Demand)
	if spec := w.Service.Engine; w.Isolated && spec != nil && load.Count == 0 && w.Demand.Prompt > 0 {
		p.isolationTokens = isolationFactor * spec.CacheTokens
		e.own.Tokens += p.isolationTokens
		f.broadcastLoadLocked(e)
	}
	return p
}

// EndIsolation lets other work onto the engine again.
func (p *Placement) EndIsolation() {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.released || p.isolationTokens == 0 {
		return
	}
	p.endpoint.own.Tokens -= p.isolationTokens
	p.isolationTokens = 0
	f.dispatchLocked(p.endpoint.Service)
}

// Instance returns the endpoint as it has registered.
func (p *Placement) Instance() Instance { return p.endpoint.Instance }

// EndpointContext returns a context that is cancelled, with a cause, once the incarnation is known
// to have died. Runs on it are lost then.
func (p *Placement) EndpointContext() context.Context { return p.endpoint.ctx }

// Leaving returns a channel that is closed once the endpoint is about to stop.
func (p *Placement) Leaving() <-chan struct{} {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.endpoint.leaving
}

// Usable reports whether the run can continue on the endpoint: its data centre is not evacuated and
// it has not requested a pause.
func (p *Placement) Usable() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return !p.endpoint.isEvacuated && !p.fleet.pausedLocked(p.endpoint)
}

// expectedTokens returns the memory, in tokens, that the run is expected to need. An answer
// that outgrows its expected length is assumed to continue for a while: its output counts as
// outgrownFactor times what has been produced so far.
func (p *Placement) expectedTokens() int {
	if p.demand.Prompt == 0 {
		return 0
	}
	const outgrownFactor = 1.25
	output := max(float64(p.demand.Output), float64(p.produced)*outgrownFactor)
	return p.demand.Prompt + int(output) + p.isolationTokens
}

// CurrentTokens returns the number of tokens that the run has in memory now.
func (p *Placement) CurrentTokens() int {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.currentTokensLocked()
}

// currentTokensLocked returns the memory, in tokens, that the run occupies now.
func (p *Placement) currentTokensLocked() int { return p.demand.Prompt + p.produced }

func (p *Placement) pendingPrefill() int {
	if p.prefilling {
		return p.demand.Prompt
	}
	return 0
}

// SetProduced records the number of tokens that the run has generated so far.
func (p *Placement) SetProduced(tokens int) {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.released {
		return
	}
	p.endpoint.refusal.produced(f.now(), p.prefilling)
	p.observeLocked(tokens)
	own := &p.endpoint.own
	own.Tokens -= p.expectedTokens()
	own.PendingPrefill -= p.pendingPrefill()
	p.produced = tokens
	p.prefilling = false
	own.Tokens += p.expectedTokens()
}

// Release ends the placement and records its result.
func (p *Placement) Release(r Result) {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.released {
		return
	}
	p.released = true
	f.recordEndLocked(p, r)
	e := p.endpoint
	e.own.Count--
	e.own.Tokens -= p.expectedTokens()
	e.own.PendingPrefill -= p.pendingPrefill()
	f.recordLocked(e, r)
	if r == Good {
		f.overloadLocked(e.Service).recordWorkTime(f.now() - p.placedAt)
	}
	f.dispatchLocked(e.Service)
	if p.demand.Prompt > 0 && f.othersWaitingLocked(e.Service) {
		// The waiting nodes would otherwise learn of the capacity only with the next regular
		// datagram.
		f.Broadcast("")
	}
}

// RecordResult records a result without ending the placement.
func (p *Placement) RecordResult(r Result) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.fleet.recordLocked(p.endpoint, r)
}

func (f *Fleet) recordLocked(e *Endpoint, r Result) {
	now := f.now()
	h := &e.health
	switch r {
	case Good:
		h.succeeded(now)
		e.refusal.answered(now)
	case Failed:
		h.failed(now, 1)
	case Busy:
		h.failed(now, busyWeight)
		e.refusal.answered(now)
		f.rejectedLocked(e, now)
	case Silent:
		h.failed(now, silentWeight)
		h.avoid(now, silentSuspension)
	case Unreachable:
		h.failed(now, 1)
		h.avoid(now, unreachableSuspension)
	case Neutral:
	}
	f.reportExclusionLocked(e, r, now)
}

// Exclusion is a change of this node's view of an endpoint's health.
type Exclusion struct {
	Instance Instance
	// Excluded is set if the endpoint gets no new work for some time, and unset if it is readmitted
	// after a complete answer.
	Excluded bool
	// Cause is the result that led to the change. Duration is the time for which the endpoint gets
	// no new work.
	Cause    Result
	Duration time.Duration
	// Failures is the weighted number of recent failures.
	Failures float64
}

// reportExclusionLocked reports when an endpoint becomes excluded, and when it is healthy again.
// The results in between are not reported, as they would give a log line for each request.
func (f *Fleet) reportExclusionLocked(e *Endpoint, r Result, now time.Duration) {
	h := &e.health
	excluded := now < h.ejectedUntil
	healthy := r == Good && !excluded
	if (excluded && !h.reported) || (healthy && h.reported) {
		h.reported = excluded
		f.OnExclusion(Exclusion{
			Instance: e.Instance, Excluded: excluded, Cause: r, Duration: max(h.ejectedUntil-now, 0), Failures: h.failures,
		})
	}
}
