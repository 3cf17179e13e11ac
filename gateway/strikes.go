package gateway

import (
	"sync"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/policy"
)

// maxStruck bounds the pairs of service and content that are remembered.
const maxStruck = 4096

// strikes remembers which calls were lost together with plain services. A call that
// crashes each service that runs it is refused at the bound, also under new keys.
// Engines' strikes are kept by the pools' schedulers. For plain services each gateway counts,
// and the gateways tell each other of each strike.
type strikes struct {
	mu       sync.Mutex
	began    time.Time
	suspects *policy.Suspects
	// deaths numbers the deaths that were seen here.
	deaths uint64
	// struck is when a content last got a strike at a service.
	struck map[struckKey]time.Time
}

type struckKey struct {
	service string
	content uint64
}

func newStrikes() *strikes {
	return &strikes{began: time.Now(), suspects: policy.NewSuspects(policy.StrikeTTL), struck: make(map[struckKey]time.Time)}
}

// add gives the content of a call a strike for the death of a service. A lookup that
// many callers send alike is lost many times at one death; counted each time, it
// would be refused for minutes after the service is back. So calls that were already
// running at the last strike belong to the death that was counted then.
//
// It returns the strikes that count now, and whether this is a new one.
func (s *strikes) add(service string, content uint64, callBegan time.Time) (strikes int, counted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := struckKey{service, content}
	if callBegan.Before(s.struck[key]) {
		return s.suspects.Count(content, time.Since(s.began)), false
	}
	if len(s.struck) >= maxStruck {
		clear(s.struck)
	}
	s.struck[key] = time.Now()
	s.deaths++
	now := time.Since(s.began)
	s.suspects.Record(policy.Strike{Fingerprint: content, Death: s.deaths, At: now})
	return s.suspects.Count(content, now), true
}

func (s *strikes) clear(content uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.Clear(content, time.Since(s.began))
}

// refuse returns a refusal if the call has as many strikes as the bound; a bound of 0
// is none.
func (s *strikes) refuse(content uint64, bound int) *crocusreel.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.began)
	if bound <= 0 || s.suspects.Count(content, now) < bound {
		return nil
	}
	return crocusreel.Refuse(crocusreel.ReasonSuspectRequest, crocusreel.OutcomeNotRun, s.suspects.TimeUntilBelow(content, bound, now),
		"endpoints were lost while they ran this call")
}
