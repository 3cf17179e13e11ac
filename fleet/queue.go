package fleet

import (
	"context"
	"sort"
	"time"

	"github.com/crocusreel/crocusreel"
)

// waiter is one piece of work that waits for a place.
type waiter struct {
	want    *Want
	since   time.Duration
	granted chan *Placement
}

// queue holds the waiting work of one service, ordered by rank and arrival.
type queue struct {
	waiting []*waiter
}

const (
	// maxWaiting bounds the work that waits for one service on one node: at the rate of
	// a burst it is several seconds' worth, beyond which callers have left.
	maxWaiting = 256
	// lookAhead is how many waiting requests are tried for a place when the first does
	// not fit: a large answer must not keep small ones from memory that it cannot use.
	lookAhead = 8
)

// Acquire returns a place for the work. It waits for room at most for the time
// patience, or until ctx ends. With patience 0 it does not wait.
func (f *Fleet) Acquire(ctx context.Context, w Want, patience time.Duration) (*Placement, *crocusreel.Refusal) {
	f.mu.Lock()
	if q := f.queues[w.Service.Name]; q == nil || !q.ahead(w.Rank) {
		if e := f.pickLocked(&w); e != nil {
			p := f.placeLocked(e, w.Demand)
			f.mu.Unlock()
			return p, nil
		}
	}
	if patience <= 0 {
		defer f.mu.Unlock()
		return nil, f.refuseLocked(&w)
	}
	waiting, refusal := f.enqueueLocked(&w)
	// What waits ahead may be too large for the room that there is.
	f.dispatchLocked(w.Service.Name)
	f.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	return f.await(ctx, waiting, patience)
}

func (f *Fleet) await(ctx context.Context, w *waiter, patience time.Duration) (*Placement, *crocusreel.Refusal) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case p := <-w.granted:
		p.Waited = f.now() - w.since
		return p, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queues[w.want.Service.Name].remove(w)
	select {
	case p := <-w.granted:
		// The place was granted while the wait ended.
		if ctx.Err() == nil {
			return p, nil
		}
		go p.Release(Neutral)
	default:
	}
	return nil, f.refuseLocked(w.want)
}

func (f *Fleet) enqueueLocked(w *Want) (*waiter, *crocusreel.Refusal) {
	q := f.queues[w.Service.Name]
	if q == nil {
		q = &queue{}
		f.queues[w.Service.Name] = q
	}
	if len(q.waiting) >= maxWaiting {
		return nil, f.refuseLocked(w)
	}
	entry := &waiter{want: w, since: f.now(), granted: make(chan *Placement, 1)}
	at := sort.Search(len(q.waiting), func(i int) bool { return q.waiting[i].want.Rank > w.Rank })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = entry
	return entry, nil
}

// ahead tells whether work of this or a more urgent rank is waiting.
func (q *queue) ahead(rank int) bool {
	return len(q.waiting) > 0 && q.waiting[0].want.Rank <= rank
}

func (q *queue) remove(w *waiter) {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// dispatchLocked gives places to waiting work while there is room.
func (f *Fleet) dispatchLocked(service string) {
	q := f.queues[service]
	if q == nil {
		return
	}
	for i := 0; i < len(q.waiting) && i < lookAhead; {
		w := q.waiting[i]
		e := f.pickLocked(w.want)
		if e == nil {
			i++
			continue
		}
		q.remove(w)
		w.granted <- f.placeLocked(e, w.want.Demand)
	}
}

// Bounds of the time after which refused callers are asked to come back.
const (
	shortestRetry = 300 * time.Millisecond
	longestRetry  = 3 * time.Second
	// noEndpointRetry is for a service without any endpoint: new ones register
	// within seconds.
	noEndpointRetry = time.Second
	// waitPerRequest is about the time in which one place comes free.
	waitPerRequest = 100 * time.Millisecond
)

func (f *Fleet) refuseLocked(w *Want) *crocusreel.Refusal {
	alive := 0
	for _, e := range f.services[w.Service.Name] {
		if !e.isLeaving {
			alive++
		}
	}
	if alive == 0 {
		return crocusreel.Refuse(crocusreel.ReasonNoEndpoint, crocusreel.OutcomeNotRun, noEndpointRetry,
			"no endpoint of service %s is in service", w.Service.Name)
	}
	waiting := 0
	if q := f.queues[w.Service.Name]; q != nil {
		waiting = len(q.waiting)
	}
	retry := min(shortestRetry+time.Duration(waiting)*waitPerRequest, longestRetry)
	return crocusreel.Refuse(crocusreel.ReasonQueueFull, crocusreel.OutcomeNotRun, retry,
		"%d endpoints of service %s have no room, %d requests wait here", alive, w.Service.Name, waiting)
}

// Waiting returns the number of requests that wait for a service.
func (f *Fleet) Waiting(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if q := f.queues[service]; q != nil {
		return len(q.waiting)
	}
	return 0
}
