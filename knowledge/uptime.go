package knowledge

import (
	"sync"
	"time"
)

// Uptime is a span of the store's clock in which the store is known to have served the
// endpoints' table, with no pause so long that an entry could have expired in it.
type Uptime struct {
	// Since and Until are times of the store's clock; both are 0 if nothing is known.
	Since, Until time.Duration
}

const (
	// lapseHeartbeats is the least length of an outage, in heartbeats, in which entries of living
	// endpoints expire: it takes three in a row, and they may come early.
	lapseHeartbeats = 1.5
	// unaskedHeartbeats is the longest pause between two answers, in heartbeats, that is no outage
	// if no question has failed: the node that asks may have died, and another one takes over.
	unaskedHeartbeats = 2
	// entriesBack is the time from an outage's end after which the entries of living endpoints are
	// back: the platform promises about two seconds.
	entriesBack = 2100 * time.Millisecond
)

// UptimeRecord is a node's account of the store's uptime, from the store's answers to any node.
// Its methods may be called from any goroutine.
type UptimeRecord struct {
	// lapse is the length of an outage from which entries may have expired, and unasked the pause
	// from which it is one although no question has failed.
	lapse, unasked time.Duration

	mu    sync.Mutex
	known Uptime
	// failed is set if a question of some node has failed since known.Until.
	failed bool
}

// NewUptimeRecord returns an empty account. Heartbeat is the time between two writes of an
// endpoint's entry.
func NewUptimeRecord(heartbeat time.Duration) *UptimeRecord {
	beats := func(n float64) time.Duration { return time.Duration(n * float64(heartbeat)) }
	return &UptimeRecord{lapse: beats(lapseHeartbeats), unasked: beats(unaskedHeartbeats)}
}

// Failed records that the store didn't answer a question of this node or of another one.
func (r *UptimeRecord) Failed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = true
}

// Answered takes an answer of the store to this node, which was made at the given time of the
// store's clock. It returns the length of the outage that the answer ends, 0 if there was none.
func (r *UptimeRecord) Answered(at time.Duration) (outage time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at < r.known.Until-r.unasked {
		// Other nodes' answers are that far ahead only if the clock was set back.
		r.known = Uptime{}
	}
	if r.failed {
		return r.serveLocked(Uptime{Since: at, Until: at}, r.lapse)
	}
	return r.serveLocked(Uptime{Since: at, Until: at}, r.unasked)
}

// Told takes the account of another node together with all entries as of told.Until.
func (r *UptimeRecord) Told(told Uptime) (outage time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serveLocked(told, r.lapse)
}

// serveLocked joins a span that begins within the given pause, and begins anew with a later one.
func (r *UptimeRecord) serveLocked(told Uptime, pause time.Duration) (outage time.Duration) {
	switch {
	case !told.valid():
	case r.known == Uptime{}:
		r.known = told
	case told.Since > r.known.Until+pause:
		outage = told.Since - r.known.Until
		r.known, r.failed = told, false
	default:
		r.extendBackLocked(told)
		r.failed = r.failed && told.Until <= r.known.Until
		r.known.Until = max(r.known.Until, told.Until)
	}
	return outage
}

// Heard takes the account of another node without its entries: it can show that the store served
// others during a pause of its answers here, but not that an entry is still missing. It returns
// whether it did.
func (r *UptimeRecord) Heard(told Uptime) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return told.valid() && r.extendBackLocked(told)
}

func (r *UptimeRecord) extendBackLocked(told Uptime) bool {
	if told.Since >= r.known.Since || told.Until < r.known.Since-r.lapse {
		return false
	}
	r.known.Since = told.Since
	return true
}

func (u Uptime) valid() bool { return u.Since > 0 && u.Since <= u.Until }

// Current returns what is known.
func (r *UptimeRecord) Current() Uptime {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}

// Doubt is how much longer the store has to serve until entries that are missing are so for
// good: those that expired in an outage may still come back. It is 0 if they can't.
func (r *UptimeRecord) Doubt() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known == (Uptime{}) {
		return 0
	}
	return max(r.known.Since+entriesBack-r.known.Until, 0)
}
