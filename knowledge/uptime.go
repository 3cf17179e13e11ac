package knowledge

import (
	"sync"
	"time"
)

// Uptime is a span on the store's clock in which the store is known to have served the endpoint
// table in one era, without an outage long enough for an entry to expire.
type Uptime struct {
	Era int64
	// Since and Until are times on the store's clock; both are 0 if nothing is known.
	Since, Until time.Duration
}

const (
	// minOutageHeartbeats is the minimum length, in heartbeats, of an outage in which entries of
	// live endpoints can expire. An entry expires after three missed heartbeats in a row, and
	// heartbeats may come early.
	minOutageHeartbeats = 1.5
	// maxPauseHeartbeats is the longest pause between two responses, in heartbeats, that does not
	// count as an outage if no request has failed: the node that queries the store may have died,
	// and another node takes over.
	maxPauseHeartbeats = 2
	// entryRecoveryTime is the time after the end of an outage by which the entries of live
	// endpoints have been written again: the platform promises about two seconds.
	entryRecoveryTime = RewriteTime
)

// UptimeTracker tracks the uptime of the store from its responses to this node and to others. Its
// methods are safe for concurrent use.
type UptimeTracker struct {
	// minOutage is the pause that counts as an outage, because entries may have expired in it, if a
	// request has failed or the span comes from another node; maxPause is the longer one that
	// counts if no request has failed.
	minOutage, maxPause time.Duration

	mu    sync.Mutex
	known Uptime
	// failed is set if a request of any node to the store has failed since known.Until.
	failed bool
	// restored is set from a restoration of the store until the first response in the new era.
	restored bool
}

// NewUptimeTracker returns an UptimeTracker without a known span. heartbeat is the interval between
// two writes of an endpoint's entry.
func NewUptimeTracker(heartbeat time.Duration) *UptimeTracker {
	beats := func(n float64) time.Duration { return time.Duration(n * float64(heartbeat)) }
	return &UptimeTracker{minOutage: beats(minOutageHeartbeats), maxPause: beats(maxPauseHeartbeats)}
}

// RecordFailure records that a request to the store, by this node or another one, got no response.
func (r *UptimeTracker) RecordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = true
}

// BeginEra records the store's era. restored is set if the store was restored from a copy since the
// known era: the copy may lack entries of live endpoints, so the known span ends. It is not set for
// the first era that is known.
func (r *UptimeTracker) BeginEra(era int64, restored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case era <= r.known.Era:
	case restored:
		r.known, r.failed, r.restored = Uptime{Era: era}, false, true
	default:
		r.known.Era = era
	}
}

// RecordAnswer records a response of the store to this node. at is the time of the response on the
// store's clock. It returns the length of the outage that the response ends, 0 if there was none.
func (r *UptimeTracker) RecordAnswer(at time.Duration) (outage time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at < r.known.Until-r.maxPause {
		// Responses to other nodes are this far ahead only if the store's clock was set back.
		r.known = Uptime{Era: r.known.Era}
	}
	answered := Uptime{Era: r.known.Era, Since: at, Until: at}
	if r.failed {
		return r.mergeLocked(answered, r.minOutage)
	}
	return r.mergeLocked(answered, r.maxPause)
}

// MergeWithEntries merges the span known to another node that has sent, together with the span, all
// its entries as of span.Until. It returns the length of the outage between the known span and this
// one, 0 if there was none.
func (r *UptimeTracker) MergeWithEntries(span Uptime) (outage time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mergeLocked(span, r.minOutage)
}

// mergeLocked joins a span that begins no later than pause after the end of the known one, and
// replaces the known span by one that begins later. It returns the length of the outage between the
// two. The caller holds r.mu.
func (r *UptimeTracker) mergeLocked(span Uptime, pause time.Duration) (outage time.Duration) {
	switch {
	case !span.valid() || span.Era < r.known.Era:
	case !r.known.valid() || span.Era > r.known.Era:
		r.known, r.failed, r.restored = span, false, false
	case span.Since > r.known.Until+pause:
		outage = span.Since - r.known.Until
		r.known, r.failed = span, false
	default:
		r.extendBackLocked(span)
		r.failed = r.failed && span.Until <= r.known.Until
		r.known.Until = max(r.known.Until, span.Until)
	}
	return outage
}

// MergeWithoutEntries merges the span known to another node that did not send its entries. Such a
// span can show that the store served others while this node got no responses, but not that an
// entry is still missing. MergeWithoutEntries therefore only moves the start of the known span
// back, and reports whether it did.
func (r *UptimeTracker) MergeWithoutEntries(span Uptime) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return span.valid() && span.Era == r.known.Era && r.extendBackLocked(span)
}

func (r *UptimeTracker) extendBackLocked(span Uptime) bool {
	if span.Since >= r.known.Since || span.Until < r.known.Since-r.minOutage {
		return false
	}
	r.known.Since = span.Since
	return true
}

func (u Uptime) valid() bool { return u.Since > 0 && u.Since <= u.Until }

// Current returns the known span; it is empty if nothing is known.
func (r *UptimeTracker) Current() Uptime {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}

// GraceRemaining returns how much longer the store must be up before missing entries are final:
// entries that expired in an outage may still be written again until then. It is 0 if missing
// entries are final.
func (r *UptimeTracker) GraceRemaining() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.restored {
		return entryRecoveryTime
	}
	if !r.known.valid() {
		return 0
	}
	return max(r.known.Since+entryRecoveryTime-r.known.Until, 0)
}
