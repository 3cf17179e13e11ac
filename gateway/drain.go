package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/retry"
)

const (
	// leavePropagation is the time within which every gateway learns that this one is leaving.
	// Until then, others may still include it in their address answers.
	spreadAllowance = 3 * time.Second
	drainPoll       = 50 * time.Millisecond
)

// drain tracks the drain of this gateway.
type drain struct {
	mu         sync.Mutex
	since      time.Time // when the drain began; zero before
	closed     bool      // new requests are refused
	lastAnswer time.Time
}

func (d *drain) leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.since.IsZero()
}

func (d *drain) refusing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed
}

// recordAddressAnswer records that an address answer was returned.
func (d *drain) answered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.since.IsZero() {
		d.lastAnswer = time.Now()
	}
}

func (d *drain) begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.since.IsZero() {
		d.since = time.Now()
	}
}

func (d *drain) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
}

// Drain takes the gateway out of service without aborting a request:
//  1. It is removed from the address answers: from its own at once, and from those of other
//     gateways as they learn that it is leaving.
//  2. It serves new requests until the last answer that included it has expired.
//  3. It waits for the running requests, including queued ones, and for background tasks.
//
// It returns when all of them have ended or ctx ends.
func (g *Gateway) Drain(ctx context.Context) {
	g.drain.begin()
	g.log.Info("drain began")
	g.tellLeaving(ctx)
	g.callers.SetKeepAlivesEnabled(false)
	retry.Sleep(ctx, spreadAllowance+g.settings.addressTTL)
	g.drain.close()
	for ctx.Err() == nil && g.running.total() > 0 {
		retry.Sleep(ctx, drainPoll)
	}
	g.waitBackground(ctx)
	g.log.Info("drain ended", zap.Int("running", g.running.total()))
}

// background runs f in a goroutine that Drain waits for.
func (g *Gateway) background(f func()) {
	g.tasks.Add(1)
	go func() {
		defer g.tasks.Done()
		f()
	}()
}

func (g *Gateway) waitBackground(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		g.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
