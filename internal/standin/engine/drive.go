package engine

import (
	"context"
	"time"

	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/internal/standin/engine/model"
)

const (
	// pollInterval is the interval at which a stalled engine checks whether it may continue,
	// load reports are renewed, and retention and reclaim deadlines are checked.
	pollInterval = 20 * time.Millisecond
	// maxStepLag is the maximum delay of the steps behind real time, which occurs on a busy
	// machine. Beyond it the schedule restarts from now, which avoids a burst of steps.
	maxStepLag = 200 * time.Millisecond
)

// Run executes steps in scaled time until ctx is cancelled.
func (e *Engine) Run(ctx context.Context) error {
	go e.runMaintenance(ctx)
	due := time.Now()
	for ctx.Err() == nil {
		step, ok := e.step()
		if !ok {
			e.waitForWork(ctx)
			due = time.Now()
			continue
		}
		due = due.Add(e.scaled(step.Duration))
		if lag := time.Since(due); lag > maxStepLag {
			due = time.Now()
		}
		if !sleep(ctx, time.Until(due)) {
			break
		}
		e.apply(step)
	}
	return nil
}

// step runs one step of the model. It returns false if the engine is idle or stalled.
func (e *Engine) step() (model.Step, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Stalled || e.model.Idle() {
		return model.Step{}, false
	}
	return e.model.Step(), true
}

func (e *Engine) waitForWork(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.wake:
	case <-time.After(pollInterval):
	}
}

func (e *Engine) scaled(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	factor := e.faults.SlowFactor
	if factor <= 0 {
		factor = 1
	}
	return time.Duration(float64(d) * factor / e.options.TimeScale)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// apply publishes the results of a step, after its duration has passed.
func (e *Engine) apply(step model.Step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range step.Preempted {
		if g := e.generations[id]; g != nil {
			g.preemptions++
		}
	}
	for _, t := range step.Tokens {
		e.applyToken(t)
	}
	for _, ended := range step.Ended {
		if g := e.generations[ended.ID]; g != nil {
			e.end(g, g.finishReason(ended.Finish))
		}
	}
	now := time.Now()
	for _, c := range step.Cache {
		e.cacheEvents.add(now, c, e.chance(e.faults.CacheEventGaps))
	}
}

func (e *Engine) applyToken(t model.Token) {
	g := e.generations[t.ID]
	if g == nil || g.done {
		return
	}
	g.produced = t.Index + 1
	g.notify()
	if g.crashMarked && g.produced >= min(crashAfterTokens, g.targetTokens) {
		e.options.Exit(admin.ExitStatusDied)
	}
	if e.dieAfterTokens > 0 {
		e.dieAfterTokens--
		if e.dieAfterTokens == 0 {
			e.options.Exit(admin.ExitStatusDied)
		}
	}
}

func (g *generation) finishReason(f model.Finish) string {
	if f == model.FinishLength || g.limited {
		return finishLength
	}
	return string(model.FinishStop)
}

// runMaintenance renews load reports, removes expired generations and stops the engine at its
// reclaim deadline, until ctx is cancelled.
func (e *Engine) runMaintenance(ctx context.Context) {
	for sleep(ctx, pollInterval) {
		e.mu.Lock()
		now := time.Now()
		if !e.faults.ReportsFrozen {
			e.reports.add(now, e.report())
		}
		e.removeExpired(now)
		reclaimed := !e.leavingAt.IsZero() && now.After(e.leavingAt)
		e.mu.Unlock()
		if reclaimed {
			e.options.Exit(0)
		}
	}
}

func (e *Engine) removeExpired(now time.Time) {
	for id, g := range e.generations {
		if g.done && g.streams == 0 && now.Sub(g.endedAt) > e.options.Retention {
			delete(e.generations, id)
		}
	}
}
