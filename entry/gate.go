package entry

import (
	"sync"
	"time"
)

// Gate counts the requests in flight and records whether the node is leaving. Its methods are safe
// for concurrent use.
type Gate struct {
	mu       sync.Mutex
	inFlight int
	leaving  bool
	closed   bool
	stopsAt  time.Time
}

// NewGate returns a Gate that admits requests.
func NewGate() *Gate {
	g := &Gate{}
	return g
}

// StartRequest counts a request as in flight. It returns false if the gate is closed; otherwise
// EndRequest must be called once when the request ends.
func (g *Gate) StartRequest() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.inFlight++
	return true
}

// EndRequest ends a request that StartRequest has counted.
func (g *Gate) EndRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
}

// CloseIfIdle closes the gate if no request is in flight, and reports whether the gate is closed.
// Checking InFlight before stopping the process is not enough: a request could arrive in between
// and would be aborted.
func (g *Gate) CloseIfIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = g.closed || g.inFlight == 0
	return g.closed
}

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Leave marks the node as leaving; it will stop at stopsAt.
func (g *Gate) Leave(stopsAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.stopsAt = stopsAt
}

// Leaving reports whether the node is about to stop.
func (g *Gate) Leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}

// Remaining returns the time until a leaving node stops.
func (g *Gate) Remaining() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Until(g.stopsAt)
}
