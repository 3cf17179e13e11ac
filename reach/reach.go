// Package reach judges whether this node reaches the endpoints of a service. Failed requests to
// single endpoints only raise a suspicion; the judgement rests on probes of several endpoints.
package reach

import (
	"sync"
	"time"
)

const (
	// suspicionWindow is the time within which failures at different endpoints add up to a
	// suspicion.
	suspicionWindow = 2 * time.Second
	// suspiciousEndpoints is the number of endpoints that have to fail, or all if there are fewer.
	suspiciousEndpoints = 2
	// roundsUntilLost is the number of consecutive rounds of probes without any answer after which
	// the endpoints count as out of reach.
	roundsUntilLost = 2
	// minRestoredShare is the share of the endpoints probed in one round that have to answer before
	// lost endpoints count as within reach again.
	minRestoredShare = 0.5
	// confirmGap is the pause before the next round while the endpoints may be out of reach,
	// lostGap while they are, and clearedGap the minimum time between a round that found the
	// endpoints within reach and the next one. lostGapPerNode is the minimum of lostGap for each
	// node of the site: all of them probe if the endpoints themselves are down.
	confirmGap     = 100 * time.Millisecond
	lostGap        = 300 * time.Millisecond
	lostGapPerNode = 5 * time.Millisecond
	clearedGap     = time.Second
	// recentAnswerTime is how long an answer shows that the endpoints are within reach.
	recentAnswerTime = 3 * time.Second
)

// Failure is the way in which an endpoint did not answer.
type Failure int

const (
	// Unconnected is a new connection that was refused or reset, or not established in time.
	Unconnected Failure = iota
	// Silent is the lack of any answer on an open connection.
	Silent
)

// Verdict is what is known about the endpoints of a service from this node's point of view.
type Verdict int

const (
	// Unknown means that no endpoint has answered recently, and that none was found out of reach.
	Unknown Verdict = iota
	// Reached means that an endpoint has answered recently.
	Reached
	// Lost means that none of several endpoints answered a probe.
	Lost
)

var verdictNames = map[Verdict]string{Unknown: "unknown", Reached: "reached", Lost: "lost"}

// String implements fmt.Stringer.
func (v Verdict) String() string { return verdictNames[v] }

// Change is a change of the verdict about a service between lost and not lost.
type Change struct {
	Service string
	Lost    bool
	// Probed and Answered are the numbers of probes and answers of the rounds that led to the change.
	Probed, Answered int
	// Failed is the number of endpoints whose failures raised the suspicion.
	Failed int
	// SinceAnswer is the time since the last answer of any endpoint of the service, 0 if there was
	// none.
	SinceAnswer time.Duration
	// Duration is how long the endpoints were out of reach, if they no longer are.
	Duration time.Duration
}

// Tracker holds the verdicts of this node. Its methods are safe for concurrent use.
type Tracker struct {
	now func() time.Duration
	// nodes returns the number of nodes of the site.
	nodes func() int
	// jitter returns a random factor from 0.5 to 1.5 for pauses, so that nodes that were cut off
	// together do not return at the same moment.
	jitter func() float64
	// OnSuspicion is called when a service is to be probed soon. OnChange is called when a service
	// is lost or restored. Neither may block.
	OnSuspicion func()
	OnChange    func(Change)

	mu       sync.Mutex
	services map[string]*state
}

// state is what is known about one service.
type state struct {
	// answeredAt is the time of the last answer over any connection, 0 if there was none.
	answeredAt time.Duration
	// failures holds the latest failure of each endpoint since the last answer that refutes it: one
	// over a new connection for Unconnected, any answer for Silent.
	failures map[string]failure
	// suspected is set from a suspicion until a round of probes decides.
	suspected bool
	lost      bool
	lostSince time.Duration
	// failedRounds counts the consecutive rounds without an answer, probed their probes.
	failedRounds, probed int
	// nextRound is the earliest time of the next round. probing is set during a round.
	nextRound time.Duration
	probing   bool
}

type failure struct {
	kind Failure
	at   time.Duration
}

// NewTracker returns a Tracker. now reads a monotonic clock, nodes returns the number of nodes of the
// site, and jitter random factors from 0.5 to 1.5.
func NewTracker(now func() time.Duration, nodes func() int, jitter func() float64) *Tracker {
	return &Tracker{
		now: now, nodes: nodes, jitter: jitter, services: make(map[string]*state),
		OnSuspicion: func() {}, OnChange: func(Change) {},
	}
}

func (t *Tracker) stateLocked(service string) *state {
	s := t.services[service]
	if s == nil {
		s = &state{failures: make(map[string]failure)}
		t.services[service] = s
	}
	return s
}

