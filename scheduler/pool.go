package scheduler

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/notice"
)

const (
	// tickInterval is the time between two runs of the periodic work.
	tickInterval = 25 * time.Millisecond
	// eventBuffer is the capacity of a pool's event channel.
	eventBuffer = 1024
	// eventBatch bounds the further events handled in one batch before requests are dispatched
	// again.
	eventBatch = 256
	// idleTimeout is how long a pool for which this gateway is not the scheduler continues to poll
	// engines after its last request.
	idleTimeout = 10 * time.Second
	// expiryInterval is the time between two checks for gateways that stopped reporting.
	expiryInterval = time.Second
)

// poolOptions connect a pool to its environment.
type poolOptions struct {
	vm           string
	name         string
	now          func() time.Duration
	log          *zap.Logger
	engineClient func(config.EndpointSpec) endpoint.Engine
	notice       func(config.EndpointSpec) notice.Notice
}

// pool runs a core: one goroutine owns the state and handles events.
type pool struct {
	opts   poolOptions
	core   *core
	events chan event
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup
	// chosen is set while this gateway is the pool's scheduler.
	chosen   atomic.Bool
	lastUsed atomic.Int64
	pollers  map[string]*poller
	active   bool
}

// event is a message to a pool's goroutine.
type event interface {
	apply(p *pool, now time.Duration)
}

// processID distinguishes the permit IDs of different processes on one VM. It is derived from the
// start time and is not the operating system's process ID.
var processID = strconv.FormatInt(time.Now().UnixNano(), 36)

var poolNumber atomic.Int64

func newPool(ctx context.Context, o poolOptions, pc poolConfig) *pool {
	p := &pool{opts: o, events: make(chan event, eventBuffer), pollers: make(map[string]*poller)}
	p.ctx, p.stop = context.WithCancel(ctx)
	number := strconv.FormatInt(poolNumber.Add(1), 36)
	p.core = newCore(o.vm, hooks{
		poll:   p.pollNow,
		notice: o.notice,
		log:    o.log.With(zap.String("pool", o.name)),
		count:  metrics.CountN,
		id:     o.vm + "/" + processID + "." + number + "/",
	})
	p.core.configure(pc, o.now())
	p.lastUsed.Store(int64(-idleTimeout))
	p.wg.Add(1)
	go p.run()
	return p
}

// close stops the pool and waits for its goroutines.
func (p *pool) close() {
	p.stop()
	p.wg.Wait()
}

func (p *pool) send(e event) bool {
	select {
	case p.events <- e:
		return true
	case <-p.ctx.Done():
		return false
	}
}

func (p *pool) run() {
	defer p.wg.Done()
	defer p.stopPollers()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var lastExpiry time.Duration
	for {
		select {
		case <-p.ctx.Done():
			return
		case e := <-p.events:
			p.handle(e)
		case <-ticker.C:
			p.handleTick(&lastExpiry)
		}
	}
}

// handle applies an event and further queued ones, up to eventBatch, and then dispatches requests.
func (p *pool) handle(e event) {
	now := p.opts.now()
	e.apply(p, now)
	for range eventBatch {
		select {
		case e = <-p.events:
			e.apply(p, now)
			continue
		default:
		}
		break
	}
	p.core.dispatch(now)
}

// handleTick does the periodic work of an active pool. lastExpiry is the time of the last check for
// gateways that stopped reporting.
func (p *pool) handleTick(lastExpiry *time.Duration) {
	now := p.opts.now()
	p.updateActive(now)
	if !p.active {
		return
	}
	p.core.tick(now)
	if now-*lastExpiry > expiryInterval {
		*lastExpiry = now
		p.core.expire(reportExpiry(p.core.pc.gateways), now)
	}
	p.core.dispatch(now)
}

