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

func newPausing() *leaver {
	l := newLeaver()
	l.in.StartedAtMS = 2
	l.Update(l.in)
	l.Note(l.in, notice.Notice{Pause: testPause}, "r1")
	return l
}

// Guards against requests within a pause that an endpoint has asked this node for, whatever comes
// in between, and against a pause without end.
func TestEndpointThatAsksForAPauseGetsIt(t *testing.T) {
	for name, after := range map[string]func(*leaver){
		"nothing more":           func(*leaver) {},
		"a good answer":          func(l *leaver) { l.Note(l.in, notice.Notice{}, "r2") },
		"a shorter pause":        func(l *leaver) { l.Note(l.in, notice.Notice{Pause: time.Second}, "r2") },
		"its entry gone and new": func(l *leaver) { l.Remove(l.in.ID, false); l.Update(l.in) },
		"a whole listing":        func(l *leaver) { l.Replace([]fleet.Instance{l.in}, false) },
	} {
		t.Run(name, func(t *testing.T) {
			l := newPausing()
			after(l)
			l.now += testPause - time.Millisecond
			if l.takes() {
				t.Error("it got a request within the pause")
			}
			l.now += time.Millisecond
			if !l.takes() {
				t.Error("it got no request after the pause")
			}
		})
	}
}

// Guards against an endpoint that has started again and is kept from work by what it said before.
func TestNextIncarnationIsNotPaused(t *testing.T) {
	l := newPausing()
	reborn := l.in
	reborn.StartedAtMS = 3
	l.Update(reborn)
	if !l.takes() {
		t.Error("it got no work")
	}
}

// Guards against callers that are held until their patience ends though the pause is longer, and
// against those that are told to come back before its end.
func TestWorkBeyondAPauseIsRefusedAtOnce(t *testing.T) {
	l := newPausing()
	began := time.Now()
	_, refusal := l.Acquire(context.Background(), fleet.Work{Service: l.service}, testPause/2)
	if refusal == nil || refusal.Outcome != crocusreel.OutcomeNotRun || refusal.RetryAfter != testPause {
		t.Errorf("refusal %+v", refusal)
	}
	if waited := time.Since(began); waited > testPause/4 {
		t.Errorf("held for %v", waited)
	}
}

// Guards against work that waits on although the only endpoint has asked for a longer pause since.
func TestPauseEndsTheWaitOfWorkThatCannotBeServed(t *testing.T) {
	l := newPausing()
	l.now += testPause
	full := l.service
	for l.takes() && l.Waiting(full.Name) == 0 {
		if _, refusal := l.Acquire(context.Background(), fleet.Work{Service: full}, 0); refusal != nil {
			break
		}
	}
	ended := make(chan *crocusreel.Refusal, 1)
	go func() {
		_, refusal := l.Acquire(context.Background(), fleet.Work{Service: full}, testPause/2)
		ended <- refusal
	}()
	for l.Waiting(full.Name) == 0 {
		time.Sleep(time.Millisecond)
	}
	l.Note(l.in, notice.Notice{Pause: testPause}, "r2")
	select {
	case refusal := <-ended:
		if refusal == nil || refusal.Outcome != crocusreel.OutcomeNotRun {
			t.Errorf("refusal %+v", refusal)
		}
	case <-time.After(testPause / 4):
		t.Error("still waiting")
	}
}
