package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"
)

// Fingerprint identifies work by its path, its workspace and its content. A request
// that kills endpoints comes back with a new attempt ID but the same fingerprint.
type Fingerprint uint64

// NewFingerprint hashes the parts that stay the same when a caller sends work again.
func NewFingerprint(workspace, target string, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(workspace))
	h.Write([]byte{0})
	h.Write([]byte(target))
	h.Write([]byte{0})
	h.Write(body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// Strike records that an endpoint died while it ran some work. Two reports of one
// death are one strike.
type Strike struct {
	Work     Fingerprint
	Endpoint uint32
	At       time.Duration
}

const (
	// strikeMemory is how long a death is held against a request: longer than the
	// retries of a caller and the restart of an engine together.
	strikeMemory = 90 * time.Second
	// maxStrikes bounds the remembered deaths. A crash of many endpoints at once cuts
	// some hundred requests.
	maxStrikes = 1024
)

// Strikes counts the endpoints that died while running a request, on all nodes.
type Strikes struct {
	now func() time.Duration
	mu  sync.Mutex
	all map[Fingerprint]map[uint32]time.Duration
	// fresh are those of this node that other nodes may not know yet.
	fresh []Strike
}

// NewStrikes returns an empty record. Now reads a monotonic clock.
func NewStrikes(now func() time.Duration) *Strikes {
	return &Strikes{now: now, all: make(map[Fingerprint]map[uint32]time.Duration)}
}

// Count returns the number of endpoints that died of the work.
func (s *Strikes) Count(work Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all[work])
}

// Add records a death seen by this node.
func (s *Strikes) Add(work Fingerprint, endpoint uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	strike := Strike{Work: work, Endpoint: endpoint, At: s.now()}
	s.addLocked(strike)
	s.fresh = append(s.fresh, strike)
}

// Merge records a death seen by another node.
func (s *Strikes) Merge(work Fingerprint, endpoint uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocked(Strike{Work: work, Endpoint: endpoint, At: s.now()})
}

func (s *Strikes) addLocked(k Strike) {
	if len(s.all) >= maxStrikes {
		s.forgetLocked()
	}
	if s.all[k.Work] == nil {
		s.all[k.Work] = make(map[uint32]time.Duration)
	}
	if _, known := s.all[k.Work][k.Endpoint]; !known {
		s.all[k.Work][k.Endpoint] = k.At
	}
}

// forgetLocked drops old strikes, and all of them if none is old: a full record must
// not refuse the requests of a whole outage for ever.
func (s *Strikes) forgetLocked() {
	now := s.now()
	for work, deaths := range s.all {
		for endpoint, at := range deaths {
			if now-at > strikeMemory {
				delete(deaths, endpoint)
			}
		}
		if len(deaths) == 0 {
			delete(s.all, work)
		}
	}
	if len(s.all) >= maxStrikes {
		clear(s.all)
	}
}

// Fresh returns this node's strikes since the given age and forgets older ones.
func (s *Strikes) Fresh(age time.Duration) []Strike {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	kept := s.fresh[:0]
	for _, k := range s.fresh {
		if now-k.At <= age {
			kept = append(kept, k)
		}
	}
	s.fresh = kept
	return append([]Strike(nil), kept...)
}
