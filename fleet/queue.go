package fleet

import (
	"context"
	"sort"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/fairshare"
)

// waiter is a piece of work that waits for a placement.
type waiter struct {
	work       *Work
	enqueuedAt time.Duration
	// deadline is the time at which the wait ends without a placement.
	deadline time.Duration
	// done receives the outcome of the wait. It has a buffer of one.
	done chan waitResult
	turn turn
	// workspace is the key of the work's workspace.
	workspace fairshare.Key
}

// waitResult is the outcome of a wait: a placement, or a refusal if no endpoint can run the work in
// time.
type waitResult struct {
	placement *Placement
	refusal   *crocusreel.Refusal
}

// lateRankPenalty is added to the rank of work that can no longer start in time, so that such work
// is served only when nothing else waits. Capacity spent on late work would delay work that can
// still start in time: under overload, a queue that is ordered by age alone makes every answer
// late.
const lateRankPenalty = 1 << 16

// late reports whether the work can no longer start in time.
func (w *waiter) late(now time.Duration) bool {
	return w.work.StartWithin > 0 && now-w.enqueuedAt > w.work.StartWithin
}

// rank returns the current rank of the work, including the penalty for late work.
func (w *waiter) rank(now time.Duration) int {
	if w.late(now) {
		return w.work.Rank + lateRankPenalty
	}
	return w.work.Rank
}

// queue holds the waiting work of one queueID, ordered by rank and then by arrival.
type queue struct {
	waiting []*waiter
	// shares is nil if the queue is not subject to shares.
	shares *serviceShares
}

// head returns up to n waiters in the order in which they are served.
func (q *queue) head(now time.Duration, n int) []*waiter {
	if q.shares.active() {
		return q.headByShare(now, n)
	}
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
	// maxQueueLength limits the length of each queue on one node. At the rate of a burst it holds
	// several seconds of work; callers further back would have given up.
	maxQueueLength = 256
	// dispatchLookahead is the number of waiters that are tried if the first does not fit, so that
	// a large answer does not keep small ones from memory that it cannot use itself.
	dispatchLookahead = 8
)

// Acquire returns a placement for the work. It waits for capacity for at most maxWait, or until
// ctx ends. If maxWait is 0, it does not wait.
func (f *Fleet) Acquire(ctx context.Context, w Work, maxWait time.Duration) (*Placement, *crocusreel.Refusal) {
	f.mu.Lock()
	f.overloadLocked(w.Service.Name).demand.Record(f.now())
	if refusal := f.unservableLocked(&w); refusal != nil {
		defer f.mu.Unlock()
		return nil, refusal
	}
	inTurn := maxWait <= 0 || f.nodesAheadLocked(&w, w.Rank, f.now()) == 0
	if q := f.queues[f.queueIDFor(&w)]; inTurn && (q == nil || !q.hasAhead(w.Rank, f.now())) {
		if e := f.pickLocked(&w); e != nil {
			p := f.placeWorkLocked(e, &w)
			p.rank = w.Rank
			f.chargeLocked(&w)
			f.mu.Unlock()
			return p, nil
		}
	}
	if maxWait <= 0 {
		defer f.mu.Unlock()
		return nil, f.refuseLocked(&w)
	}
	if refusal := f.refuseLongWaitLocked(&w, f.queueLengthLocked(&w), maxWait); refusal != nil {
		defer f.mu.Unlock()
		return nil, refusal
	}
	if refusal := f.refuseHopelessLocked(&w, maxWait); refusal != nil {
		defer f.mu.Unlock()
		return nil, refusal
	}
	waiting, refusal := f.enqueueLocked(&w, maxWait)
	// The waiters ahead may be too large for the free capacity.
	f.dispatchQueueLocked(f.queueIDFor(&w))
	if w.Service.Engine != nil {
		f.Broadcast("")
	}
	f.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	return f.await(ctx, waiting, maxWait)
}

func (f *Fleet) await(ctx context.Context, w *waiter, maxWait time.Duration) (*Placement, *crocusreel.Refusal) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case end := <-w.done:
		if end.placement != nil {
			end.placement.Waited = f.now() - w.enqueuedAt
			f.observeWait(w.work, end.placement.Waited)
		}
		return end.placement, end.refusal
	case <-timer.C:
		if more := f.extendWait(w); more > 0 {
			return f.await(ctx, w, more)
		}
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queues[f.queueIDFor(w.work)].remove(w)
	if w.work.Service.Engine != nil {
		f.Broadcast("")
	}
	select {
	case end := <-w.done:
		// The placement was granted while the wait ended.
		if end.placement == nil || ctx.Err() == nil {
			return end.placement, end.refusal
		}
		go end.placement.Release(Neutral)
	default:
	}
	f.countRefusedLocked(w.work)
	return nil, f.refuseLocked(w.work)
}

