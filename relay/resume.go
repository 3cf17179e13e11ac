package relay

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/routing"
)

// A stream of a resumable route may run again and continue after the last event that its caller
// has. The seam between two runs is checked: each event reaches the caller once and in order, or the
// stream ends as broken.

// Resumable reports whether streams of the route may run again.
func (l *Relay) Resumable(r *routing.Route) bool {
	return r.Kind == routing.Streaming && r.Repeatable() && !l.Fleet.Disabled[fleet.Resume]
}

// repeatable reports whether the request may be sent again although it may have run.
func (j *job) repeatable() bool {
	if j.r.Route.Kind == routing.Streaming {
		return j.Resumable(j.r.Route) && !j.prog.unnumbered
	}
	return j.r.Route.Repeatable()
}

// mayRunAgain reports whether a stream whose segment has ended may continue with a new run, and
// takes the new run from the retry budget.
func (j *job) mayRunAgain(ctx context.Context, s *segment, end segmentEnd) bool {
	got := attemptResult{cause: causeLost}
	switch end {
	case segmentComplete, segmentCallerGone:
		return false
	case segmentCorrupt:
		got.cause = causeGap
	case segmentHung:
		got.cause, got.approved = causeHung, true
	case segmentCut:
	}
	if ctx.Err() != nil || !j.repeatable() || j.strikeLimitReached() {
		return false
	}
	if !got.approved && !j.mayRunElsewhere(ctx, got) {
		return false
	}
	j.recordRunAgain(s.p.Instance().ID, got.cause)
	return true
}

// mayContinueRun reports whether a stream whose run ended without an answer may be sent again.
func (j *job) mayContinueRun(ctx context.Context, got attemptResult) bool {
	switch {
	case got.notRun:
		return j.mayContinue(ctx, got, j.r.Runs)
	case !got.approved && !j.mayRunElsewhere(ctx, got):
		return false
	}
	j.recordRunAgain(j.result.Endpoint, got.cause)
	return true
}

// mayRunElsewhere reports whether there is an endpoint that was not tried and the request may run
// again. Without such an endpoint the caller would wait for a placement that cannot come.
func (j *job) mayRunElsewhere(ctx context.Context, got attemptResult) bool {
	return (j.outOfReach() || j.Fleet.HasOther(j.r.Service.Name, j.tried)) && j.mayRetry(ctx, got, j.r.Runs)
}

// recordRunAgain logs and counts a new run, after the one that was lost.
func (j *job) recordRunAgain(lost, cause string) {
	metrics.Count("stream_run_again")
	j.Log.Info("stream runs again", zap.String("request", j.r.ID), zap.String("lost", lost), zap.String("cause", cause),
		zap.Int("runs", j.r.Runs), zap.Int64p("last_event", j.prog.after()))
}

// withProgress returns the result, completed by the runs and by what the caller has of a stream.
func (j *job) withProgress(result Result) Result {
	result.Runs = j.r.Runs
	if j.r.Route.Kind != routing.Streaming {
		return result
	}
	resumable := j.Resumable(j.r.Route)
	if result.Via == "" || resumable {
		result.Events, result.LongestGap = j.prog.count, j.prog.longestGap
	}
	if result.Broken && resumable {
		metrics.Count("stream_not_resumed")
		j.Log.Info("stream not continued", zap.String("request", j.r.ID), zap.String("cause", result.Detail),
			zap.Int("runs", j.r.Runs), zap.Int64p("last_event", j.prog.after()))
	}
	return result
}

// unusableStatus returns the result of a run whose answer has a status with which the stream cannot
// go on, and closes that answer. The result has no cause if the answer is to be delivered.
func (j *job) unusableStatus(ctx context.Context, resp *h1.Response) attemptResult {
	if resp.StatusCode == http.StatusOK {
		return attemptResult{}
	}
	got := attemptResult{health: fleet.Neutral, cause: causeFailed, final: resp.StatusCode < http.StatusInternalServerError}
	if !got.final {
		got.health = fleet.Failed
	}
	if !j.sink.Begun() {
		if !j.shouldRetryStatus(resp.StatusCode) || !j.Fleet.HasOther(j.r.Service.Name, j.tried) || !j.mayRetry(ctx, got, j.r.Runs+1) {
			return attemptResult{}
		}
		got.approved = true
	}
	resp.Close()
	return got
}

// producedTokens returns the number of tokens that the run has generated, including those of events
// that the caller had before.
func (s *segment) producedTokens(prog *progress) int {
	perEvent := s.tokensPerEvent()
	// The caller's number is not trusted beyond the longest answer.
	earlier := min(prog.earlier, int64(s.r.Size.MaxOutput/max(perEvent, 1)))
	return (int(earlier) + prog.count) * perEvent
}

