package fleet_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/notice"
	"github.com/crocusreel/crocusreel/routing"
)

// leaver is a fleet with one endpoint that has said in an answer that it leaves.
type leaver struct {
	*fleet.Fleet
	now     time.Duration
	in      fleet.Instance
	service *routing.Service
}

func newLeaver() *leaver {
	l := &leaver{
		now:     time.Hour,
		service: &routing.Service{Name: "app"},
		in:      fleet.Instance{ID: "i1", StartedAtMS: 1, Service: "app", DataCentre: "dc1", Slots: 10},
	}
	l.Fleet = fleet.New("dc1", func() time.Duration { return l.now })
	l.WallClock = func() time.Time { return dayStart.Add(l.now) }
	roster := &fleet.Roster{Names: []string{""}}
	l.Roster = func() *fleet.Roster { return roster }
	l.Update(l.in)
	l.Note(l.in, notice.Notice{Leaving: true}, "r0")
	return l
}

// takes tells whether new work goes to the endpoint.
func (l *leaver) takes() bool {
	p, _ := l.Acquire(context.Background(), fleet.Work{Service: l.service}, 0)
	if p != nil {
		p.Release(fleet.Good)
	}
	return p != nil
}

// Guards against new work for an endpoint whose answer said that it leaves, whatever its entry
// or a health check says before or after.
func TestEndpointThatSaidThatItLeavesGetsNothing(t *testing.T) {
	for name, after := range map[string]func(*leaver){
		"nothing more":           func(*leaver) {},
		"an answer without it":   func(l *leaver) { l.Note(l.in, notice.Notice{}, "r1") },
		"its entry as before":    func(l *leaver) { l.Update(l.in) },
		"a whole listing":        func(l *leaver) { l.Replace([]fleet.Instance{l.in}, true) },
		"its entry gone and new": func(l *leaver) { l.Remove(l.in.ID, false); l.Update(l.in) },
		"its entry missing": func(l *leaver) {
			l.Remove(l.in.ID, true)
			l.now += time.Second
			l.Update(l.in)
		},
		"a health check that is doubted": func(l *leaver) {
			l.Unhealthy(l.in.Incarnation().Key())
			l.now += time.Minute
			l.Reinstate(4 * time.Second)
			l.Update(l.in)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLeaver()
			after(l)
			if l.takes() {
				t.Error("it got new work")
			}
		})
	}
}

// Guards against a health check that was doubted and hides what the endpoint itself said since.
func TestEndpointThatSaidThatItLeavesIsNotReinstated(t *testing.T) {
	l := newLeaver()
	reborn := l.in
	reborn.StartedAtMS = 2
	l.Update(reborn)
	l.Unhealthy(reborn.Incarnation().Key())
	l.Note(reborn, notice.Notice{Leaving: true}, "r1")
	l.now += time.Minute
	if stayed := l.Reinstate(4 * time.Second); len(stayed) > 0 || l.takes() {
		t.Errorf("taken back: %v", stayed)
	}
}

// Guards against an endpoint that has started again and is bound by what it said before.
func TestNextIncarnationIsNotLeaving(t *testing.T) {
	l := newLeaver()
	reborn := l.in
	reborn.StartedAtMS = 2
	l.Update(reborn)
	if !l.takes() {
		t.Error("it got no work")
	}
}

// Guards against one figure that cannot be read and hides what else an answer says.
func TestUnreadableLimitHidesNothingElse(t *testing.T) {
	l := newLeaver()
	reborn := l.in
	reborn.StartedAtMS = 2
	l.Update(reborn)
	l.Note(reborn, notice.Notice{Leaving: true, LimitFault: errors.New("no number")}, "r1")
	if l.takes() {
		t.Error("it got new work")
	}
}

// Guards against datagrams that carry for long what other nodes know by entries, or need not know.
func TestOnlyNewsIsToldToOtherNodes(t *testing.T) {
	l := newLeaver()
	if told := l.OwnLeaving(); len(told) != 1 {
		t.Errorf("%d endpoints are told, want the one whose entry does not say so", len(told))
	}
	if told := l.OwnLimits(); len(told) != 0 {
		t.Errorf("limits of endpoints that have named none: %v", told)
	}
	l.now += time.Minute
	if told := l.OwnLeaving(); len(told) != 1 {
		t.Errorf("%d endpoints are told after a minute, want the one whose entry does not say so", len(told))
	}
	entry := l.in
	entry.Leaving = true
	l.Update(entry)
	if told := l.OwnLeaving(); len(told) != 0 {
		t.Errorf("told although the entry says so: %v", told)
	}
	second := fleet.Instance{ID: "i2", Service: "app", DataCentre: "dc1", Slots: 10, Leaving: true}
	l.Update(second)
	l.Broadcast = func(string) { t.Error("the others are told at once of what the entry has said") }
	l.Note(second, notice.Notice{Leaving: true}, "r1")
	l.Note(second, notice.Notice{Pause: time.Second}, "r2")
	if told := append(l.OwnLeaving(), fleet.EndpointKey(len(l.OwnLimits()))); len(told) != 1 || told[0] != 0 {
		t.Errorf("told: %v", told)
	}
}

// Guards against health checks that are sent to an endpoint beyond its limit, or within its pause.
func TestHealthChecksKeepLimitsAndPauses(t *testing.T) {
	l := newLeaver()
	service := &routing.Service{Name: "pool", Engine: &routing.EngineSpec{Memory: 30_000}}
	engine := fleet.Instance{ID: "e1", Service: "pool", DataCentre: "dc1", Slots: 10}
	l.Update(engine)
	if _, refusal := l.Acquire(context.Background(), fleet.Work{Service: service, Demand: fleet.Demand{Prompt: 10, Output: 10}}, 0); refusal != nil {
		t.Fatal(refusal)
	}
	const perSecond = 2.0
	l.Note(engine, notice.Notice{Limited: true, Limit: perSecond}, "r1")
	checks := 0
	for end := l.now + limitWindow; l.now < end; l.now += limitStep {
		checks += len(l.Busy("pool", "dc1"))
	}
	if checks == 0 || checks > limitAllows(perSecond) {
		t.Errorf("%d checks in %v", checks, limitWindow)
	}
	l.Note(engine, notice.Notice{Pause: testPause}, "r2")
	if busy := l.Busy("pool", "dc1"); len(busy) != 0 {
		t.Errorf("a check within the pause: %v", busy)
	}
}
