package relay

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/policy"
)

// Fingerprint identifies work by its workspace, its path and its content. A request that kills
// endpoints is sent again with a new attempt ID but has the same fingerprint.
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

// Strike records that an endpoint died while it ran some work. Two reports of the same death are
// one strike.
type Strike struct {
	Work     Fingerprint
	Endpoint uint32
	At       time.Duration
}

const (
	// strikeTTL is how long a death counts against a request: longer than the retries of a caller
	// and the restart of an engine together.
	strikeTTL = 90 * time.Second
	// StrikeBroadcastPeriod is how long each strike is broadcast to the other nodes. That takes
	// several datagrams, any of which may be lost.
	StrikeBroadcastPeriod = 2 * time.Second
)

// Strikes counts the endpoints, on all nodes, that died while they ran a request. It is safe for
// concurrent use.
type Strikes struct {
	// Broadcast is called when other nodes should receive this node's strikes at once. It must not
	// block.
	Broadcast func()
	// Announce sends this node's strikes to the other nodes and returns once they have been sent, or
	// when ctx ends.
	Announce func(ctx context.Context)

	now      func() time.Duration
	mu       sync.Mutex
	suspects *policy.Suspects
	// own holds the strikes of this node that are still to be broadcast.
	own []Strike
}

// NewStrikes returns an empty record. The function now reads a monotonic clock.
func NewStrikes(now func() time.Duration) *Strikes {
	return &Strikes{Broadcast: func() {}, Announce: func(context.Context) {}, now: now, suspects: policy.NewSuspects(strikeTTL)}
}

// Count returns the number of endpoints that died of the work within the last strikeTTL.
func (s *Strikes) Count(work Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Count(uint64(work), s.now())
}

// UntilBelow returns the time until the work has fewer strikes than the limit, 0 if it already has
// fewer.
func (s *Strikes) UntilBelow(work Fingerprint, limit int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.TimeUntilBelow(uint64(work), limit, s.now())
}

// Add records a death observed by this node and returns the number of strikes against the work.
func (s *Strikes) Add(work Fingerprint, endpoint uint32) int {
	defer s.Broadcast()
	s.mu.Lock()
	defer s.mu.Unlock()
	strike := Strike{Work: work, Endpoint: endpoint, At: s.now()}
	s.suspects.Record(strike.toPolicy())
	s.own = append(s.own, strike)
	return s.suspects.Count(uint64(work), strike.At)
}

// Merge records a death reported by another node. Reports do not carry an age, so a strike is
// assumed to be as old as the broadcast period allows: strikes that other nodes keep broadcasting
// for work that has since been cleared here do not come back.
func (s *Strikes) Merge(work Fingerprint, endpoint uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.suspects.Merge(Strike{Work: work, Endpoint: endpoint, At: now - StrikeBroadcastPeriod}.toPolicy(), now)
}

// Clear removes the strikes against work that got a complete answer, which proves that it does not
// kill endpoints.
func (s *Strikes) Clear(work Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.Clear(uint64(work), s.now())
}

func (k Strike) toPolicy() policy.Strike {
	return policy.Strike{Fingerprint: uint64(k.Work), Death: uint64(k.Endpoint), At: k.At}
}

// OwnRecent returns the strikes of this node that are not older than maxAge and drops the others.
func (s *Strikes) OwnRecent(maxAge time.Duration) []Strike {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	kept := s.own[:0]
	for _, k := range s.own {
		if now-k.At <= maxAge {
			kept = append(kept, k)
		}
	}
	s.own = kept
	return append([]Strike(nil), kept...)
}
