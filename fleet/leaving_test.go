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

// leavingEndpoint is a fleet with one endpoint that has announced in an answer that it is leaving.
type leavingEndpoint struct {
	*fleet.Fleet
	now     time.Duration
	in      fleet.Instance
	service *routing.Service
}

func newLeavingEndpoint() *leavingEndpoint {
	l := &leavingEndpoint{
		now:     time.Hour,
		service: &routing.Service{Name: "app"},
		in:      fleet.Instance{ID: "i1", StartedAtMS: 1, Service: "app", DataCentre: "dc1", Slots: 10},
	}
	l.Fleet = fleet.New("dc1", func() time.Duration { return l.now })
	l.WallClock = func() time.Time { return dayStart.Add(l.now) }
	roster := &fleet.Roster{Names: []string{""}}
	l.Roster = func() *fleet.Roster { return roster }
	l.Update(l.in)
	l.RecordNotice(l.in, notice.Notice{Leaving: true}, "r0")
	return l
}

// getsWork reports whether the endpoint gets new work.
func (l *leavingEndpoint) getsWork() bool {
	p, _ := l.Acquire(context.Background(), fleet.Work{Service: l.service}, 0)
	if p != nil {
		p.Release(fleet.Good)
	}
	return p != nil
}

// Guards against new work for an endpoint that announced in an answer that it is leaving, whatever
// its entry, a health check or a later answer says.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	for name, after := range map[string]func(*leavingEndpoint){
		"no further event":                  func(*leavingEndpoint) {},
		"an answer without a notice":        func(l *leavingEndpoint) { l.RecordNotice(l.in, notice.Notice{}, "r1") },
		"its unchanged entry":               func(l *leavingEndpoint) { l.Update(l.in) },
		"a full listing":                    func(l *leavingEndpoint) { l.Replace([]fleet.Instance{l.in}, true) },
		"its entry removed and added again": func(l *leavingEndpoint) { l.Remove(l.in.ID, false); l.Update(l.in) },
		"its entry missing for a second": func(l *leavingEndpoint) {
			l.Remove(l.in.ID, true)
			l.now += time.Second
			l.Update(l.in)
		},
		"a health check that its entry does not confirm": func(l *leavingEndpoint) {
			l.MarkUnhealthy(l.in.Incarnation().Key())
			l.now += time.Minute
			l.Reinstate(4 * time.Second)
			l.Update(l.in)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLeavingEndpoint()
			after(l)
			if l.getsWork() {
				t.Error("the leaving endpoint got new work")
			}
		})
	}
}

// Guards against reinstating an endpoint after an unconfirmed health check although it has
// announced in an answer since then that it is leaving.
func TestLeavingEndpointIsNotReinstated(t *testing.T) {
	l := newLeavingEndpoint()
	restarted := l.in
	restarted.StartedAtMS = 2
	l.Update(restarted)
	l.MarkUnhealthy(restarted.Incarnation().Key())
	l.RecordNotice(restarted, notice.Notice{Leaving: true}, "r1")
	l.now += time.Minute
	if reinstated := l.Reinstate(4 * time.Second); len(reinstated) > 0 || l.getsWork() {
		t.Errorf("leaving endpoint was reinstated or got new work; reinstated: %v", reinstated)
	}
}

// Guards against a restarted endpoint that gets no work because of a notice of its previous
// incarnation.
func TestNextIncarnationIsNotLeaving(t *testing.T) {
	l := newLeavingEndpoint()
	restarted := l.in
	restarted.StartedAtMS = 2
	l.Update(restarted)
	if !l.getsWork() {
		t.Error("the restarted endpoint got no work")
	}
}

// Guards against an invalid limit that hides the rest of the notice in the same answer.
func TestInvalidLimitDoesNotHideLeaving(t *testing.T) {
	l := newLeavingEndpoint()
	restarted := l.in
	restarted.StartedAtMS = 2
	l.Update(restarted)
	l.RecordNotice(restarted, notice.Notice{Leaving: true, LimitErr: errors.New("not a number")}, "r1")
	if l.getsWork() {
		t.Error("the leaving endpoint got new work")
	}
}

// Guards against datagrams that keep carrying notices which the other nodes know from entries or do
// not need.
func TestOnlyNewNoticesAreBroadcast(t *testing.T) {
	l := newLeavingEndpoint()
	if leaving := l.OwnLeaving(); len(leaving) != 1 {
		t.Errorf("%d leaving endpoints to broadcast, want 1: the one whose entry does not say that it is leaving", len(leaving))
	}
	if limits := l.OwnLimits(); len(limits) != 0 {
		t.Errorf("limits to broadcast of endpoints that have reported none: %v", limits)
	}
	l.now += time.Minute
	if leaving := l.OwnLeaving(); len(leaving) != 1 {
		t.Errorf("%d leaving endpoints to broadcast after a minute, want 1: the one whose entry does not say that it is leaving", len(leaving))
	}
	entry := l.in
	entry.Leaving = true
	l.Update(entry)
	if leaving := l.OwnLeaving(); len(leaving) != 0 {
		t.Errorf("leaving endpoints to broadcast although the entry says that they are leaving: %v", leaving)
	}
	second := fleet.Instance{ID: "i2", Service: "app", DataCentre: "dc1", Slots: 10, Leaving: true}
	l.Update(second)
	l.Broadcast = func(string) { t.Error("a notice that the entry already contains was broadcast at once") }
	l.RecordNotice(second, notice.Notice{Leaving: true}, "r1")
	l.RecordNotice(second, notice.Notice{Pause: time.Second}, "r2")
	if broadcast := append(l.OwnLeaving(), fleet.EndpointKey(len(l.OwnLimits()))); len(broadcast) != 1 || broadcast[0] != 0 {
		t.Errorf("leaving endpoints and number of limits to broadcast: %v, want no endpoints and 0 limits", broadcast)
	}
}

// Guards against health checks that exceed an endpoint's limit or are sent during its pause.
func TestHealthChecksRespectLimitsAndPauses(t *testing.T) {
	l := newLeavingEndpoint()
	service := &routing.Service{Name: "pool", Engine: &routing.EngineSpec{CacheTokens: 30_000}}
	engine := fleet.Instance{ID: "e1", Service: "pool", DataCentre: "dc1", Slots: 10}
	l.Update(engine)
	if _, refusal := l.Acquire(context.Background(), fleet.Work{Service: service, Demand: fleet.Demand{Prompt: 10, Output: 10}}, 0); refusal != nil {
		t.Fatal(refusal)
	}
	const perSecond = 2.0
	l.RecordNotice(engine, notice.Notice{Limited: true, Limit: perSecond}, "r1")
	checks := 0
	for end := l.now + limitWindow; l.now < end; l.now += limitStep {
		checks += len(l.BusyEndpoints("pool", "dc1"))
	}
	if checks == 0 || checks > limitAllows(perSecond) {
		t.Errorf("%d health checks in %v, want at least 1 and no more than the limit allows", checks, limitWindow)
	}
	l.RecordNotice(engine, notice.Notice{Pause: testPause}, "r2")
	if busy := l.BusyEndpoints("pool", "dc1"); len(busy) != 0 {
		t.Errorf("health checks during the pause: %v", busy)
	}
}
