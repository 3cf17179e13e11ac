// Package runtimes bounds the time that a run may take, from the runs of the same kind that were
// observed in the last minute and those that are in flight. It does no I/O.
package runtimes

import (
	"sync"
	"sync/atomic"
	"time"
)

// Kind identifies runs that take similar times.
type Kind struct{ Service, Route string }

// Tracker observes runs. It is safe for concurrent use. A nil Tracker observes nothing.
type Tracker struct {
	now func() time.Duration

	mu    sync.Mutex
	kinds map[Kind]*history
}

// history is what is known of one kind of run.
type history struct {
	inFlight map[*Run]struct{}
	usedAt   time.Duration
	// whole is the time from the begin to the end of a run, first that to its first event, gap the mean
	// time between two of its events.
	whole, first, gap measure
}

// NewTracker returns a tracker. now is a monotonic clock.
func NewTracker(now func() time.Duration) *Tracker {
	return &Tracker{now: now, kinds: make(map[Kind]*history)}
}

// settledEvents is the number of events from which on a run in flight shows its pace.
const settledEvents = 8

// Run is a run in flight. Its methods do nothing on a nil Run.
type Run struct {
	tracker *Tracker
	kind    Kind
	beganAt time.Duration
	// firstAt is when the first event arrived, in nanoseconds; 0 before. events is the number of events.
	firstAt, events atomic.Int64
}

// Begin records that a run begins.
func (t *Tracker) Begin(k Kind) *Run {
	if t == nil {
		return nil
	}
	now := t.now()
	r := &Run{tracker: t, kind: k, beganAt: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.kinds[k]
	if h == nil {
		t.dropUnused(now)
		h = &history{inFlight: make(map[*Run]struct{})}
		t.kinds[k] = h
	}
	h.inFlight[r], h.usedAt = struct{}{}, now
	return r
}

// dropUnused forgets the kinds of which nothing was observed within the window.
func (t *Tracker) dropUnused(now time.Duration) {
	for k, h := range t.kinds {
		if len(h.inFlight) == 0 && now-h.usedAt > window {
			delete(t.kinds, k)
		}
	}
}

// Event records that an event of the run has arrived.
func (r *Run) Event() {
	if r != nil && r.events.Add(1) == 1 {
		r.firstAt.Store(int64(r.tracker.now()))
	}
}

// End records that the run has ended. completed is set if it has ended by its whole answer. It must be
// called once.
func (r *Run) End(completed bool) {
	if r == nil {
		return
	}
	t := r.tracker
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.kinds[r.kind]
	delete(h.inFlight, r)
	h.usedAt = now
	add := (*measure).addPeak
	if completed {
		add = (*measure).add
	}
	add(&h.whole, now, now-r.beganAt)
	if first, ok := r.first(); ok {
		add(&h.first, now, first)
	}
	if gap, ok := r.gap(now, 2); ok {
		add(&h.gap, now, gap)
	}
}

// first returns the time to the first event, false if there was none.
func (r *Run) first() (time.Duration, bool) {
	at := time.Duration(r.firstAt.Load())
	return at - r.beganAt, at > 0
}

// gap returns the mean time between two events until now, false if there were fewer than minEvents.
func (r *Run) gap(now time.Duration, minEvents int64) (time.Duration, bool) {
	events := r.events.Load()
	if events < minEvents {
		return 0, false
	}
	return (now - time.Duration(r.firstAt.Load())) / time.Duration(events-1), true
}

// Pace is how fast a stream runs.
type Pace struct {
	// First is the time to the first event, Gap the time between two events.
	First, Gap time.Duration
}

// maxBound bounds what a size without bounds may lead to.
const maxBound = 24 * time.Hour

// inspect calls f with what is known of a kind, if anything is.
func (t *Tracker) inspect(k Kind, f func(h *history, now time.Duration)) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.kinds[k]; h != nil {
		f(h, t.now())
	}
}

// LongestRun returns the longest time that a run may take which begins now, at least floor. It returns
// false if too little is known of its kind.
func (t *Tracker) LongestRun(k Kind, floor time.Duration) (longest time.Duration, known bool) {
	t.inspect(k, func(h *history, now time.Duration) {
		oldest := time.Duration(0)
		for r := range h.inFlight {
			oldest = max(oldest, now-r.beganAt)
		}
		longest, known = h.whole.longest(now, floor, oldest)
	})
	return longest, known
}

// LongestStream returns the longest time that a stream may take which begins now and has up to the given
// number of events, at a pace that is never faster than floor. It returns false if too little is known of
// its kind.
func (t *Tracker) LongestStream(k Kind, events int, floor Pace) (longest time.Duration, known bool) {
	t.inspect(k, func(h *history, now time.Duration) {
		slowest := h.slowestInFlight(now)
		first, firstKnown := h.first.longest(now, floor.First, slowest.First)
		gap, gapKnown := h.gap.longest(now, floor.Gap, slowest.Gap)
		longest = time.Duration(min(float64(first)+float64(events)*float64(gap), float64(maxBound)))
		known = firstKnown && gapKnown
	})
	return longest, known
}

// slowestInFlight returns the slowest pace of the streams in flight, as far as they have come.
func (h *history) slowestInFlight(now time.Duration) (slowest Pace) {
	for r := range h.inFlight {
		first, begun := r.first()
		if !begun {
			first = now - r.beganAt
		}
		slowest.First = max(slowest.First, first)
		if gap, ok := r.gap(now, settledEvents); ok {
			slowest.Gap = max(slowest.Gap, gap)
		}
	}
	return slowest
}