// updateActive activates or deactivates the pool, and with it the polling of engines.
func (p *pool) updateActive(now time.Duration) {
	// A pool with queued requests stays active: once stopped, it would never answer them.
	shouldBeActive := p.chosen.Load() || p.core.anyWaiting() || now-time.Duration(p.lastUsed.Load()) < idleTimeout
	if shouldBeActive == p.active {
		return
	}
	p.active = shouldBeActive
	if shouldBeActive {
		p.core.activate(now)
		p.startPollers()
		return
	}
	p.core.hooks.log.Info("pool idle")
	p.stopPollers()
}

// Events handled on the pool's goroutine.

type acquireEvent struct{ w *queuedRequest }

func (e acquireEvent) apply(p *pool, now time.Duration) {
	p.lastUsed.Store(int64(now))
	p.updateActive(now)
	p.core.enqueue(e.w, now)
}

type cancelEvent struct{ w *queuedRequest }

func (e cancelEvent) apply(p *pool, now time.Duration) { p.core.cancel(e.w, now) }

type reportEvent struct {
	report *gatewayReport
	// reply receives what the gateway has to remember; nil if it is not needed.
	reply chan toRemember
}

func (e reportEvent) apply(p *pool, now time.Duration) {
	p.updateActive(now)
	remember := p.core.report(e.report, now)
	if e.reply != nil {
		e.reply <- remember
	}
}

type polledEvent struct{ result pollResult }

func (e polledEvent) apply(p *pool, now time.Duration) { p.core.applyPoll(e.result, now) }

type cacheEvent struct {
	engine string
	events []endpoint.CacheEvent
}

func (e cacheEvent) apply(p *pool, now time.Duration) {
	for _, c := range e.events {
		if c.Stored {
			p.core.prefix.AddIfKnown(e.engine, c.Prefix, now)
		} else {
			p.core.prefix.Remove(e.engine, c.Prefix)
		}
	}
}

type configEvent struct{ pc poolConfig }

func (e configEvent) apply(p *pool, now time.Duration) {
	p.core.configure(e.pc, now)
	if p.active {
		p.startPollers()
	}
}

// acquire waits for a permit. It returns a *crocusreel.Refusal if the request is refused or the
// pool is closed, and the context's error if ctx ends first.
func (p *pool) acquire(ctx context.Context, req Request) (Permit, error) {
	w := &queuedRequest{req: req, reply: make(chan result, 1)}
	if deadline, ok := ctx.Deadline(); ok {
		w.deadline = p.opts.now() + time.Until(deadline)
	}
	if !p.send(acquireEvent{w}) {
		return Permit{}, errPoolClosed
	}
	select {
	case r := <-w.reply:
		if r.refusal != nil {
			return Permit{}, r.refusal
		}
		if ctx.Err() != nil {
			// The permit was granted while the caller cancelled. Unless it is returned here, it
			// holds engine memory until the next full report.
			p.send(cancelEvent{w})
			return Permit{}, ctx.Err()
		}
		return r.permit, nil
	case <-ctx.Done():
		p.send(cancelEvent{w})
		return Permit{}, ctx.Err()
	case <-p.ctx.Done():
		return Permit{}, errPoolClosed
	}
}

// errPoolClosed is returned while a configuration change replaces pools, and after the Manager was
// closed.
var errPoolClosed = crocusreel.Refuse(crocusreel.ReasonSchedulerUnreachable, crocusreel.OutcomeNotRun, minRetryAfter,
	"the scheduler has stopped")

// report passes a gateway's report to the core and returns what the gateway has to remember.
func (p *pool) report(ctx context.Context, r *gatewayReport) (toRemember, error) {
	reply := make(chan toRemember, 1)
	if !p.send(reportEvent{report: r, reply: reply}) {
		return toRemember{}, errPoolClosed
	}
	select {
	case s := <-reply:
		return s, nil
	case <-ctx.Done():
		return toRemember{}, ctx.Err()
	case <-p.ctx.Done():
		return toRemember{}, errPoolClosed
	}
}
