package fleet

import (
	"context"
	"sort"
	"time"

	"github.com/crocusreel/crocusreel"
)

// waiter is one piece of work that waits for a place.
type waiter struct {
	want  *Want
	since time.Duration
	// until is when the wait ends without a place.
	until time.Duration
	// ended gets the end of the wait.
	ended chan waitEnd
	turn  turn
}

// waitEnd is a place, or a refusal once no endpoint may run the work.
type waitEnd struct {
	place   *Placement
	refusal *crocusreel.Refusal
}

// lateRank is added to the rank of work that can no longer start in time. Room that it
// took would make work late that is still in time, and so on with each that follows: as
// soon as more comes than there is room for, a line that is served by age alone is one
// in which every answer is late. Work that is late is served when nothing else waits.
const lateRank = 1 << 16

// late tells whether the work can no longer start in time.
func (w *waiter) late(now time.Duration) bool {
	return w.want.StartWithin > 0 && now-w.since > w.want.StartWithin
}

// rank is the work's rank among all that waits.
func (w *waiter) rank(now time.Duration) int {
	if w.late(now) {
		return w.want.Rank + lateRank
	}
	return w.want.Rank
}

// queue holds the waiting work of one line, ordered by rank and arrival.
type queue struct {
	waiting []*waiter
}

// first returns up to n waiters in the order in which they are served.
func (q *queue) first(now time.Duration, n int) []*waiter {
	var inTime, late []*waiter
	for _, w := range q.waiting {
		if w.late(now) {
			late = append(late, w)
		} else if inTime = append(inTime, w); len(inTime) == n {
			return inTime
		}
	}
	all := append(inTime, late...)
	return all[:min(n, len(all))]
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
	if refusal := f.unservableLocked(&w); refusal != nil {
		defer f.mu.Unlock()
		return nil, refusal
	}
	inTurn := patience <= 0 || f.aheadLocked(&w, w.Rank, f.now()) == 0
	if q := f.queues[f.line(&w)]; inTurn && (q == nil || !q.ahead(w.Rank, f.now())) {
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
	if refusal := f.refuseLongWaitLocked(&w, f.waitingInLineLocked(&w), patience); refusal != nil {
		defer f.mu.Unlock()
		return nil, refusal
	}
	waiting, refusal := f.enqueueLocked(&w, patience)
	// What waits ahead may be too large for the room that there is.
	f.dispatchLineLocked(f.line(&w))
	if w.Service.Engine != nil {
		f.Changed("")
	}
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
	case end := <-w.ended:
		if end.place != nil {
			end.place.Waited = f.now() - w.since
		}
		return end.place, end.refusal
	case <-timer.C:
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queues[f.line(w.want)].remove(w)
	if w.want.Service.Engine != nil {
		f.Changed("")
	}
	select {
	case end := <-w.ended:
		// The place was granted while the wait ended.
		if end.place == nil || ctx.Err() == nil {
			return end.place, end.refusal
		}
		go end.place.Release(Neutral)
	default:
	}
	return nil, f.refuseLocked(w.want)
}

func (f *Fleet) enqueueLocked(w *Want, patience time.Duration) (*waiter, *crocusreel.Refusal) {
	l := f.line(w)
	q := f.queues[l]
	if q == nil {
		q = &queue{}
		f.queues[l] = q
	}
	if len(q.waiting) >= maxWaiting {
		return nil, f.refuseLocked(w)
	}
	if f.Without[LateBehind] {
		w.StartWithin = 0
	}
	now := f.now()
	entry := &waiter{want: w, since: now, until: now + patience, ended: make(chan waitEnd, 1)}
	at := sort.Search(len(q.waiting), func(i int) bool { return q.waiting[i].want.Rank > w.Rank })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = entry
	return entry, nil
}

// ahead tells whether work of this or a more urgent rank is waiting.
func (q *queue) ahead(rank int, now time.Duration) bool {
	first := q.first(now, 1)
	return len(first) > 0 && first[0].rank(now) <= rank
}

func (q *queue) remove(w *waiter) {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// dispatchLocked gives places to the waiting work of a service while there is room.
// Long answers come first: what they cannot use is left for the short ones.
func (f *Fleet) dispatchLocked(service string) {
	f.dispatchLineLocked(line{service: service})
	f.dispatchLineLocked(line{service: service, short: true})
}

func (f *Fleet) dispatchAllLocked() {
	for l := range f.queues {
		if !l.short {
			f.dispatchLineLocked(l)
		}
	}
	for l := range f.queues {
		if l.short {
			f.dispatchLineLocked(l)
		}
	}
}

// dispatchLineLocked gives places to the waiting work of a line while there is room.
func (f *Fleet) dispatchLineLocked(l line) {
	q := f.queues[l]
	if q == nil {
		return
	}
	now := f.now()
	for _, w := range q.first(now, lookAhead) {
		w.want.late = w.late(now)
		e := f.pickLocked(w.want)
		if e == nil {
			w.turn.sees = false
			continue
		}
		f.grantLocked(q, w, e)
	}
}

// dispatchToLocked gives waiting work of a line the room that came free on a few
// endpoints. Work that waits has found no room anywhere, so the others need not be looked
// through once more: with thousands of engines and hundreds of nodes that tell of theirs,
// that would take more than the nodes' processors.
func (f *Fleet) dispatchToLocked(l line, freed []*Endpoint) {
	q := f.queues[l]
	if q == nil {
		return
	}
	now := f.now()
	for _, w := range q.first(now, lookAhead) {
		w.want.late = w.late(now)
		if e := f.pickAmongLocked(w.want, freed); e != nil {
			f.grantLocked(q, w, e)
		}
	}
}

// grantLocked gives a waiter the place if it is its turn.
func (f *Fleet) grantLocked(q *queue, w *waiter, e *Endpoint) {
	// The turns at a cold or limited endpoint keep nodes apart already.
	apart := e.limited() || (w.want.Service.Engine == nil && f.coldLocked(e, w.want.Service, f.now()))
	if !apart && !f.mayClaimLocked(w) {
		return
	}
	q.remove(w)
	w.ended <- waitEnd{place: f.placeLocked(e, w.want.Demand)}
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
		if !e.isLeaving && f.inRegionsLocked(e, w) {
			alive++
		}
	}
	if alive == 0 && w.Bound {
		return refuseNoneInRegions(w)
	}
	if alive == 0 {
		return crocusreel.Refuse(crocusreel.ReasonNoEndpoint, crocusreel.OutcomeNotRun, noEndpointRetry,
			"no endpoint of service %q is in service", w.Service.Name)
	}
	waiting := f.waitingLocked(w.Service.Name)
	retry := min(shortestRetry+time.Duration(waiting)*waitPerRequest, longestRetry)
	return crocusreel.Refuse(crocusreel.ReasonQueueFull, crocusreel.OutcomeNotRun, retry,
		"%d endpoints of service %q have no room, %d requests wait here", alive, w.Service.Name, waiting)
}

// Waiting returns the number of requests that wait for a service.
func (f *Fleet) Waiting(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waitingLocked(service)
}

func (f *Fleet) waitingInLineLocked(w *Want) int {
	if q := f.queues[f.line(w)]; q != nil {
		return len(q.waiting)
	}
	return 0
}

func (f *Fleet) waitingLocked(service string) int {
	waiting := 0
	for l, q := range f.queues {
		if l.service == service {
			waiting += len(q.waiting)
		}
	}
	return waiting
}
