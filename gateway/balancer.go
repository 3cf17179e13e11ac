package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/config"
)

const (
	baseEjection = 500 * time.Millisecond
	maxEjection  = 10 * time.Second
)

// balancer chooses among the plain services of a route by their outstanding calls. A service that
// fails is ejected for baseEjection, doubled with each consecutive failure up to maxEjection.
type balancer struct {
	mu       sync.Mutex
	now      func() time.Time
	services map[string]*serviceState
	// latency covers the calls to all services.
	latency latency
}

type serviceState struct {
	outstanding  int
	failures     int
	ejectedUntil time.Time
}

// callEnd is how a call ended.
type callEnd int

const (
	callOK callEnd = iota
	callFailed
	// callCancelled has no bearing on the health of the endpoint.
	callCancelled
)

func newBalancer(now func() time.Time) *balancer {
	return &balancer{now: now, services: make(map[string]*serviceState)}
}

func (b *balancer) state(name string) *serviceState {
	s, ok := b.services[name]
	if !ok {
		s = &serviceState{}
		b.services[name] = s
	}
	return s
}

// pick returns the candidate with the fewest outstanding calls. Ties are broken at random, so that
// gateways do not all choose the same service. If every candidate is ejected, it chooses among all
// of them, since wrongly ejected services must not take down a route.
func (b *balancer) pick(candidates []*config.EndpointSpec) (*config.EndpointSpec, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if best, ok := b.leastOutstanding(candidates, b.now()); ok {
		return best, true
	}
	return b.leastOutstanding(candidates, time.Time{})
}

// leastOutstanding returns the candidate with the fewest outstanding calls among those whose
// ejection has ended at the given time. With the zero time it considers all candidates.
func (b *balancer) leastOutstanding(candidates []*config.EndpointSpec, at time.Time) (*config.EndpointSpec, bool) {
	var best *config.EndpointSpec
	lowest, ties := 0, 0
	for _, c := range candidates {
		s := b.state(c.Name)
		if !at.IsZero() && at.Before(s.ejectedUntil) {
			continue
		}
		if best == nil || s.outstanding < lowest {
			best, lowest, ties = c, s.outstanding, 1
		} else if s.outstanding == lowest {
			ties++
			if rand.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best, best != nil
}

// begin counts an outstanding call. The returned function must be called once, with how the call
// ended and how long it took.
func (b *balancer) begin(name string) func(callEnd, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(name).outstanding++
	return func(end callEnd, took time.Duration) { b.end(name, end, took) }
}

func (b *balancer) end(name string, end callEnd, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(name)
	s.outstanding--
	switch end {
	case callOK:
		s.failures = 0
		s.ejectedUntil = time.Time{}
		b.latency.add(took)
	case callFailed:
		s.ejectedUntil = b.now().Add(min(baseEjection<<min(s.failures, 10), maxEjection))
		s.failures++
	}
}

// hedgeDelay returns the time after which a call counts as late.
func (b *balancer) hedgeDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latency.hedgeDelay()
}
