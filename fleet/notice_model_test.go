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

// modelNodes is the number of nodes on the roster of the model.
const modelNodes = 3

// said is what an incarnation has said, as far as any node knows.
type said struct {
	leaving     bool
	pausedUntil time.Duration
	limited     bool
	limit       float64
	limitAt     time.Duration
	// sentAt is when the last request went there under the limit in force; 0 for none.
	sentAt time.Duration
	// spoke is set once it has said anything. Before, that it said nothing is known only as
	// long as the fleet has not dropped it.
	spoke bool
}

// noticeModel is a fleet before three engines, and what these have said.
type noticeModel struct {
	*fleet.Fleet
	now     time.Duration
	service *routing.Service
	engines []fleet.Instance
	// present are the engines whose entries are there, known those that the fleet has not dropped.
	present, known map[string]bool
	said           map[fleet.EndpointKey]*said
	running        []*fleet.Placement
	held           []*fleet.BackupReservation
}

func newNoticeModel() *noticeModel {
	m := &noticeModel{
		now: time.Hour, present: make(map[string]bool), known: make(map[string]bool), said: make(map[fleet.EndpointKey]*said),
		service: &routing.Service{Name: "pool", Engine: &routing.EngineSpec{
			Slots: 24, Memory: 100_000, BytesPerToken: 18_432, LinkMbps: 2700, CanMove: true, CanBackUp: true, TokensPerEvent: 4,
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
		m.enter(in)
	}
	return m
}

func (m *noticeModel) enter(in fleet.Instance) {
	m.Update(in)
	m.present[in.ID], m.known[in.ID] = true, true
}

func (m *noticeModel) of(in fleet.Instance) *said {
	key := in.Incarnation().Key()
	if m.said[key] == nil {
		m.said[key] = &said{}
	}
	return m.said[key]
}

// take records a limit or its end, unless a later one is known.
func (s *said) take(limited bool, limit float64, at time.Duration) {
	if at < s.limitAt {
		return
	}
	if s.limited != limited || s.limit != limit {
		s.sentAt = 0
	}
	s.limited, s.limit, s.limitAt = limited, limit, at
}

// speaks returns what an incarnation has said, once it says something.
func (m *noticeModel) speaks(in fleet.Instance) *said {
	s := m.of(in)
	s.spoke = true
	return s
}

func (m *noticeModel) want() fleet.Work {
	return fleet.Work{Service: m.service, Demand: fleet.Demand{Prompt: 100, Output: 400}, MaxOutput: 400}
}

// sent checks a request that the fleet has placed.
func (m *noticeModel) sent(t *rapid.T, way string, in fleet.Instance) {
	s := m.of(in)
	if s.leaving {
		t.Fatalf("%s: a request to %s, which has said that it leaves", way, in.ID)
	}
	if m.now < s.pausedUntil {
		t.Fatalf("%s: a request to %s %v before the end of its pause", way, in.ID, s.pausedUntil-m.now)
	}
	if !s.limited {
		return
	}
	// Each slot may be used once, for pace.SlotLength from its beginning.
	period := time.Duration(modelNodes / pace.LimitRate(s.limit) * float64(time.Second))
	if gap := m.now - s.sentAt; s.sentAt != 0 && gap < max(period-pace.SlotLength, period/2) {
		t.Fatalf("%s: a request to %s %v after the one before, slots are %v apart", way, in.ID, gap, period)
	}
	s.sentAt = m.now
}

// free tells whether an engine is there that has said nothing that keeps work away.
func (m *noticeModel) free() bool {
	for _, in := range m.engines {
		s := m.of(in)
		if m.present[in.ID] && !s.leaving && !s.limited && m.now >= s.pausedUntil {
			return true
		}
	}
	return false
}

// modelRuns bounds the runs at a time, so that no engine is full.
const modelRuns = 20

func (m *noticeModel) acquire(t *rapid.T) {
	if len(m.running) >= modelRuns {
		m.release()
	}
	p, refusal := m.Acquire(context.Background(), m.want(), 0)
	if refusal != nil {
		if m.free() {
			t.Fatalf("refused (%v) although an engine is free", refusal)
		}
		return
	}
	m.sent(t, "new work", p.Instance())
	p.SetProduced(1)
	m.running = append(m.running, p)
}

func (m *noticeModel) move(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	if target := m.ReserveMoveTarget(m.running[0], m.want()); target != nil {
		m.sent(t, "a move", target.Instance())
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
		m.sent(t, "a resumed run", p.Instance())
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

// Guards against any way to an endpoint that goes round what it has said: new work, moves, resumed
// runs, after entries and listings of before, restarts, news of other nodes and pauses in any order.
func TestWhatEndpointsSayBindsAllWays(t *testing.T) {
	for range modelRounds {
		rapid.Check(t, playNotices)
	}
}

// modelRounds is the number of checks of a hundred histories each.
const modelRounds = 40

func playNotices(t *rapid.T) {
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
		"says a limit": func(t *rapid.T) {
			in, n := pick(), notice.Notice{Limited: true, Limit: rate.Draw(t, "rate")}
			m.Note(*in, n, "r")
			m.speaks(*in).take(true, n.Limit, m.now)
		},
		"says nothing": func(*rapid.T) {
			in := pick()
			m.Note(*in, notice.Notice{}, "r")
			if s := m.of(*in); s.spoke || m.known[in.ID] {
				s.take(false, 0, m.now)
			}
		},
		"asks for a pause": func(t *rapid.T) {
			in := pick()
			pause := time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond
			m.Note(*in, notice.Notice{Pause: pause}, "r")
			s := m.speaks(*in)
			s.pausedUntil = max(s.pausedUntil, m.now+pause)
			s.take(false, 0, m.now)
		},
		"says that it leaves": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "seldom") > 0 {
				return
			}
			in := pick()
			m.Note(*in, notice.Notice{Leaving: true}, "r")
			s := m.speaks(*in)
			s.leaving = true
			s.take(false, 0, m.now)
		},
		"another node tells of a limit": func(t *rapid.T) {
			in := pick()
			age := time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond
			limited := rapid.Bool().Draw(t, "limited")
			news := fleet.LimitNews{Key: in.Incarnation().Key(), Limited: limited, Age: age}
			if limited {
				news.Limit = rate.Draw(t, "rate")
			}
			m.NoteRemote("10.0.0.2", []fleet.LimitNews{news})
			m.speaks(*in).take(news.Limited, news.Limit, m.now-age)
		},
		"another node tells of one that leaves": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "seldom") > 0 {
				return
			}
			in := pick()
			m.NoteRemoteLeaving("10.0.0.2", []fleet.EndpointKey{in.Incarnation().Key()})
			m.speaks(*in).leaving = true
		},
		"its entry again": func(*rapid.T) { m.enter(*pick()) },
		"a listing": func(*rapid.T) {
			m.Replace(m.engines, false)
			for _, in := range m.engines {
				m.present[in.ID], m.known[in.ID] = true, true
			}
		},
		"its entry gone": func(t *rapid.T) {
			in := pick()
			tentative := rapid.Bool().Draw(t, "tentative")
			m.Remove(in.ID, tentative)
			m.present[in.ID] = false
			if tentative {
				return
			}
			m.known[in.ID] = false
			if s := m.of(*in); !s.spoke {
				s.limitAt = 0
			}
		},
		"it starts again": func(*rapid.T) {
			in := pick()
			in.StartedAtMS++
			m.enter(*in)
		},
		"tick": func(*rapid.T) { m.Tick() },
	})
}
