package fleet_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/notice"
	"github.com/crocusreel/crocusreel/pace"
	"github.com/crocusreel/crocusreel/routing"
)

// modelNodes is the number of nodes that share a limit in the model.
const modelNodes = 3

// reportModel is what an incarnation has reported, as far as any node knows.
type reportModel struct {
	leaving     bool
	pausedUntil time.Duration
	limited     bool
	limit       float64
	limitAt     time.Duration
	// sentAt is when the last request was sent to it under the limit in force; 0 for none.
	sentAt time.Duration
	// hasReported is set once it has reported anything. Until then, an answer without a notice is
	// remembered only while the fleet has not dropped the endpoint.
	hasReported bool
}

// noticeModel is a fleet with three engines, and the model of what these have reported.
type noticeModel struct {
	*fleet.Fleet
	now     time.Duration
	service *routing.Service
	engines []fleet.Instance
	// present holds the engines whose entries exist, and known those that the fleet has not
	// dropped.
	present, known map[string]bool
	reports        map[fleet.EndpointKey]*reportModel
	running        []*fleet.Placement
	held           []*fleet.BackupReservation
}

func newNoticeModel() *noticeModel {
	m := &noticeModel{
		now: time.Hour, present: make(map[string]bool), known: make(map[string]bool), reports: make(map[fleet.EndpointKey]*reportModel),
		service: &routing.Service{Name: "pool", Engine: &routing.EngineSpec{
			Slots: 24, CacheTokens: 100_000, BytesPerToken: 18_432, LinkMbps: 2700, CanMove: true, CanBackUp: true, TokensPerEvent: 4,
		}},
	}
	m.Fleet = fleet.New("dc1", func() time.Duration { return m.now })
	m.Name = "10.0.0.1"
	roster := &fleet.Roster{Names: []string{m.Name, "10.0.0.2", "10.0.0.3"}}
	m.Roster = func() *fleet.Roster { return roster }
	m.WallClock = func() time.Time { return dayStart.Add(m.now) }
	for i := range 3 {
		in := fleet.Instance{ID: fmt.Sprint("e", i), StartedAtMS: 1, Service: "pool", Address: fmt.Sprint(i), DataCentre: "dc1", Slots: 24}
		m.engines = append(m.engines, in)
		m.addEntry(in)
	}
	return m
}

func (m *noticeModel) addEntry(in fleet.Instance) {
	m.Update(in)
	m.present[in.ID], m.known[in.ID] = true, true
}

func (m *noticeModel) reportsOf(in fleet.Instance) *reportModel {
	key := in.Incarnation().Key()
	if m.reports[key] == nil {
		m.reports[key] = &reportModel{}
	}
	return m.reports[key]
}

// setLimit records a limit, or the end of one, unless a later report is known.
func (s *reportModel) setLimit(limited bool, limit float64, at time.Duration) {
	if at < s.limitAt {
		return
	}
	if s.limited != limited || s.limit != limit {
		s.sentAt = 0
	}
	s.limited, s.limit, s.limitAt = limited, limit, at
}

// recordReport marks an incarnation as having reported something, and returns its model.
func (m *noticeModel) recordReport(in fleet.Instance) *reportModel {
	s := m.reportsOf(in)
	s.hasReported = true
	return s
}

func (m *noticeModel) want() fleet.Work {
	return fleet.Work{Service: m.service, Demand: fleet.Demand{Prompt: 100, Output: 400}, MaxOutput: 400}
}

// checkRequest checks a request that the fleet has placed against the reports of its endpoint.
func (m *noticeModel) checkRequest(t *rapid.T, way string, in fleet.Instance) {
	s := m.reportsOf(in)
	if s.leaving {
		t.Fatalf("%s: a request to %s, which has announced that it is leaving", way, in.ID)
	}
	if m.now < s.pausedUntil {
		t.Fatalf("%s: a request to %s %v before the end of its pause", way, in.ID, s.pausedUntil-m.now)
	}
	if !s.limited {
		return
	}
	// Each slot may be used once, within pace.SlotLength of its beginning.
	period := time.Duration(modelNodes / pace.LimitRate(s.limit) * float64(time.Second))
	if gap := m.now - s.sentAt; s.sentAt != 0 && gap < max(period-pace.SlotLength, period/2) {
		t.Fatalf("%s: a request to %s %v after the previous one, but slots are %v apart", way, in.ID, gap, period)
	}
	s.sentAt = m.now
}

// hasFreeEngine reports whether an engine is present that has reported nothing that keeps work
// away.
func (m *noticeModel) hasFreeEngine() bool {
	for _, in := range m.engines {
		s := m.reportsOf(in)
		if m.present[in.ID] && !s.leaving && !s.limited && m.now >= s.pausedUntil {
			return true
		}
	}
	return false
}

// modelRuns is the maximum number of concurrent runs, so that no engine is full.
const modelRuns = 20

