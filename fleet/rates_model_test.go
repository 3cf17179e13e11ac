package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/routing"
)

// rateModel runs engines of given speeds under the load of a mixed deployment, step by step, and places
// the work through the fleets of several nodes.
type rateModel struct {
	now     time.Duration
	random  *rand.Rand
	service *routing.Service
	nodes   []*fleet.Fleet
	dirty   []bool
	engines []*modelEngine
	pending []*modelRun
	// speed returns the speed of an engine at a time.
	speed func(engine int, at time.Duration) float64
	// stutters is set if 15 in 100 intervals of 600 ms take 2.5 times as long. departures is set if
	// 17 in 100 engines leave every 3.3 s and are replaced 4 s later.
	stutters, departures bool
	changes              []fleet.RatesChange
	// counted is the time from which runs are counted.
	counted time.Duration
	result  modelResult
}

// modelResult counts long streams that ended, those that paused or began too late, those by speed of
// their engine, and late short answers.
type modelResult struct {
	long, paused, lateLong, lost int
	short, lateShort             int
	bySpeed, pausedBySpeed       map[float64]int
}

func (r modelResult) String() string {
	return fmt.Sprintf("long %d: paused %d, first event late %d, lost %d; short %d: late %d; long by speed %v, paused %v",
		r.long, r.paused, r.lateLong, r.lost, r.short, r.lateShort, r.bySpeed, r.pausedBySpeed)
}

type modelEngine struct {
	id         int
	started    int64
	nextStep   time.Duration
	goneUntil  time.Duration
	prefilling []*modelRun
	decoding   []*modelRun
}

type modelRun struct {
	node            int
	p               *fleet.Placement
	work            fleet.Work
	events, tokens  int
	unread          int
	arrived, lastAt time.Duration
	first, longest  time.Duration
	engineOfRun     int
}

const modelStride = 4

func newRateModel(engines, nodes int, speed func(int, time.Duration) float64, without ...fleet.Mechanism) *rateModel {
	m := &rateModel{now: time.Hour, random: rand.New(rand.NewPCG(7, 7)), speed: speed}
	m.result = modelResult{bySpeed: map[float64]int{}, pausedBySpeed: map[float64]int{}}
	m.service = &routing.Service{Name: "pool", Engine: &routing.EngineSpec{
		Slots: 24, CacheTokens: 26_845, BytesPerToken: 18_432, LinkMbps: 2700, TokensPerEvent: modelStride,
	}}
	for i := range nodes {
		f := fleet.New("dc1", func() time.Duration { return m.now })
		f.Seed(uint64(i))
		f.Disabled = fleet.DisabledMechanisms{}
		for _, w := range without {
			f.Disabled[w] = true
		}
		f.Broadcast = func(string) { m.dirty[i] = true }
		if i == 0 {
			f.OnRates = func(c fleet.RatesChange) { m.changes = append(m.changes, c) }
		}
		m.nodes, m.dirty = append(m.nodes, f), append(m.dirty, false)
	}
	for i := range engines {
		e := &modelEngine{id: i, nextStep: m.now}
		m.engines = append(m.engines, e)
		m.announce(e)
	}
	return m
}

func (m *rateModel) instance(e *modelEngine) fleet.Instance {
	return fleet.Instance{ID: fmt.Sprint(e.id), StartedAtMS: e.started, Service: "pool", Address: fmt.Sprint(e.id), DataCentre: "dc1", Slots: 24}
}

func (m *rateModel) announce(e *modelEngine) {
	e.started++
	for _, f := range m.nodes {
		f.Update(m.instance(e))
	}
}

// run advances the model with arrivals of long and short work at the given rates per second.
func (m *rateModel) run(period time.Duration, longRate, shortRate float64) modelResult {
	const tick = time.Millisecond
	for end := m.now + period; m.now < end; m.now += tick {
		m.arrive(longRate, fleet.Demand{Prompt: 3000, Output: 752}, 1, 1800*time.Millisecond, 180*time.Millisecond)
		m.arrive(shortRate, fleet.Demand{Prompt: 2200, Output: 8}, 0, 1500*time.Millisecond, 0)
		if m.now%(20*tick) == 0 {
			m.place()
		}
		if m.now%(10*tick) == 0 {
			m.exchange()
		}
		if m.departures && m.now%(3300*tick) == 0 {
			m.depart()
		}
		for _, e := range m.engines {
			if e.goneUntil != 0 && m.now >= e.goneUntil {
				e.goneUntil, e.nextStep = 0, m.now
				m.announce(e)
			}
			for e.goneUntil == 0 && e.nextStep <= m.now {
				m.step(e)
			}
		}
	}
	return m.result
}

func (m *rateModel) arrive(rate float64, d fleet.Demand, rank int, target, gapTarget time.Duration) {
	if m.random.Float64() >= rate/1000 {
		return
	}
	if d.Output > 100 {
		d.Output = d.Output/2 + m.random.IntN(d.Output)
	}
	w := fleet.Work{Service: m.service, Demand: d, MaxOutput: d.Output, Rank: rank, Target: target, GapTarget: gapTarget}
	m.pending = append(m.pending, &modelRun{node: m.random.IntN(len(m.nodes)), work: w, arrived: m.now, unread: d.Prompt})
	m.place()
}