// causeHung means that an endpoint sent nothing for too long, causeGap that its events do not join
// those that the caller has.
const (
	causeHung = "endpoint_hung"
	causeGap  = "event_missing"
)

const (
	// minCallerPatience is the time without an event for which every caller waits. Callers of a route
	// with targets wait for patienceTargets latency targets or patienceGapTargets gap targets, if
	// that is longer.
	minCallerPatience  = 2 * time.Second
	patienceTargets    = 4
	patienceGapTargets = 8
	// hangShare is the share of the caller's patience after which a silent endpoint counts as hung.
	// The other half is left for the placement and the first event of the next run.
	hangShare = 0.5
)

// callerPatience returns the time without an event after which callers of the route leave.
func callerPatience(r *routing.Route) time.Duration {
	return max(minCallerPatience, patienceTargets*r.TargetLatency, patienceGapTargets*r.GapTarget)
}

// hangThreshold returns the time without an event after which an endpoint counts as hung.
func hangThreshold(r *routing.Route) time.Duration {
	return time.Duration(hangShare * float64(callerPatience(r)))
}

var errHung = eris.New("the endpoint sends nothing")

// hangWatch closes the connection to an endpoint that sends nothing for too long, if the request may run
// again elsewhere and the run is over then. It does nothing for other requests.
type hangWatch struct {
	p *fleet.Placement
	// ctx is the context of the exchange with the endpoint.
	ctx       context.Context
	cancel    context.CancelFunc
	timer     *time.Timer
	threshold time.Duration
	// armed is the number of the current wait, 0 while there is none; waits counts them.
	armed atomic.Int64
	waits int64
	// outcome is why the run was given up. It is nil if it was not.
	outcome atomic.Pointer[attemptResult]
}

// watchHang returns a watch, not armed, for a run which is the given one of the request, counted from
// 1. The budget is asked when the endpoint hangs, before the run is given up: a run that cannot be
// replaced goes on.
func (j *job) watchHang(ctx context.Context, p *fleet.Placement, run int, threshold time.Duration) *hangWatch {
	w := &hangWatch{p: p, threshold: threshold}
	w.ctx, w.cancel = context.WithCancel(ctx)
	sends := j.paidAttempts() + 1
	if !j.repeatable() || run >= j.r.Route.MaxAttempts || sends >= maxSends || j.Fleet.Disabled[fleet.Retries] {
		return w
	}
	tried := append(slices.Clone(j.tried), p.Instance().ID)
	w.timer = time.AfterFunc(w.threshold, func() { j.giveUpIfOver(w, tried) })
	w.timer.Stop()
	return w
}

// giveUpIfOver gives a silent run up once it is over without its connection, unless it goes on or cannot be
// replaced.
func (j *job) giveUpIfOver(w *hangWatch, tried []string) {
	wait := w.armed.Load()
	if wait == 0 || !j.Fleet.HasOther(j.r.Service.Name, tried) {
		return
	}
	w.p.RecordResult(fleet.Silent)
	goesOn := func() bool { return w.armed.Load() != wait || w.ctx.Err() != nil }
	end := j.awaitRunEnd(w.ctx, w.p, time.Now().Add(-w.threshold), false)
	if end == endUnproven || goesOn() {
		return
	}
	if !j.Fleet.HasOther(j.r.Service.Name, tried) || !j.reserveRetry(w.ctx) {
		metrics.Count("retry_denied")
		return
	}
	if goesOn() {
		return
	}
	metrics.CountRetry(causeHung)
	w.outcome.Store(&attemptResult{health: fleet.Neutral, cause: causeHung, approved: true, end: end})
	w.cancel()
}

// arm starts to wait for the endpoint.
func (w *hangWatch) arm() {
	if w.timer != nil {
		w.waits++
		w.armed.Store(w.waits)
		w.timer.Reset(w.threshold)
	}
}

// disarm ends the wait.
func (w *hangWatch) disarm() {
	if w.timer != nil {
		w.armed.Store(0)
		w.timer.Stop()
	}
}

// hung reports whether the connection was closed because the endpoint sent nothing.
func (w *hangWatch) hung() bool { return w.outcome.Load() != nil }

// result returns the result of a run that was given up, a zero one if it was not.
func (w *hangWatch) result() attemptResult {
	if got := w.outcome.Load(); got != nil {
		return *got
	}
	return attemptResult{}
}

// end releases the watch after the run.
func (w *hangWatch) end() {
	w.disarm()
	w.cancel()
}