func (f *Fleet) enqueueLocked(w *Work, maxWait time.Duration) (*waiter, *crocusreel.Refusal) {
	id := f.queueIDFor(w)
	q := f.queues[id]
	if q == nil {
		q = &queue{shares: f.sharesLocked(w)}
		f.queues[id] = q
	}
	if len(q.waiting) >= maxQueueLength && !f.makeRoomLocked(q, w) {
		f.countRefusedLocked(w)
		return nil, f.refuseLocked(w)
	}
	if f.Disabled[LateWorkLast] {
		w.StartWithin = 0
	}
	now := f.now()
	w.enqueuedAt = now
	entry := &waiter{work: w, enqueuedAt: now, deadline: now + maxWait, done: make(chan waitResult, 1), workspace: fairshare.KeyOf(w.Workspace)}
	at := sort.Search(len(q.waiting), func(i int) bool { return q.waiting[i].work.Rank > w.Rank })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = entry
	f.enqueuedLocked(w, q.shares)
	return entry, nil
}

// hasAhead reports whether work of the same or a more urgent rank is waiting.
func (q *queue) hasAhead(rank int, now time.Duration) bool {
	first := q.head(now, 1)
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

// dispatchLocked grants placements to the waiting work of a service while there is capacity. Long
// answers are served first; short ones can use the memory share that is closed to long ones.
func (f *Fleet) dispatchLocked(service string) {
	f.dispatchQueueLocked(queueID{service: service})
	f.dispatchQueueLocked(queueID{service: service, short: true})
}

func (f *Fleet) dispatchAllLocked() {
	for id := range f.queues {
		if !id.short {
			f.dispatchQueueLocked(id)
		}
	}
	for id := range f.queues {
		if id.short {
			f.dispatchQueueLocked(id)
		}
	}
}

// dispatchQueueLocked grants placements to the waiting work of a queue while there is capacity.
func (f *Fleet) dispatchQueueLocked(id queueID) {
	q := f.queues[id]
	if q == nil {
		return
	}
	now := f.now()
	for _, w := range q.head(now, dispatchLookahead) {
		w.work.late = w.late(now)
		e := f.pickLocked(w.work)
		if e == nil {
			w.turn.hasCapacity = false
			continue
		}
		f.grantLocked(q, w, e)
	}
}

// dispatchToEndpointsLocked grants capacity that was freed on a few endpoints to the waiting work
// of a queue. Waiting work has found no capacity on any endpoint, so the others are not searched
// again: with thousands of engines and hundreds of nodes that report their load, a full search on
// each report would take more CPU time than the nodes have.
func (f *Fleet) dispatchToEndpointsLocked(id queueID, freed []*Endpoint) {
	q := f.queues[id]
	if q == nil {
		return
	}
	now := f.now()
	for _, w := range q.head(now, dispatchLookahead) {
		w.work.late = w.late(now)
		if e := f.pickAmongLocked(w.work, freed); e != nil {
			f.grantLocked(q, w, e)
		}
	}
}

// grantLocked grants the placement to a waiter if it is its turn.
func (f *Fleet) grantLocked(q *queue, w *waiter, e *Endpoint) {
	// The turns at a cold or limited endpoint already prevent simultaneous claims by several nodes.
	pacedByEndpoint := e.limited() || f.brittlePacedLocked(e, f.now()) || (w.work.Service.Engine == nil && f.isColdLocked(e, w.work.Service, f.now()))
	if !pacedByEndpoint && !f.mayClaimLocked(w) {
		return
	}
	q.remove(w)
	p := f.placeWorkLocked(e, w.work)
	p.rank = w.work.Rank
	f.chargeLocked(w.work)
	w.done <- waitResult{placement: p}
}

// Bounds of the retry-after time in refusals.
const (
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// noEndpointRetryDelay applies to a service without any endpoint: new endpoints register within
	// seconds.
	noEndpointRetryDelay = time.Second
	// waitPerRequest is the approximate time in which one placement becomes free.
	waitPerRequest = 100 * time.Millisecond
)

func (f *Fleet) refuseLocked(w *Work) *crocusreel.Refusal {
	inService := 0
	for _, e := range f.services[w.Service.Name] {
		if !e.isLeaving && f.inRegionsLocked(e, w) {
			inService++
		}
	}
	if inService == 0 && w.RegionBound {
		return refuseNoneInRegions(w)
	}
	if inService == 0 {
		return crocusreel.Refuse(crocusreel.ReasonNoEndpoint, crocusreel.OutcomeNotRun, noEndpointRetryDelay,
			"no endpoint of service %q is in service", w.Service.Name)
	}
	waiting := f.waitingLocked(w.Service.Name)
	retry := f.retryAfterLocked(w, min(minRetryAfter+time.Duration(waiting)*waitPerRequest, maxRetryAfter))
	return crocusreel.Refuse(crocusreel.ReasonQueueFull, crocusreel.OutcomeNotRun, retry,
		"%d endpoints of service %q have no room, %d requests wait here", inService, w.Service.Name, waiting)
}

// Waiting returns the number of requests that wait for a service on this node.
func (f *Fleet) Waiting(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waitingLocked(service)
}

func (f *Fleet) queueLengthLocked(w *Work) int {
	if q := f.queues[f.queueIDFor(w)]; q != nil {
		return len(q.waiting)
	}
	return 0
}

func (f *Fleet) waitingLocked(service string) int {
	waiting := 0
	for id, q := range f.queues {
		if id.service == service {
			waiting += len(q.waiting)
		}
	}
	return waiting
}
