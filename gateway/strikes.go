package gateway

import (
	"sync"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/policy"
)

// maxStrikeKeys bounds the number of pairs of service and content in strikes.lastStrike, which is
// emptied when it is full.
const maxStrikeKeys = 4096

// strikes records which calls were running at plain services that died. A call that crashes each
// service that runs it is refused at the limit, even under new idempotency keys. The strikes of
// engines are kept by the schedulers of their pools. For plain services each gateway counts strikes
// itself, and gateways notify each other of each strike.
type strikes struct {
	mu        sync.Mutex
	startedAt time.Time
	suspects  *policy.Suspects
	// deaths numbers the deaths that were recorded at this gateway.
	deaths uint64
	// lastStrike is the time of the latest strike against a content hash at a service.
	lastStrike map[strikeKey]time.Time
}

type strikeKey struct {
	service     string
	contentHash uint64
}

func newStrikes() *strikes {
	return &strikes{startedAt: time.Now(), suspects: policy.NewSuspects(policy.StrikeTTL), lastStrike: make(map[strikeKey]time.Time)}
}

// add records a strike against the content of a call that was running when a service died. When
// many callers send the same lookup, one death breaks many of these calls; if each of them counted,
// the lookup would be refused for minutes after the service is back. A call that began before the
// latest strike is therefore attributed to the death that was already counted.
//
// It returns the current number of strikes, and whether this one was counted.
func (s *strikes) add(service string, contentHash uint64, callBegan time.Time) (strikes int, counted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := strikeKey{service, contentHash}
	if callBegan.Before(s.lastStrike[key]) {
		return s.suspects.Count(contentHash, time.Since(s.startedAt)), false
	}
	if len(s.lastStrike) >= maxStrikeKeys {
		clear(s.lastStrike)
	}
	s.lastStrike[key] = time.Now()
	s.deaths++
	now := time.Since(s.startedAt)
	s.suspects.Record(policy.Strike{Fingerprint: contentHash, Death: s.deaths, At: now})
	return s.suspects.Count(contentHash, now), true
}

func (s *strikes) clear(contentHash uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.Clear(contentHash, time.Since(s.startedAt))
}

// refuse returns a refusal if the call has at least bound strikes. A bound of 0 means no limit.
func (s *strikes) refuse(contentHash uint64, bound int) *crocusreel.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.startedAt)
	if bound <= 0 || s.suspects.Count(contentHash, now) < bound {
		return nil
	}
	return crocusreel.Refuse(crocusreel.ReasonSuspectRequest, crocusreel.OutcomeNotRun, s.suspects.TimeUntilBelow(contentHash, bound, now),
		"endpoints were lost while they ran this call")
}
