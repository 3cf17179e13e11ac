package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/internal/metrics"
)

// pool runs jobs on a fixed number of goroutines, from a bounded queue.
type pool struct {
	jobs   chan func(context.Context)
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// mu guards closed, and keeps add from sending on jobs after close has closed it.
	mu     sync.Mutex
	closed bool
}

func newPool(workers, queue int) *pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &pool{jobs: make(chan func(context.Context), queue), ctx: ctx, cancel: cancel}
	for range workers {
		p.wg.Go(p.work)
	}
	return p
}

func (p *pool) work() {
	for job := range p.jobs {
		job(p.ctx)
	}
}

// add queues a job without blocking. It returns false if the queue is full or closed.
func (p *pool) add(job func(context.Context)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	select {
	case p.jobs <- job:
		return true
	default:
		return false
	}
}

// close stops accepting jobs and waits until the queued ones have run. Once ctx is done, the
// context of the jobs is cancelled.
func (p *pool) close(ctx context.Context) {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.jobs)
	}
	p.mu.Unlock()
	stop := context.AfterFunc(ctx, p.cancel)
	defer stop()
	p.wg.Wait()
	p.cancel()
}

// inBackground runs f in the background until it succeeds, at most endTries times. A job that is
// dropped or given up leaves its record in the started state. Later attempts read that as unknown,
// which is safe but blocks the key, so drops are counted.
func (l *Ledger) inBackground(f func(context.Context) error) {
	job := func(ctx context.Context) {
		for try := range endTries {
			err := f(ctx)
			if err == nil || errors.Is(err, errTaken) {
				return
			}
			if !l.pause(ctx, try) {
				break
			}
		}
		metrics.Count("ledger_end_given_up")
	}
	if !l.pool.add(job) {
		metrics.Count("ledger_end_dropped")
	}
}

// pause waits before the next try, for a random time of up to RetryBase doubled with each try and
// at most maxBackoff. The jitter spreads the retries of all gateways after an outage. It returns
// false if ctx is cancelled.
func (l *Ledger) pause(ctx context.Context, try int) bool {
	limit := maxBackoff
	if shifted := l.opts.RetryBase << min(try, 10); shifted < limit {
		limit = shifted
	}
	timer := time.NewTimer(l.opts.Jitter(limit))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
