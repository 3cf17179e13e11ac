package entry

import (
	"sync"
	"time"
)

// Gate knows the requests under way and whether the node is leaving.
type Gate struct {
	mu      sync.Mutex
	inside  int
	leaving bool
	closed  bool
	stopsAt time.Time
}

// NewGate returns an open gate.
func NewGate() *Gate {
	g := &Gate{}
	return g
}

// Enter counts a request; it returns false if the gate is closed. Each entry is ended by
// one Exit.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.inside++
	return true
}

// Exit ends a request.
func (g *Gate) Exit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside--
}

// Close closes the gate if nothing is inside, and tells whether it did. A process that
// ended on a look at Inside alone would cut off a request that came in between.
func (g *Gate) Close() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = g.closed || g.inside == 0
	return g.closed
}

// Inside returns the number of requests under way.
func (g *Gate) Inside() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inside
}

// Leave marks the node as leaving; it will stop at the given time.
func (g *Gate) Leave(stopsAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.stopsAt = stopsAt
}

// Leaving tells whether the node is about to stop.
func (g *Gate) Leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}

// Remaining is the time until a leaving node stops.
func (g *Gate) Remaining() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Until(g.stopsAt)
}
