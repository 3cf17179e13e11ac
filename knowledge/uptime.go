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
	// endpoints expire: they do after three without one, and the last before the outage is up to
	// one old.
	lapseHeartbeats = 2
	// entriesBack is the time from an outage's end after which the entries of living endpoints are
	// back: the platform promises about two seconds.
	entriesBack = 2100 * time.Millisecond
)

// UptimeRecord is a node's account of the store's uptime, from the store's answers to any node.
// Its methods may be called from any goroutine.
type UptimeRecord struct {
	// pause is the longest time between two answers in which no entry can have expired.
	pause time.Duration

	mu    sync.Mutex
	known Uptime
}

// NewUptimeRecord returns an empty account. Heartbeat is the time between two writes of an
// endpoint's entry.
func NewUptimeRecord(heartbeat time.Duration) *UptimeRecord {
	return &UptimeRecord{pause: lapseHeartbeats * heartbeat}
}

// Answered takes an answer of the store to this node, which was made at the given time of the
// store's clock. It returns the length of the outage that the answer ends, 0 if there was none.
func (r *UptimeRecord) Answered(at time.Duration) (outage time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at < r.known.Until-r.pause {
		// Other nodes' answers are that far ahead only if the clock was set back.
		r.known = Uptime{}
	}
	return r.serveLocked(Uptime{Since: at, Until: at})
}

// Told takes the account of another node together with all entries as of told.Until.
func (r *UptimeRecord) Told(told Uptime) (outage time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serveLocked(told)
}

func (r *UptimeRecord) serveLocked(told Uptime) (outage time.Duration) {
	switch {
	case !told.valid():
	case r.known == Uptime{}:
		r.known = told
	case told.Since > r.known.Until+r.pause:
		outage = told.Since - r.known.Until
		r.known = told
	default:
		r.extendBackLocked(told)
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
	if told.Since >= r.known.Since || told.Until < r.known.Since-r.pause {
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
