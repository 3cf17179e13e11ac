package knowledge

import (
	"sync"
	"time"
)

// RewriteTime is the time after a restoration of the store from a copy within which the operator
// and the endpoints write again what was lost.
const RewriteTime = 2100 * time.Millisecond

// RestorationTracker tracks the era of the store, which increases with each restoration from a copy.
// Its methods are safe for concurrent use.
type RestorationTracker struct {
	now func() time.Duration

	mu    sync.Mutex
	known bool
	era   int64
	// restored is set if a restoration was observed; restoredAt is the time of the last one.
	restored   bool
	restoredAt time.Duration
}

// NewRestorationTracker returns a tracker that knows no era. now reads a monotonic clock.
func NewRestorationTracker(now func() time.Duration) *RestorationTracker {
	return &RestorationTracker{now: now}
}

// Observe records the era that the store reported. It reports whether the store was restored since
// the last known era. The first era is known without a restoration.
func (r *RestorationTracker) Observe(era int64) (restored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known && era <= r.era {
		return false
	}
	restored = r.known
	r.known, r.era = true, era
	if restored {
		r.restored, r.restoredAt = true, r.now()
	}
	return restored
}

// ObserveAge records the time since the last restoration as another node in the same era knows it. A
// node that starts after a restoration learns of it in this way.
func (r *RestorationTracker) ObserveAge(era int64, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known && r.era == era && !r.restored && age > 0 {
		r.restored, r.restoredAt = true, r.now()-age
	}
}

// Era returns the known era; 0 if none is known.
func (r *RestorationTracker) Era() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

// Age returns the time since the last restoration; ok is false if none was observed.
func (r *RestorationTracker) Age() (age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now() - r.restoredAt, r.restored
}

// GraceRemaining returns how much longer the store may lack what was lost in the last restoration. It
// is 0 if the store is complete.
func (r *RestorationTracker) GraceRemaining() time.Duration {
	age, ok := r.Age()
	if !ok {
		return 0
	}
	return max(RewriteTime-age, 0)
}