// place tries all work that waits, short answers first.
func (m *rateModel) place() {
	for _, short := range []bool{true, false} {
		rest := m.pending[:0:0]
		for _, r := range m.pending {
			if r.work.Short() != short {
				rest = append(rest, r)
				continue
			}
			r.work.Since = m.now - r.arrived
			p, _ := m.nodes[r.node].Acquire(context.Background(), r.work, 0)
			if p == nil {
				rest = append(rest, r)
				continue
			}
			r.p = p
			e := m.engineOf(p)
			r.engineOfRun = e.id
			e.prefilling = append(e.prefilling, r)
			e.nextStep = max(e.nextStep, m.now)
		}
		m.pending = rest
	}
}

func (m *rateModel) engineOf(p *fleet.Placement) *modelEngine {
	var id int
	_, _ = fmt.Sscan(p.Instance().ID, &id)
	return m.engines[id]
}

// exchange sends the state of the nodes that have changes, and of each node every 700 ms.
func (m *rateModel) exchange() {
	for i, f := range m.nodes {
		if !m.dirty[i] && (m.now/(10*time.Millisecond))%70 != time.Duration(i) {
			continue
		}
		m.dirty[i] = false
		loads, rates := f.OwnLoads(), f.OwnRates()
		for j, other := range m.nodes {
			if j != i {
				other.SetRemote(fmt.Sprint(i), loads, nil)
				other.SetRemoteRates(fmt.Sprint(i), rates)
			}
		}
	}
}

// depart removes 17 in 100 engines. Their streams move to others at once.
func (m *rateModel) depart() {
	for _, i := range m.random.Perm(len(m.engines))[:len(m.engines)*17/100] {
		e := m.engines[i]
		if e.goneUntil != 0 {
			continue
		}
		e.goneUntil = m.now + 4*time.Second
		for _, f := range m.nodes {
			f.Remove(fmt.Sprint(e.id), false)
		}
		for _, r := range e.decoding {
			if q := m.nodes[r.node].ReserveMoveTarget(r.p, r.work); q != nil {
				q.EndCopy()
				r.p.Release(fleet.Neutral)
				r.p, r.lastAt = q, m.now
				target := m.engineOf(q)
				r.engineOfRun = target.id
				target.decoding = append(target.decoding, r)
			} else {
				r.p.Release(fleet.Neutral)
				m.result.lost++
			}
		}
		for _, r := range e.prefilling {
			r.p.Release(fleet.Neutral)
			r.unread = r.work.Demand.Prompt
			m.pending = append(m.pending, r)
		}
		e.prefilling, e.decoding = nil, nil
	}
}

// step runs one step of an engine: a chunk of the first prompt, then a token of each decoding run.
func (m *rateModel) step(e *modelEngine) {
	if len(e.prefilling)+len(e.decoding) == 0 {
		e.nextStep = m.now + time.Millisecond
		return
	}
	took := 0.0
	if n := len(e.decoding); n > 0 {
		took += 7 + 0.12*float64(n)
	}
	if len(e.prefilling) > 0 {
		took += 8
	}
	interval := uint64(e.nextStep / (600 * time.Millisecond))
	if m.stutters && rand.New(rand.NewPCG(interval, uint64(e.id))).IntN(100) < 15 {
		took *= 2.5
	}
	e.nextStep += time.Duration(took / m.speed(e.id, e.nextStep) * float64(time.Millisecond))
	at := e.nextStep
	running := e.decoding[:0]
	for _, r := range e.decoding {
		r.tokens++
		if r.tokens%modelStride == 0 {
			m.event(r, at)
		}
		if r.tokens < r.work.Demand.Output {
			running = append(running, r)
		} else {
			m.ended(r, at)
		}
	}
	e.decoding = running
	if len(e.prefilling) > 0 {
		r := e.prefilling[0]
		if r.unread -= 112; r.unread <= 0 {
			e.prefilling = e.prefilling[1:]
			e.decoding = append(e.decoding, r)
		}
	}
}

func (m *rateModel) event(r *modelRun, at time.Duration) {
	if r.events == 0 {
		r.first = at - r.arrived
	} else {
		r.longest = max(r.longest, at-r.lastAt)
	}
	r.lastAt = at
	if r.events++; r.events%4 == 1 {
		r.p.SetProduced(r.events * modelStride)
	}
}

func (m *rateModel) ended(r *modelRun, at time.Duration) {
	r.p.Release(fleet.Good)
	if r.arrived < m.counted {
		return
	}
	late := r.first > r.work.Target
	if r.work.Short() {
		m.result.short++
		if late {
			m.result.lateShort++
		}
		return
	}
	speed := m.speed(r.engineOfRun, at)
	m.result.long++
	m.result.bySpeed[speed]++
	if late {
		m.result.lateLong++
	}
	if r.longest > r.work.GapTarget {
		m.result.paused++
		m.result.pausedBySpeed[speed]++
	}
}
