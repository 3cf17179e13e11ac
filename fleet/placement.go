package fleet

import (
	"context"
	"time"
)

// Placement is the right to run one piece of work on one endpoint. It must be
// released exactly once.
type Placement struct {
	fleet    *Fleet
	endpoint *Endpoint
	demand   Demand
	produced int
	// reading is set until the first event.
	reading  bool
	released bool
	// arriving is the memory that is being copied here, in tokens.
	arriving int
	// Waited is the time that the work waited for its place.
	Waited time.Duration
}

// Result is how the work on an endpoint ended, as far as it tells of its health.
type Result int

const (
	// Neutral says nothing about the endpoint.
	Neutral Result = iota
	// Good is a whole answer.
	Good
	// Failed is a failure that the endpoint is at fault for.
	Failed
	// Busy is a refusal by an endpoint that is full.
	Busy
	// Unreachable is a connection that could not be made.
	Unreachable
	// Silent is an endpoint that took work and answered nothing in time.
	Silent
)

var resultNames = map[Result]string{
	Neutral: "neutral", Good: "good", Failed: "failed", Busy: "busy", Unreachable: "unreachable", Silent: "silent",
}

// String implements fmt.Stringer.
func (r Result) String() string { return resultNames[r] }

// Weights of results in health, in failures.
const (
	busyWeight   = 0.3
	silentWeight = 1.5
)

func (f *Fleet) placeLocked(e *Endpoint, d Demand) *Placement {
	p := &Placement{fleet: f, endpoint: e, demand: d, reading: d.Prompt > 0}
	f.used[e] = struct{}{}
	now := f.now()
	e.coldUsedAt = now
	f.useSlotLocked(e, now)
	e.own.Count++
	e.own.Tokens += p.tokens()
	e.own.Unread += p.unread()
	if d.Prompt > 0 {
		f.tellLocked(e)
	}
	return p
}

// Instance returns the endpoint as it registered itself.
func (p *Placement) Instance() Instance { return p.endpoint.Instance }

// Life ends, with its cause, once the incarnation has certainly died. What still seems to
// run there is lost.
func (p *Placement) Life() context.Context { return p.endpoint.life }

// Leaving is closed once the endpoint is about to stop.
func (p *Placement) Leaving() <-chan struct{} {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.endpoint.leaving
}

// Usable tells whether a run may go on at the endpoint.
func (p *Placement) Usable() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return !p.endpoint.isEvacuated && !p.fleet.pausedLocked(p.endpoint)
}

// tokens is the memory that the run is expected to need. An answer that has outgrown
// its expectation is expected to go on for a while.
func (p *Placement) tokens() int {
	if p.demand.Prompt == 0 {
		return 0
	}
	const outgrown = 1.25
	output := max(float64(p.demand.Output), float64(p.produced)*outgrown)
	return p.demand.Prompt + int(output)
}

// Memory is the number of tokens that the run has in memory by now.
func (p *Placement) Memory() int {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.tokensNow()
}

// tokensNow is the memory that the run has by now.
func (p *Placement) tokensNow() int { return p.demand.Prompt + p.produced }

func (p *Placement) unread() int {
	if p.reading {
		return p.demand.Prompt
	}
	return 0
}

// Produced records the number of tokens that the run has made.
func (p *Placement) Produced(tokens int) {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.released {
		return
	}
	own := &p.endpoint.own
	own.Tokens -= p.tokens()
	own.Unread -= p.unread()
	p.produced = tokens
	p.reading = false
	own.Tokens += p.tokens()
}

// Release ends the placement with its result.
func (p *Placement) Release(r Result) {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.released {
		return
	}
	p.released = true
	e := p.endpoint
	e.own.Count--
	e.own.Tokens -= p.tokens()
	e.own.Unread -= p.unread()
	f.recordLocked(e, r)
	f.dispatchLocked(e.Service)
	if p.demand.Prompt > 0 && f.othersWaitLocked(e.Service) {
		// They would otherwise learn of the room with the next regular datagram.
		f.Changed("")
	}
}

// Report records a result without an end of the placement.
func (p *Placement) Report(r Result) {
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
	case Failed:
		h.failed(now, 1)
	case Busy:
		h.failed(now, busyWeight)
	case Silent:
		h.failed(now, silentWeight)
		h.avoid(now, silentSuspension)
	case Unreachable:
		h.failed(now, 1)
		h.avoid(now, unreachableSuspension)
	case Neutral:
	}
	f.tellOfHealthLocked(e, r, now)
}

// Exclusion is a change of what this node believes of an endpoint's health.
type Exclusion struct {
	Instance Instance
	// Excluded is set if the endpoint gets no new work for a while, and not if it is
	// taken back after a whole answer.
	Excluded bool
	// Cause is the result that led to it, For the time for which work is kept away.
	Cause Result
	For   time.Duration
	// Failures is the number of recent failures, as they are weighed.
	Failures float64
}

// tellOfHealthLocked tells of an endpoint that is left out from now on, and of one that is
// good again; what lies between would be a line for each request.
func (f *Fleet) tellOfHealthLocked(e *Endpoint, r Result, now time.Duration) {
	h := &e.health
	excluded := now < h.ejectedUntil
	back := r == Good && !excluded
	if (excluded && !h.reported) || (back && h.reported) {
		h.reported = excluded
		f.Believed(Exclusion{
			Instance: e.Instance, Excluded: excluded, Cause: r, For: max(h.ejectedUntil-now, 0), Failures: h.failures,
		})
	}
}
