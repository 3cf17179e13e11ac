package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/internal/metrics"
)

// workerPool runs jobs on a fixed number of goroutines, from a bounded queue.
type workerPool struct {
	jobs   chan func(context.Context)
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// mu guards closed, and keeps submit from sending on jobs after close has closed it.
	mu     sync.Mutex
	closed bool
}

func newWorkerPool(workers, queue int) *workerPool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &workerPool{jobs: make(chan func(context.Context), queue), ctx: ctx, cancel: cancel}
	for range workers {
		p.wg.Go(p.work)
	}
	return p
}

func (p *workerPool) work() {
	for job := range p.jobs {
		job(p.ctx)
	}
}

// submit queues a job without blocking. It returns false if the queue is full or closed.
func (p *workerPool) submit(job func(context.Context)) bool {
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
func (p *workerPool) close(ctx context.Context) {
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

// retryInBackground runs f in the background until it succeeds, at most maxEndTries times. A job
// that is dropped or abandoned leaves its record in the started state. Later attempts read that as
// unknown, which is safe but blocks the key, so drops are counted.
func (l *Ledger) retryInBackground(f func(context.Context) error) {
	job := func(ctx context.Context) {
		for try := range maxEndTries {
			err := f(ctx)
			if err == nil || errors.Is(err, errClaimOverwritten) {
				return
			}
			if !l.backoff(ctx, try) {
				break
			}
		}
		metrics.Count("ledger_end_given_up")
	}
	if !l.pool.submit(job) {
		metrics.Count("ledger_end_dropped")
	}
}

// backoff waits before the next try, for a random time of up to RetryBase doubled with each try and
// at most maxBackoff. The jitter spreads the retries of all gateways after an outage. It returns
// false if ctx is cancelled.
func (l *Ledger) backoff(ctx context.Context, try int) bool {
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
