// Package drain tracks the requests that are in flight in a process and lets the process leave without
// cutting them off:
//
//  1. Leave announces the time of the stop. Requests are still served, since callers may hold addresses
//     that name the process, but none is sent to an endpoint that may outlast the process. Such a
//     request is refused as not run, also if it was admitted earlier.
//  2. Close admits no more requests and cancels those in flight, so that each still gets an answer.
//  3. The servers are shut down, which delivers the answers that are being written.
//
// Invariant: once Close has returned, every request that was read is in flight with a cancelled context
// or is refused.
package drain

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusreel/crocusreel"
)

// ErrStopped is the cancellation cause of requests that are in flight when the process stops.
var ErrStopped = errors.New("the process stops")

// retryAfter is the retry delay given to callers of a process that is leaving: others serve.
const retryAfter = 50 * time.Millisecond

// Refuse returns the refusal of a request that has not run because the process is leaving.
func Refuse(format string, args ...any) *crocusreel.Refusal {
	return RefuseWith(crocusreel.OutcomeNotRun, format, args...)
}

// RefuseWith returns the refusal of a request with the given outcome because the process is leaving.
func RefuseWith(outcome crocusreel.Outcome, format string, args ...any) *crocusreel.Refusal {
	return crocusreel.Refuse(crocusreel.ReasonShuttingDown, outcome, retryAfter, format, args...)
}

// Gate admits requests and records whether the process is leaving. Its methods are safe for concurrent
// use.
type Gate struct {
	// leave is nil until the process is leaving.
	leave atomic.Pointer[Schedule]

	mu       sync.Mutex
	inFlight map[*Request]struct{}
	closed   bool
}

// NewGate returns a Gate that admits requests.
func NewGate() *Gate { return &Gate{inFlight: make(map[*Request]struct{})} }

// Admit counts a request as in flight. The context that it returns ends with ctx or when the process
// stops. It returns a nil Request if the gate is closed; otherwise End must be called once when the
// request ends.
func (g *Gate) Admit(ctx context.Context) (context.Context, *Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return ctx, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	r := &Request{gate: g, received: time.Now(), cancel: cancel}
	g.inFlight[r] = struct{}{}
	return ctx, r
}

func (g *Gate) end(r *Request) {
	r.cancel(nil)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inFlight, r)
}

// CloseIfIdle closes the gate if no request is in flight, and reports whether the gate is closed.
// Checking InFlight before stopping the process is not enough: a request could arrive in between
// and would be aborted.
func (g *Gate) CloseIfIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = g.closed || len(g.inFlight) == 0
	return g.closed
}

// Close closes the gate and cancels the requests in flight with the cause ErrStopped. It returns these
// requests, in the order of their arrival.
func (g *Gate) Close() []*Request {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	all := g.requests()
	for _, r := range all {
		r.cancel(ErrStopped)
	}
	return all
}

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.inFlight)
}

// requests returns the requests in flight, in the order of their arrival.
func (g *Gate) requests() []*Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]*Request, 0, len(g.inFlight))
	for r := range g.inFlight {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *Request) int { return a.received.Compare(b.received) })
	return all
}

// Leave marks the process as leaving. Requests that wait to be sent are refused from then on when it is
// too late for them.
func (g *Gate) Leave(s Schedule) {
	g.leave.Store(&s)
	for _, r := range g.requests() {
		r.watchStart()
	}
}

// Leaving reports whether the process is about to stop.
func (g *Gate) Leaving() bool { return g.leave.Load() != nil }
