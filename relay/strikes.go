package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/policy"
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
	// StrikesTold is how long each strike is told to the other nodes: several datagrams,
	// any of which may be lost.
	StrikesTold = 2 * time.Second
)

// Strikes counts the endpoints that died while running a request, on all nodes.
type Strikes struct {
	// Tell is called when other nodes should hear at once; it must not block.
	Tell func()

	now      func() time.Duration
	mu       sync.Mutex
	suspects *policy.Suspects
	// fresh are those of this node that other nodes may not know yet.
	fresh []Strike
}

// NewStrikes returns an empty record. Now reads a monotonic clock.
func NewStrikes(now func() time.Duration) *Strikes {
	return &Strikes{Tell: func() {}, now: now, suspects: policy.NewSuspects(strikeMemory)}
}

// Count returns the number of endpoints that died of the work lately.
func (s *Strikes) Count(work Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Count(uint64(work), s.now())
}

// Below returns how long it takes until the work has fewer strikes than the limit; 0 if it
// has fewer now.
func (s *Strikes) Below(work Fingerprint, limit int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.TimeUntilBelow(uint64(work), limit, s.now())
}

// Add records a death seen by this node and returns the strikes against the work.
func (s *Strikes) Add(work Fingerprint, endpoint uint32) int {
	defer s.Tell()
	s.mu.Lock()
	defer s.mu.Unlock()
	strike := Strike{Work: work, Endpoint: endpoint, At: s.now()}
	s.suspects.Record(strike.held())
	s.fresh = append(s.fresh, strike)
	return s.suspects.Count(uint64(work), strike.At)
}

// Merge records a death seen by another node. How old it is is not told, so it counts as
// old as it may be: what others go on telling of work that was cleared here since does not
// bring its strikes back.
func (s *Strikes) Merge(work Fingerprint, endpoint uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.suspects.Merge(Strike{Work: work, Endpoint: endpoint, At: now - StrikesTold}.held(), now)
}

// Clear forgets the deaths of work that has had a whole answer: it does not kill endpoints.
func (s *Strikes) Clear(work Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.Clear(uint64(work), s.now())
}

func (k Strike) held() policy.Strike {
	return policy.Strike{Fingerprint: uint64(k.Work), Death: uint64(k.Endpoint), At: k.At}
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
