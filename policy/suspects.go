package policy

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxSuspects bounds the fingerprints remembered.
	maxSuspects = 4096
	// maxDeaths bounds the deaths remembered of one fingerprint: more than any bound
	// on them that an operator would set.
	maxDeaths = 16
	// StrikeLife is how long a strike counts where callers send a deadly request again for
	// minutes.
	StrikeLife = 10 * time.Minute
)

// Strike is one endpoint death at which a request was running.
type Strike struct {
	Fingerprint uint64
	// Death identifies the death together with the fingerprint. Two schedulers that
	// both hear of it give it the same value.
	Death uint64
	// At is the time of the death.
	At time.Duration
}

// Suspects remembers which requests were running when endpoints died. Callers
// send a deadly request again under new keys, so it is known by its fingerprint.
//
// Deaths are kept as a set and not as a number: two schedulers of a pool, as there are
// while gateways disagree on who schedules, each see some of the deaths, and the larger
// of two numbers would leave out what only the other one saw. A request would then kill
// more endpoints than the bound allows.
type Suspects struct {
	// life is how long a strike counts.
	life   time.Duration
	deaths map[uint64]map[uint64]time.Duration
	// cleared is when a request that had strikes ran to its end.
	cleared map[uint64]time.Duration
}

// NewSuspects returns an empty memory in which each strike counts for the given time.
func NewSuspects(life time.Duration) *Suspects {
	return &Suspects{life: life, deaths: make(map[uint64]map[uint64]time.Duration), cleared: make(map[uint64]time.Duration)}
}

// Strike records that an endpoint died while the request was running there. It is
// idempotent for each death.
func (s *Suspects) Strike(k Strike) {
	known := s.deaths[k.Fingerprint]
	if known == nil {
		if len(s.deaths) >= maxSuspects {
			s.evict()
		}
		known = make(map[uint64]time.Duration)
		s.deaths[k.Fingerprint] = known
	}
	if _, counted := known[k.Death]; !counted && len(known) < maxDeaths {
		known[k.Death] = k.At
	}
}

// Clear forgets a request that has run to its end: it did not kill its endpoint.
func (s *Suspects) Clear(fingerprint uint64, now time.Duration) {
	if len(s.deaths[fingerprint]) == 0 {
		return
	}
	if len(s.cleared) >= maxSuspects {
		clear(s.cleared)
	}
	s.cleared[fingerprint] = now
	delete(s.deaths, fingerprint)
}

// clearSlack is by how much a strike may look younger than it is to one that is told of it:
// the way of a message.
const clearSlack = 500 * time.Millisecond

// Merge takes over a strike that another scheduler recorded. Those who told of a request
// before it was cleared go on telling for a while; what they tell does not bring its
// strikes back.
func (s *Suspects) Merge(k Strike, now time.Duration) {
	at, cleared := s.cleared[k.Fingerprint]
	if now-k.At > s.life || (cleared && k.At <= at+clearSlack) {
		return
	}
	s.Strike(k)
}

// Count returns the strikes against the request that still count.
func (s *Suspects) Count(fingerprint uint64, now time.Duration) int {
	s.forget(fingerprint, now)
	return len(s.deaths[fingerprint])
}

// forget drops the strikes against a request that no longer count.
func (s *Suspects) forget(fingerprint uint64, now time.Duration) {
	known := s.deaths[fingerprint]
	for death, at := range known {
		if now-at > s.life {
			delete(known, death)
		}
	}
	if len(known) == 0 {
		delete(s.deaths, fingerprint)
	}
}

// Below returns how long it takes until fewer strikes than the bound count against the
// request; 0 if that is so now. It is when the request may come back.
func (s *Suspects) Below(fingerprint uint64, bound int, now time.Duration) time.Duration {
	over := s.Count(fingerprint, now) - bound
	if over < 0 {
		return 0
	}
	times := slices.Sorted(maps.Values(s.deaths[fingerprint]))
	return max(s.life-(now-times[over]), 0)
}

func (s *Suspects) last(fingerprint uint64) time.Duration {
	var last time.Duration
	for _, at := range s.deaths[fingerprint] {
		last = max(last, at)
	}
	return last
}

// All appends every strike that still counts to dst, at most limit of them.
func (s *Suspects) All(dst []Strike, limit int, now time.Duration) []Strike {
	for fingerprint, known := range s.deaths {
		for death, at := range known {
			if len(dst) >= limit {
				return dst
			}
			if now-at <= s.life {
				dst = append(dst, Strike{Fingerprint: fingerprint, Death: death, At: at})
			}
		}
	}
	return dst
}

// evict drops the request whose last strike is the oldest.
func (s *Suspects) evict() {
	var oldest uint64
	var oldestAt time.Duration
	found := false
	for fingerprint := range s.deaths {
		if at := s.last(fingerprint); !found || at < oldestAt {
			oldest, oldestAt, found = fingerprint, at, true
		}
	}
	delete(s.deaths, oldest)
}
