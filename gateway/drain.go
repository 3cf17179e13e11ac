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
	leavePropagation  = 3 * time.Second
	drainPollInterval = 50 * time.Millisecond
)

// drain tracks the drain of this gateway.
type drain struct {
	mu         sync.Mutex
	startedAt  time.Time // when the drain began; zero before
	refuseNew  bool      // new requests are refused
	lastAnswer time.Time
}

func (d *drain) leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.startedAt.IsZero()
}

func (d *drain) refusing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refuseNew
}

// recordAddressAnswer records that an address answer was returned.
func (d *drain) recordAddressAnswer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.startedAt.IsZero() {
		d.lastAnswer = time.Now()
	}
}

func (d *drain) begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.startedAt.IsZero() {
		d.startedAt = time.Now()
	}
}

func (d *drain) stopAccepting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuseNew = true
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
	g.reportLeaving(ctx)
	g.callerServer.SetKeepAlivesEnabled(false)
	retry.Sleep(ctx, leavePropagation+g.settings.addressTTL)
	g.drain.stopAccepting()
	g.awaitIdle(ctx)
	g.waitBackground(ctx)
	g.log.Info("drain ended", zap.Int("running", g.running.total()))
}

// awaitIdle waits until no request is running, and then lets none start.
func (g *Gateway) awaitIdle(ctx context.Context) {
	for ctx.Err() == nil && !g.running.closeIfIdle() {
		retry.Sleep(ctx, drainPollInterval)
	}
}

// background runs f in a goroutine that Drain waits for.
func (g *Gateway) background(f func()) {
	g.backgroundTasks.Add(1)
	go func() {
		defer g.backgroundTasks.Done()
		f()
	}()
}

func (g *Gateway) waitBackground(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		g.backgroundTasks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