func (m *noticeModel) acquire(t *rapid.T) {
	if len(m.running) >= modelRuns {
		m.release()
	}
	p, refusal := m.Acquire(context.Background(), m.want(), 0)
	if refusal != nil {
		if m.hasFreeEngine() {
			t.Fatalf("request refused (%v) although an engine is free", refusal)
		}
		return
	}
	m.checkRequest(t, "new work", p.Instance())
	p.SetProduced(1)
	m.running = append(m.running, p)
}

func (m *noticeModel) move(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	if target := m.ReserveMoveTarget(m.running[0], m.want()); target != nil {
		m.checkRequest(t, "a move", target.Instance())
		target.EndCopy()
		m.running = append(m.running, target)
	}
}

func (m *noticeModel) hold() {
	if len(m.running) == 0 {
		return
	}
	if h := m.ReserveBackup(m.running[0], m.want()); h != nil {
		m.held = append(m.held, h)
	}
}

func (m *noticeModel) resume(t *rapid.T) {
	if len(m.held) == 0 {
		return
	}
	h := m.held[0]
	m.held = m.held[1:]
	if p := h.Promote(10); p != nil {
		m.checkRequest(t, "a resumed run", p.Instance())
		m.running = append(m.running, p)
		return
	}
	h.Release(0)
}

func (m *noticeModel) release() {
	for _, p := range m.running {
		p.Release(fleet.Good)
	}
	m.running = nil
}

// Guards against new work, moves or resumed runs that ignore an endpoint's notices, after any order
// of outdated entries and listings, restarts, reports of other nodes and pauses.
func TestNoticesApplyToAllRequests(t *testing.T) {
	for range modelRounds {
		rapid.Check(t, checkNotices)
	}
}

// modelRounds is the number of rapid checks, of 100 histories each.
const modelRounds = 40

func checkNotices(t *rapid.T) {
	m := newNoticeModel()
	number := rapid.IntRange(0, 2)
	rate := rapid.SampledFrom([]float64{0, 0.5, 3, 20})
	pick := func() *fleet.Instance { return &m.engines[number.Draw(t, "engine")] }
	t.Repeat(map[string]func(*rapid.T){
		"acquire": func(t *rapid.T) { m.acquire(t) },
		"move":    func(t *rapid.T) { m.move(t) },
		"hold":    func(*rapid.T) { m.hold() },
		"resume":  func(t *rapid.T) { m.resume(t) },
		"release": func(*rapid.T) { m.release() },
		"time": func(t *rapid.T) {
			m.now += time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond
		},
		"reports a limit": func(t *rapid.T) {
			in, n := pick(), notice.Notice{Limited: true, Limit: rate.Draw(t, "rate")}
			m.RecordNotice(*in, n, "r")
			m.recordReport(*in).setLimit(true, n.Limit, m.now)
		},
		"reports nothing": func(*rapid.T) {
			in := pick()
			m.RecordNotice(*in, notice.Notice{}, "r")
			if s := m.reportsOf(*in); s.hasReported || m.known[in.ID] {
				s.setLimit(false, 0, m.now)
			}
		},
		"asks for a pause": func(t *rapid.T) {
			in := pick()
			pause := time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond
			m.RecordNotice(*in, notice.Notice{Pause: pause}, "r")
			s := m.recordReport(*in)
			s.pausedUntil = max(s.pausedUntil, m.now+pause)
			s.setLimit(false, 0, m.now)
		},
		"announces that it is leaving": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "seldom") > 0 {
				return
			}
			in := pick()
			m.RecordNotice(*in, notice.Notice{Leaving: true}, "r")
			s := m.recordReport(*in)
			s.leaving = true
			s.setLimit(false, 0, m.now)
		},
		"another node reports a limit": func(t *rapid.T) {
			in := pick()
			age := time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond
			limited := rapid.Bool().Draw(t, "limited")
			report := fleet.LimitReport{Key: in.Incarnation().Key(), Limited: limited, Age: age}
			if limited {
				report.Limit = rate.Draw(t, "rate")
			}
			m.RecordRemoteLimits("10.0.0.2", []fleet.LimitReport{report})
			m.recordReport(*in).setLimit(report.Limited, report.Limit, m.now-age)
		},
		"another node reports a leaving engine": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "seldom") > 0 {
				return
			}
			in := pick()
			m.RecordRemoteLeaving("10.0.0.2", []fleet.EndpointKey{in.Incarnation().Key()})
			m.recordReport(*in).leaving = true
		},
		"its entry is updated": func(*rapid.T) { m.addEntry(*pick()) },
		"a full listing": func(*rapid.T) {
			m.Replace(m.engines, false)
			for _, in := range m.engines {
				m.present[in.ID], m.known[in.ID] = true, true
			}
		},
		"its entry is removed": func(t *rapid.T) {
			in := pick()
			tentative := rapid.Bool().Draw(t, "tentative")
			m.Remove(in.ID, tentative)
			m.present[in.ID] = false
			if tentative {
				return
			}
			m.known[in.ID] = false
			if s := m.reportsOf(*in); !s.hasReported {
				s.limitAt = 0
			}
		},
		"it restarts": func(*rapid.T) {
			in := pick()
			in.StartedAtMS++
			m.addEntry(*in)
		},
		"tick": func(*rapid.T) { m.Tick() },
	})
}
