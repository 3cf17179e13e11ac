package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/notice"
)

const testPause = 3 * time.Second

func newPausedEndpoint() *leavingEndpoint {
	l := newLeavingEndpoint()
	l.in.StartedAtMS = 2
	l.Update(l.in)
	l.RecordNotice(l.in, notice.Notice{Pause: testPause}, "r1")
	return l
}

// Guards against requests during a pause that an endpoint requested from this node, whatever
// happens meanwhile, and against a pause that does not end.
func TestPausedEndpointGetsNoRequests(t *testing.T) {
	for name, after := range map[string]func(*leavingEndpoint){
		"no further event":                  func(*leavingEndpoint) {},
		"an answer without a notice":        func(l *leavingEndpoint) { l.RecordNotice(l.in, notice.Notice{}, "r2") },
		"a shorter pause":                   func(l *leavingEndpoint) { l.RecordNotice(l.in, notice.Notice{Pause: time.Second}, "r2") },
		"its entry removed and added again": func(l *leavingEndpoint) { l.Remove(l.in.ID, false); l.Update(l.in) },
		"a full listing":                    func(l *leavingEndpoint) { l.Replace([]fleet.Instance{l.in}, false) },
	} {
		t.Run(name, func(t *testing.T) {
			l := newPausedEndpoint()
			after(l)
			l.now += testPause - time.Millisecond
			if l.getsWork() {
				t.Error("the endpoint got a request during its pause")
			}
			l.now += time.Millisecond
			if !l.getsWork() {
				t.Error("the endpoint got no request after its pause")
			}
		})
	}
}

// Guards against probes of a silent endpoint during a pause that it requested.
func TestPausedEndpointGetsNoProbes(t *testing.T) {
	l := newPausedEndpoint()
	if l.TakeProbe(l.in.Incarnation()) {
		t.Error("the endpoint got a probe during its pause")
	}
	l.now += testPause
	if !l.TakeProbe(l.in.Incarnation()) {
		t.Error("the endpoint got no probe after its pause")
	}
}

// Guards against a restarted endpoint that gets no work because of a pause of its previous
// incarnation.
func TestNextIncarnationIsNotPaused(t *testing.T) {
	l := newPausedEndpoint()
	restarted := l.in
	restarted.StartedAtMS = 3
	l.Update(restarted)
	if !l.getsWork() {
		t.Error("the restarted endpoint got no work")
	}
}

// Guards against callers that wait until their time is over although the pause is longer, and
// against retry delays that end before the pause does.
func TestWorkBeyondAPauseIsRefusedAtOnce(t *testing.T) {
	l := newPausedEndpoint()
	began := time.Now()
	_, refusal := l.Acquire(context.Background(), fleet.Work{Service: l.service}, testPause/2)
	if refusal == nil || refusal.Outcome != crocusreel.OutcomeNotRun || refusal.RetryAfter != testPause {
		t.Errorf("got refusal %+v, want outcome OutcomeNotRun and a retry delay equal to the pause", refusal)
	}
	if waited := time.Since(began); waited > testPause/4 {
		t.Errorf("refused after %v, want at once", waited)
	}
}

// Guards against work that keeps waiting although the only endpoint has requested a pause that
// exceeds the wait.
func TestPauseRefusesWaitingWorkThatCannotBeServed(t *testing.T) {
	l := newPausedEndpoint()
	l.now += testPause
	service := l.service
	for l.getsWork() && l.Waiting(service.Name) == 0 {
		if _, refusal := l.Acquire(context.Background(), fleet.Work{Service: service}, 0); refusal != nil {
			break
		}
	}
	ended := make(chan *crocusreel.Refusal, 1)
	go func() {
		_, refusal := l.Acquire(context.Background(), fleet.Work{Service: service}, testPause/2)
		ended <- refusal
	}()
	for l.Waiting(service.Name) == 0 {
		time.Sleep(time.Millisecond)
	}
	l.RecordNotice(l.in, notice.Notice{Pause: testPause}, "r2")
	select {
	case refusal := <-ended:
		if refusal == nil || refusal.Outcome != crocusreel.OutcomeNotRun {
			t.Errorf("got refusal %+v, want one with outcome OutcomeNotRun", refusal)
		}
	case <-time.After(testPause / 4):
		t.Error("the work was not refused after the endpoint requested a longer pause")
	}
}
