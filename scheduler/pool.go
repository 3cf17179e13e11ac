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
	"github.com/crocusreel/crocusreel/policy"
)

const (
	// tickInterval is the time between two looks at what is due with time.
	tickInterval = 25 * time.Millisecond
	// eventBuffer is the number of events that may wait for a pool's goroutine.
	eventBuffer = 1024
	// eventBatch bounds the events handled before requests are placed again.
	eventBatch = 256
	// idleAfter is how long a pool that is not chosen as scheduler goes on polling
	// engines after its last request.
	idleAfter = 10 * time.Second
	// expiryChecks is the time between two looks for gateways that are gone.
	expiryChecks = time.Second
)

// poolOptions connect a pool with its surroundings.
type poolOptions struct {
	vm      string
	name    string
	now     func() time.Duration
	log     *zap.Logger
	engines func(config.EndpointSpec) endpoint.Engine
	notice  func(config.EndpointSpec) notice.Notice
}

// pool runs a core: one goroutine owns its state and handles typed events.
type pool struct {
	opts   poolOptions
	core   *core
	events chan event
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup
	// chosen tells that this gateway is the pool's scheduler.
	chosen   atomic.Bool
	lastUsed atomic.Int64
	pollers  map[string]*poller
	active   bool
}

// event is a message to a pool's goroutine.
type event interface {
	apply(p *pool, now time.Duration)
}

// processID makes permit IDs of different processes on one VM differ.
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
	p.lastUsed.Store(int64(-idleAfter))
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
	var expiry time.Duration
	for {
		select {
		case <-p.ctx.Done():
			return
		case e := <-p.events:
			p.handle(e)
		case <-ticker.C:
			p.due(&expiry)
		}
	}
}

// handle applies an event and those behind it, and then places requests.
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

// due does what time brings.
func (p *pool) due(expiry *time.Duration) {
	now := p.opts.now()
	p.setActive(now)
	if !p.active {
		return
	}
	p.core.tick(now)
	if now-*expiry > expiryChecks {
		*expiry = now
		p.core.expire(reportExpiry(p.core.pc.gateways), now)
	}
	p.core.dispatch(now)
}

// setActive starts or stops the polling of engines.
func (p *pool) setActive(now time.Duration) {
	// A pool that stopped while something waits in it would never answer that.
	busy := p.chosen.Load() || p.core.anyWaiting() || now-time.Duration(p.lastUsed.Load()) < idleAfter
	if busy == p.active {
		return
	}
	p.active = busy
	if busy {
		p.core.activate(now)
		p.startPollers()
		return
	}
	p.core.hooks.log.Info("pool idle")
	p.stopPollers()
}

// Events.

type acquireEvent struct{ w *waiting }

func (e acquireEvent) apply(p *pool, now time.Duration) {
	p.lastUsed.Store(int64(now))
	p.setActive(now)
	p.core.enqueue(e.w, now)
}

type cancelEvent struct{ w *waiting }

func (e cancelEvent) apply(p *pool, now time.Duration) { p.core.cancel(e.w, now) }

type reportEvent struct {
	report *gatewayReport
	// reply gets the strikes to remember; nil if nobody wants them.
	reply chan []policy.Strike
}

func (e reportEvent) apply(p *pool, now time.Duration) {
	p.setActive(now)
	strikes := p.core.report(e.report, now)
	if e.reply != nil {
		e.reply <- strikes
	}
}

type polledEvent struct{ result pollResult }

func (e polledEvent) apply(p *pool, now time.Duration) { p.core.polled(e.result, now) }

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

// acquire waits for a permit. It returns a *crocusreel.Refusal if the request is
// refused, and the context's error if that ends first.
func (p *pool) acquire(ctx context.Context, req Request) (Permit, error) {
	w := &waiting{req: req, reply: make(chan result, 1)}
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
			// The permit came as the caller left; unless it is returned here, it would
			// hold memory until the next full report.
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

// errPoolClosed is met while a configuration replaces pools.
var errPoolClosed = crocusreel.Refuse(crocusreel.ReasonSchedulerUnreachable, crocusreel.OutcomeNotRun, leastRetryAfter,
	"the scheduler has stopped")

// report passes a gateway's report on and returns the strikes to remember.
func (p *pool) report(ctx context.Context, r *gatewayReport) ([]policy.Strike, error) {
	reply := make(chan []policy.Strike, 1)
	if !p.send(reportEvent{report: r, reply: reply}) {
		return nil, errPoolClosed
	}
	select {
	case s := <-reply:
		return s, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.ctx.Done():
		return nil, errPoolClosed
	}
}
