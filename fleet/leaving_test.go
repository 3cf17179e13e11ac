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

// leaver is a fleet with one endpoint that has announced in an answer that it is leaving.
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
		in:      fleet.Instance{ID: "i1", Born: 1, Service: "app", DataCentre: "dc1", Slots: 10},
	}
	l.Fleet = fleet.New("dc1", func() time.Duration { return l.now })
	l.Wall = func() time.Time { return dayStart.Add(l.now) }
	roster := &fleet.Roster{Names: []string{""}}
	l.Roster = func() *fleet.Roster { return roster }
	l.Update(l.in)
	l.Note(l.in, notice.Notice{Leaving: true}, "r0")
	return l
}

// takes reports whether the endpoint gets new work.
func (l *leaver) takes() bool {
	p, _ := l.Acquire(context.Background(), fleet.Want{Service: l.service}, 0)
	if p != nil {
		p.Release(fleet.Good)
	}
	return p != nil
}

// Guards against new work for an endpoint that announced in an answer that it is leaving, whatever
// its entry, a health check or a later answer says.
func TestEndpointThatSaidThatItLeavesGetsNothing(t *testing.T) {
	for name, after := range map[string]func(*leaver){
		"no further event":                  func(*leaver) {},
		"an answer without a notice":        func(l *leaver) { l.Note(l.in, notice.Notice{}, "r1") },
		"its unchanged entry":               func(l *leaver) { l.Update(l.in) },
		"a full listing":                    func(l *leaver) { l.Replace([]fleet.Instance{l.in}, true) },
		"its entry removed and added again": func(l *leaver) { l.Remove(l.in.ID, false); l.Update(l.in) },
		"its entry missing for a second": func(l *leaver) {
			l.Remove(l.in.ID, true)
			l.now += time.Second
			l.Update(l.in)
		},
		"a health check that its entry does not confirm": func(l *leaver) {
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
				t.Error("the leaving endpoint got new work")
			}
		})
	}
}

// Guards against reinstating an endpoint after an unconfirmed health check although it has
// announced in an answer since then that it is leaving.
func TestEndpointThatSaidThatItLeavesIsNotReinstated(t *testing.T) {
	l := newLeaver()
	reborn := l.in
	reborn.Born = 2
	l.Update(reborn)
	l.Unhealthy(reborn.Incarnation().Key())
	l.Note(reborn, notice.Notice{Leaving: true}, "r1")
	l.now += time.Minute
	if stayed := l.Reinstate(4 * time.Second); len(stayed) > 0 || l.takes() {
		t.Errorf("leaving endpoint was reinstated or got new work; reinstated: %v", stayed)
	}
}

// Guards against a restarted endpoint that gets no work because of a notice of its previous
// incarnation.
func TestNextIncarnationIsNotLeaving(t *testing.T) {
	l := newLeaver()
	reborn := l.in
	reborn.Born = 2
	l.Update(reborn)
	if !l.takes() {
		t.Error("the restarted endpoint got no work")
	}
}

// Guards against an invalid limit that hides the rest of the notice in the same answer.
func TestUnreadableLimitHidesNothingElse(t *testing.T) {
	l := newLeaver()
	reborn := l.in
	reborn.Born = 2
	l.Update(reborn)
	l.Note(reborn, notice.Notice{Leaving: true, LimitFault: errors.New("not a number")}, "r1")
	if l.takes() {
		t.Error("the leaving endpoint got new work")
	}
}

// Guards against datagrams that keep carrying notices which the other nodes know from entries or do
// not need.
func TestOnlyNewsIsToldToOtherNodes(t *testing.T) {
	l := newLeaver()
	if told := l.OwnLeaving(); len(told) != 1 {
		t.Errorf("%d leaving endpoints to broadcast, want 1: the one whose entry does not say that it is leaving", len(told))
	}
	if told := l.OwnLimits(); len(told) != 0 {
		t.Errorf("limits to broadcast of endpoints that have reported none: %v", told)
	}
	l.now += time.Minute
	if told := l.OwnLeaving(); len(told) != 1 {
		t.Errorf("%d leaving endpoints to broadcast after a minute, want 1: the one whose entry does not say that it is leaving", len(told))
	}
	entry := l.in
	entry.Leaving = true
	l.Update(entry)
	if told := l.OwnLeaving(); len(told) != 0 {
		t.Errorf("leaving endpoints to broadcast although the entry says that they are leaving: %v", told)
	}
	second := fleet.Instance{ID: "i2", Service: "app", DataCentre: "dc1", Slots: 10, Leaving: true}
	l.Update(second)
	l.Changed = func(string) { t.Error("a notice that the entry already contains was broadcast at once") }
	l.Note(second, notice.Notice{Leaving: true}, "r1")
	l.Note(second, notice.Notice{Pause: time.Second}, "r2")
	if told := append(l.OwnLeaving(), fleet.EndpointKey(len(l.OwnLimits()))); len(told) != 1 || told[0] != 0 {
		t.Errorf("leaving endpoints and number of limits to broadcast: %v, want no endpoints and 0 limits", told)
	}
}

// Guards against health checks that exceed an endpoint's limit or are sent during its pause.
func TestHealthChecksKeepLimitsAndPauses(t *testing.T) {
	l := newLeaver()
	service := &routing.Service{Name: "pool", Engine: &routing.EngineSpec{Memory: 30_000}}
	engine := fleet.Instance{ID: "e1", Service: "pool", DataCentre: "dc1", Slots: 10}
	l.Update(engine)
	if _, refusal := l.Acquire(context.Background(), fleet.Want{Service: service, Demand: fleet.Demand{Prompt: 10, Output: 10}}, 0); refusal != nil {
		t.Fatal(refusal)
	}
	const perSecond = 2.0
	l.Note(engine, notice.Notice{Limited: true, Limit: perSecond}, "r1")
	checks := 0
	for end := l.now + limitWindow; l.now < end; l.now += limitStep {
		checks += len(l.Busy("pool", "dc1"))
	}
	if checks == 0 || checks > limitAllows(perSecond) {
		t.Errorf("%d health checks in %v, want at least 1 and no more than the limit allows", checks, limitWindow)
	}
	l.Note(engine, notice.Notice{Pause: testPause}, "r2")
	if busy := l.Busy("pool", "dc1"); len(busy) != 0 {
		t.Errorf("health checks during the pause: %v", busy)
	}
}
