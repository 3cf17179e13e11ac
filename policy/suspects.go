package policy

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxSuspects bounds the number of fingerprints held.
	maxSuspects = 4096
	// maxDeathsPerFingerprint bounds the number of deaths held per fingerprint. It is above any
	// limit on strikes that an operator would set.
	maxDeathsPerFingerprint = 16
	// StrikeTTL is how long a strike counts in deployments whose callers keep resending a request
	// that kills endpoints for several minutes.
	StrikeTTL = 10 * time.Minute
)

// Strike records that a request was running at an endpoint when the endpoint died.
type Strike struct {
	Fingerprint uint64
	// Death identifies the death, together with the fingerprint. Schedulers that learn of the same
	// death independently use the same value.
	Death uint64
	// At is the time of the death.
	At time.Duration
}

// Suspects tracks which requests were running when endpoints died. Callers resend a request that
// kills endpoints, and use new idempotency keys for it, so requests are identified by a
// fingerprint.
//
// Deaths are kept as a set rather than as a count. While gateways disagree on which of them
// schedules a pool, two schedulers each see only some of the deaths, and the maximum of two counts
// would miss those that only the other one saw. A request could then kill more endpoints than the
// limit allows.
type Suspects struct {
	// ttl is how long a strike counts.
	ttl    time.Duration
	deaths map[uint64]map[uint64]time.Duration
	// cleared holds, by fingerprint, the time at which a request that had strikes completed.
	cleared map[uint64]time.Duration
}

// NewSuspects returns an empty Suspects in which each strike counts for the duration ttl.
func NewSuspects(ttl time.Duration) *Suspects {
	return &Suspects{ttl: ttl, deaths: make(map[uint64]map[uint64]time.Duration), cleared: make(map[uint64]time.Duration)}
}

// Record records a strike. Recording the same death again has no effect.
func (s *Suspects) Record(k Strike) {
	known := s.deaths[k.Fingerprint]
	if known == nil {
		if len(s.deaths) >= maxSuspects {
			s.evict()
		}
		known = make(map[uint64]time.Duration)
		s.deaths[k.Fingerprint] = known
	}
	if _, counted := known[k.Death]; !counted && len(known) < maxDeathsPerFingerprint {
		known[k.Death] = k.At
	}
}

// Clear drops the strikes against a request that has completed, since it did not kill its endpoint.
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

// clearTolerance allows for the transmission delay of a strike, which makes it look younger than it
// is to the scheduler that receives it.
const clearTolerance = 500 * time.Millisecond

// Merge records a strike received from another scheduler, unless it has expired or the request was
// cleared after the death. Schedulers keep sending strikes for a while after a request was cleared,
// and these must not bring the strikes back.
func (s *Suspects) Merge(k Strike, now time.Duration) {
	at, cleared := s.cleared[k.Fingerprint]
	if now-k.At > s.ttl || (cleared && k.At <= at+clearTolerance) {
		return
	}
	s.Record(k)
}

// Count returns the number of strikes against the request that have not expired.
func (s *Suspects) Count(fingerprint uint64, now time.Duration) int {
	s.expire(fingerprint, now)
	return len(s.deaths[fingerprint])
}

// expire drops the expired strikes against a request.
func (s *Suspects) expire(fingerprint uint64, now time.Duration) {
	known := s.deaths[fingerprint]
	for death, at := range known {
		if now-at > s.ttl {
			delete(known, death)
		}
	}
	if len(known) == 0 {
		delete(s.deaths, fingerprint)
	}
}

// TimeUntilBelow returns the time until the request has fewer than bound strikes, which is when it
// may be retried; 0 if it has fewer now.
func (s *Suspects) TimeUntilBelow(fingerprint uint64, bound int, now time.Duration) time.Duration {
	over := s.Count(fingerprint, now) - bound
	if over < 0 {
		return 0
	}
	times := slices.Sorted(maps.Values(s.deaths[fingerprint]))
	return max(s.ttl-(now-times[over]), 0)
}

func (s *Suspects) lastStrike(fingerprint uint64) time.Duration {
	var last time.Duration
	for _, at := range s.deaths[fingerprint] {
		last = max(last, at)
	}
	return last
}

// AppendStrikes appends the strikes that have not expired to dst, until dst has limit elements.
func (s *Suspects) AppendStrikes(dst []Strike, limit int, now time.Duration) []Strike {
	for fingerprint, known := range s.deaths {
		for death, at := range known {
			if len(dst) >= limit {
				return dst
			}
			if now-at <= s.ttl {
				dst = append(dst, Strike{Fingerprint: fingerprint, Death: death, At: at})
			}
		}
	}
	return dst
}

// evict drops the request whose latest strike is the oldest.
func (s *Suspects) evict() {
	var oldest uint64
	var oldestAt time.Duration
	found := false
	for fingerprint := range s.deaths {
		if at := s.lastStrike(fingerprint); !found || at < oldestAt {
			oldest, oldestAt, found = fingerprint, at, true
		}
	}
	delete(s.deaths, oldest)
}
