package scheduler

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crocusreel/crocusreel/endpoint"
)

const (
	// pollInterval is the shortest time between two periodic polls of an engine, before jitter.
	pollInterval = 500 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
	// pollsPerSecond bounds the periodic polls of one scheduler, whatever the number of engines:
	// with more engines, each is polled less often.
	pollsPerSecond = 200
)

// poller polls one engine until it is stopped.
type poller struct {
	address string
	trigger chan struct{}
	stop    context.CancelFunc
}

// pollIntervalFor returns the time between two polls of each of n engines.
func pollIntervalFor(n int) time.Duration {
	return max(pollInterval, time.Duration(n)*time.Second/pollsPerSecond)
}

// startPollers starts pollers for new engines and stops those of removed ones. It runs on the
// pool's goroutine.
func (p *pool) startPollers() {
	for name, r := range p.pollers {
		e, ok := p.core.engines[name]
		if !ok || e.spec.Address != r.address {
			r.stop()
			delete(p.pollers, name)
		}
	}
	interval := pollIntervalFor(len(p.core.sortedEngines))
	for _, e := range p.core.sortedEngines {
		if _, ok := p.pollers[e.spec.Name]; ok {
			continue
		}
		ctx, stop := context.WithCancel(p.ctx)
		r := &poller{address: e.spec.Address, trigger: make(chan struct{}, 1), stop: stop}
		p.pollers[e.spec.Name] = r
		p.wg.Add(1)
		go p.poll(ctx, r, e.spec.Name, p.opts.engineClient(e.spec), interval)
	}
}

func (p *pool) stopPollers() {
	for name, r := range p.pollers {
		r.stop()
		delete(p.pollers, name)
	}
}

// pollNow triggers an immediate poll of an engine. It runs on the pool's goroutine and does not
// block.
func (p *pool) pollNow(name string) {
	r, ok := p.pollers[name]
	if !ok {
		return
	}
	select {
	case r.trigger <- struct{}{}:
	default:
	}
}

func (p *pool) poll(ctx context.Context, r *poller, name string, eng endpoint.Engine, interval time.Duration) {
	defer p.wg.Done()
	cache := cacheFeed{engine: name}
	for ctx.Err() == nil {
		startedAt := p.opts.now()
		report, err := fetchLoad(ctx, eng)
		if ctx.Err() != nil {
			return
		}
		p.send(polledEvent{pollResult{engine: name, report: report, err: err, startedAt: startedAt}})
		if err == nil {
			cache.fetch(ctx, p, eng, report.Incarnation)
		}
		// Jitter of 10 % keeps schedulers that started at the same time from polling in step.
		wait := time.Duration(float64(interval) * (0.9 + 0.2*rand.Float64()))
		select {
		case <-ctx.Done():
			return
		case <-r.trigger:
		case <-time.After(wait):
		}
	}
}

// pollsPerCacheFetch is the number of load polls for each fetch of cache events. Cache events are
// hints and arrive late anyway.
const pollsPerCacheFetch = 2

// cacheFeed follows the cache events of one engine.
type cacheFeed struct {
	engine      string
	incarnation string
	lastSeq     uint64
	polls       int
}

// fetch passes new cache events to the pool. Events lost in a gap are not fetched again: the cache
// state that they would update expires by itself.
func (f *cacheFeed) fetch(ctx context.Context, p *pool, eng endpoint.Engine, incarnation string) {
	if incarnation != f.incarnation {
		// A restarted engine numbers its events from the start, and would return none after the old
		// number.
		f.incarnation, f.lastSeq = incarnation, 0
	}
	if f.polls++; f.polls%pollsPerCacheFetch != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	events, err := eng.CacheEvents(ctx, f.lastSeq)
	if err != nil || len(events) == 0 {
		return
	}
	f.lastSeq = events[len(events)-1].Seq
	p.send(cacheEvent{engine: f.engine, events: events})
}

func fetchLoad(ctx context.Context, eng endpoint.Engine) (endpoint.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return eng.Load(ctx)
}
