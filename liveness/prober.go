// Package liveness finds out whether an endpoint that is silent is running: it asks the endpoint over a new
// connection, once at a time for all requests that wait for the answer.
package liveness

import (
	"context"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// Answer is the outcome of a probe.
type Answer struct {
	// Took is the time until the answer or the error.
	Took time.Duration
	// Err is nil if the endpoint has answered.
	Err error
}

// Prober asks endpoints whether they run. It is safe for concurrent use.
type Prober struct {
	// probe asks an endpoint over a new connection. Any answer will do.
	probe func(ctx context.Context, in fleet.Instance) error
	// timeout bounds one probe.
	timeout time.Duration

	mu   sync.Mutex
	open map[fleet.Incarnation]*call
}

// call is a probe in progress. answer is set before done is closed.
type call struct {
	done   chan struct{}
	answer Answer
}

// NewProber returns a Prober. probe asks an endpoint over a new connection; timeout bounds one probe.
func NewProber(timeout time.Duration, probe func(ctx context.Context, in fleet.Instance) error) *Prober {
	return &Prober{probe: probe, timeout: timeout, open: make(map[fleet.Incarnation]*call)}
}

// Ask returns the answer of the endpoint, or ctx.Err() if ctx ends first. It joins a probe of the endpoint
// that is in progress: the answer arrives after the call of Ask in any case.
func (p *Prober) Ask(ctx context.Context, in fleet.Instance) Answer {
	began := time.Now()
	c := p.begin(in)
	select {
	case <-c.done:
		return c.answer
	case <-ctx.Done():
		return Answer{Took: time.Since(began), Err: ctx.Err()}
	}
}

// begin returns the probe of the endpoint that is in progress, or starts one.
func (p *Prober) begin(in fleet.Instance) *call {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := in.Incarnation()
	if c := p.open[id]; c != nil {
		return c
	}
	c := &call{done: make(chan struct{})}
	p.open[id] = c
	go p.run(c, in)
	return c
}

func (p *Prober) run(c *call, in fleet.Instance) {
	ctx, cancel := context.WithTimeout(context.Background(), p.timeout)
	defer cancel()
	metrics.Count("liveness_probes")
	began := time.Now()
	err := p.probe(ctx, in)
	p.mu.Lock()
	delete(p.open, in.Incarnation())
	p.mu.Unlock()
	c.answer = Answer{Took: time.Since(began), Err: err}
	close(c.done)
}
