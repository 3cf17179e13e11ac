// Package drain tracks the requests that are in flight in a process and lets the process leave without
// cutting them off.
package drain

import (
	"slices"
	"sync"
	"time"
)

// Gate admits requests and records whether the process is leaving. Its methods are safe for concurrent
// use.
type Gate struct {
	mu       sync.Mutex
	inFlight map[*Request]struct{}
	leaving  bool
	closed   bool
	leftAt   time.Time
	stopsAt  time.Time
}

// NewGate returns a Gate that admits requests.
func NewGate() *Gate { return &Gate{inFlight: make(map[*Request]struct{})} }

// Admit counts a request as in flight. It returns nil if the gate is closed; otherwise End must be
// called once when the request ends.
func (g *Gate) Admit() *Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil
	}
	r := &Request{gate: g, received: time.Now()}
	g.inFlight[r] = struct{}{}
	return r
}

func (g *Gate) end(r *Request) {
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

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.inFlight)
}

// Requests returns the requests in flight, in the order of their arrival.
func (g *Gate) Requests() []*Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]*Request, 0, len(g.inFlight))
	for r := range g.inFlight {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *Request) int { return a.received.Compare(b.received) })
	return all
}

// Leave marks the process as leaving; it will stop at stopsAt.
func (g *Gate) Leave(stopsAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.leftAt, g.stopsAt = time.Now(), stopsAt
}

// Leaving reports whether the process is about to stop.
func (g *Gate) Leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}

// Remaining returns the time until a leaving process stops.
func (g *Gate) Remaining() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Until(g.stopsAt)
}

// schedule returns when the process began to leave and when it stops; ok is false if it is not leaving.
func (g *Gate) schedule() (leftAt, stopsAt time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leftAt, g.stopsAt, g.leaving
}