// RecordAnswer records that an endpoint of the service has answered. newConnection is set if the
// connection was opened for this exchange: open connections may survive although no new ones can be
// established.
func (t *Tracker) RecordAnswer(service string, newConnection bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateLocked(service)
	s.answeredAt = t.now()
	refuted := newConnection
	for endpoint, f := range s.failures {
		if newConnection || f.kind == Silent {
			delete(s.failures, endpoint)
			refuted = refuted || len(s.failures) == 0
		}
	}
	if refuted && !s.lost && !s.probing {
		s.suspected, s.failedRounds, s.probed = false, 0, 0
	}
}

// RecordFailure records that an endpoint of the service, which has the given number of endpoints,
// did not answer.
func (t *Tracker) RecordFailure(service, endpoint string, kind Failure, endpoints int) {
	if t.recordFailure(service, endpoint, kind, endpoints) {
		t.OnSuspicion()
	}
}

func (t *Tracker) recordFailure(service, endpoint string, kind Failure, endpoints int) (suspicion bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateLocked(service)
	now := t.now()
	s.failures[endpoint] = failure{kind: kind, at: now}
	for other, f := range s.failures {
		if now-f.at > suspicionWindow {
			delete(s.failures, other)
		}
	}
	if s.lost || s.suspected || len(s.failures) < min(suspiciousEndpoints, endpoints) {
		return false
	}
	s.suspected = true
	return true
}

// Suspect has the endpoints of the service probed unless they are lost already.
func (t *Tracker) Suspect(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.stateLocked(service); !s.lost {
		s.suspected = true
	}
}

// DueRounds returns the services of which a round of probes is due, and marks the rounds as begun.
// RecordRound ends each of them.
func (t *Tracker) DueRounds() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []string
	now := t.now()
	for name, s := range t.services {
		if (s.lost || s.suspected) && !s.probing && now >= s.nextRound {
			s.probing = true
			due = append(due, name)
		}
	}
	return due
}

// RecordRound records the result of a round of probes, each over a new connection. A round in which
// nothing could be probed decides nothing.
func (t *Tracker) RecordRound(service string, probed, answered int) {
	if change, changed := t.recordRound(service, probed, answered); changed {
		t.OnChange(change)
	}
}

func (t *Tracker) recordRound(service string, probed, answered int) (change Change, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateLocked(service)
	now := t.now()
	s.probing = false
	change = Change{Service: service, Probed: s.probed + probed, Answered: answered, Failed: len(s.failures)}
	if s.answeredAt != 0 {
		change.SinceAnswer = now - s.answeredAt
	}
	restored := float64(answered) >= minRestoredShare*float64(probed)
	switch {
	case probed == 0:
		s.nextRound = now + t.lostPause()
	case s.lost && !restored:
		s.nextRound = now + t.lostPause()
	case s.lost:
		change.Lost, change.Duration = false, now-s.lostSince
		t.clearLocked(s, now)
		return change, true
	case answered > 0:
		t.clearLocked(s, now)
	default:
		s.failedRounds++
		s.probed += probed
		if s.failedRounds < roundsUntilLost {
			s.nextRound = now + confirmGap
			break
		}
		s.lost, s.lostSince = true, now
		s.nextRound = now + t.lostPause()
		change.Lost = true
		return change, true
	}
	return change, false
}

// clearLocked ends a suspicion or a loss.
func (t *Tracker) clearLocked(s *state, now time.Duration) {
	s.lost, s.suspected = false, false
	s.failedRounds, s.probed = 0, 0
	s.answeredAt = now
	s.nextRound = now + clearedGap
	clear(s.failures)
}

// lostPause returns the pause between two rounds while the endpoints are out of reach.
func (t *Tracker) lostPause() time.Duration {
	gap := max(lostGap, time.Duration(t.nodes())*lostGapPerNode)
	return time.Duration(t.jitter() * float64(gap))
}

// Verdict returns what is known about the endpoints of the service.
func (t *Tracker) Verdict(service string) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	if s == nil {
		return Unknown
	}
	return s.verdict(t.now())
}

func (s *state) verdict(now time.Duration) Verdict {
	switch {
	case s.lost:
		return Lost
	case s.answeredAt != 0 && now-s.answeredAt < recentAnswerTime:
		return Reached
	default:
		return Unknown
	}
}

// Services returns the names of the services with the given verdict, in no particular order.
func (t *Tracker) Services(v Verdict) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var names []string
	for name, s := range t.services {
		if s.verdict(now) == v {
			names = append(names, name)
		}
	}
	return names
}

// Forget drops the services that keep returns false for, such as those that were removed from the
// configuration.
func (t *Tracker) Forget(keep func(service string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.services {
		if !keep(name) {
			delete(t.services, name)
		}
	}
}
