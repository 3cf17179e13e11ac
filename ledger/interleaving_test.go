package ledger_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/ledger"
	"pgregory.net/rapid"
)

const attempts = 3

// callerOutcome is the outcome that the caller of one attempt received.
type callerOutcome struct {
	attempt int
	outcome crocusreel.Outcome
	// done is set if the caller received a result.
	done bool
}

// Guards against running one booking twice, or reporting not_run for a booking that ran. A caller
// without an answer retries through other gateways, while gateways freeze, resume or die at any
// point and the platform loses answers or is unavailable for a while.
func TestEveryInterleavingRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.IntRange(0, 1<<16), 0, 80).Draw(rt, "script")
		var problem string
		synctest.Test(t, func(*testing.T) { problem = interleave(script) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// interleave runs three attempts with one key under the drawn decisions. It returns a description
// of the violated guarantee, or an empty string.
func interleave(script []int) string {
	sim := newSimulation()
	d := &driver{simulation: sim, script: script, live: map[int]bool{}}
	for n := range attempts {
		d.start(n)
		d.run(d.nextChoice() % 8)
	}
	d.run(-1)
	d.closeAll()
	return sim.check()
}

// check verifies the guarantees against what the callers and the endpoint saw.
func (sim *simulation) check() string {
	if len(sim.runs) > 1 {
		return fmt.Sprintf("the work ran %d times, by attempts %v; callers received %+v", len(sim.runs), sim.runs, sim.history)
	}
	for _, e := range sim.history {
		for _, run := range sim.runs {
			if e.outcome == crocusreel.OutcomeNotRun && run <= e.attempt {
				return fmt.Sprintf("attempt %d received not_run, but attempt %d ran", e.attempt, run)
			}
		}
		if e.done && len(sim.runs) == 0 {
			return fmt.Sprintf("attempt %d received a result, but nothing ran", e.attempt)
		}
	}
	return ""
}

// driver decides which blocked call proceeds next and with which fault.
type driver struct {
	*simulation
	script  []int
	live    map[int]bool
	ledgers []*ledger.Ledger
	dead    []int
}

// nextChoice returns the next number of the script, 0 after its end.
func (d *driver) nextChoice() int {
	if len(d.script) == 0 {
		return 0
	}
	n := d.script[0]
	d.script = d.script[1:]
	return n
}

// start begins attempt n at a gateway of its own.
func (d *driver) start(n int) {
	ids := 0
	l := ledger.New(tables{d.simulation, n}, &objects{}, ledger.Options{
		Gateway: fmt.Sprint("gw", n),
		Now:     time.Now,
		Workers: 1,
		// The driver decides about each call, and the platform is never restored.
		WatchInterval: 24 * time.Hour,
		Jitter:        func(limit time.Duration) time.Duration { return limit },
		NewAttemptID: func() string {
			ids++
			return fmt.Sprint("attempt-", n, "-", ids)
		},
	})
	d.ledgers = append(d.ledgers, l)
	go d.attempt(l, n)
}

// attempt does what a gateway does with one request.
func (d *driver) attempt(l *ledger.Ledger, n int) {
	ctx := context.Background()
	result := l.Claim(ctx, ledger.Key{Workspace: "w", IdempotencyKey: "k"}, "hash", n == 0)
	switch {
	case result.Refusal != nil:
		d.recordOutcome(callerOutcome{attempt: n, outcome: result.Refusal.Outcome})
	case result.Done != nil:
		d.recordOutcome(callerOutcome{attempt: n, done: true})
	default:
		d.send(ctx, l, result.Claim, n)
	}
}

// send lets the endpoint run the work, refuse it, or run it and lose the answer.
func (d *driver) send(ctx context.Context, l *ledger.Ledger, c *ledger.Claim, n int) {
	switch d.block(n, true, false) {
	case faultDown:
		d.recordOutcome(callerOutcome{attempt: n, outcome: l.RecordNotRun(ctx, c)})
	case faultAnswerLost, faultDelayed:
		d.recordRun(n)
		l.RecordUnknown(ctx, c)
		d.recordOutcome(callerOutcome{attempt: n, outcome: crocusreel.OutcomeUnknown})
	default:
		d.recordRun(n)
		_ = l.RecordDone(ctx, c, ledger.Result{Status: 200})
		d.recordOutcome(callerOutcome{attempt: n, done: true})
	}
}

func (d *driver) recordRun(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs = append(d.runs, n)
}

func (d *driver) recordOutcome(e callerOutcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history = append(d.history, e)
}

// run makes up to the given number of decisions, without a bound for -1. It stops early if no call
// is blocked for three minutes of simulated time.
func (d *driver) run(decisions int) {
	for idle := 0; decisions != 0 && idle < 3; {
		synctest.Wait()
		if d.decide() {
			idle = 0
			decisions--
			continue
		}
		idle++
		time.Sleep(time.Minute)
	}
}

// decide releases one blocked call, which may kill its gateway, or applies a delayed commit. It
// returns false if there is neither.
func (d *driver) decide() bool {
	d.mu.Lock()
	choice := d.nextChoice()
	if len(d.delayed) > 0 && choice%5 == 4 {
		txn := d.delayed[0]
		d.delayed = d.delayed[1:]
		d.mu.Unlock()
		_, _ = d.apply(txn)
		return true
	}
	if len(d.blocked) == 0 {
		d.mu.Unlock()
		return false
	}
	// Calls that arrive at the same moment are queued in any order. Sorting them makes the
	// effect of a script reproducible.
	slices.SortStableFunc(d.blocked, func(a, b *blockedCall) int { return cmp.Compare(a.gateway, b.gateway) })
	i := choice % len(d.blocked)
	s := d.blocked[i]
	d.blocked = slices.Delete(d.blocked, i, i+1)
	d.mu.Unlock()
	d.release(s)
	return true
}

// release unblocks a call. In one of sixteen cases its gateway dies there.
func (d *driver) release(s *blockedCall) {
	choice := d.nextChoice()
	if choice%16 == 15 {
		d.dead = append(d.dead, s.gateway)
	}
	if slices.Contains(d.dead, s.gateway) {
		close(s.resume)
		return
	}
	s.resume <- fault(choice % int(faultCount))
}

// closeAll closes all ledgers and lets the background work of the gateways that are alive end.
func (d *driver) closeAll() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, l := range d.ledgers {
		l.Close(ctx)
	}
	synctest.Wait()
}
