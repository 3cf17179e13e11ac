package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/liveness"
	"github.com/crocusreel/crocusreel/retry"
)

// A request runs again only once its last run is over. Neither silence nor a closed connection nor a
// connection that cannot be opened shows that: an endpoint that is stopped for a moment goes on with
// the run afterwards, and notices only then that its connection was closed.

// runEnd is the evidence that a run is over.
type runEnd string

// Kinds of evidence.
const (
	// endUnproven means that nothing shows that the run is over.
	endUnproven runEnd = "none"
	// endNotRun means that the request was not sent, or that the endpoint stated that it did not run it.
	endNotRun runEnd = "not_run"
	// endAnswered means that the endpoint answered.
	endAnswered runEnd = "answered"
	// endClosed means that the connection is closed and that the endpoint, which stops work whose
	// connection is closed, is known to be running.
	endClosed runEnd = "closed"
	// endStopped means that the endpoint has stopped the run on order, or does not know it.
	endStopped runEnd = "stopped"
	// endRestarted means that the endpoint has started anew since, endGone that no process listens at
	// its address any more.
	endRestarted runEnd = "restarted"
	endGone      runEnd = "gone"
	// endLost means that the endpoint was silent for longer than a sound one is, endCutOff that this node
	// reaches none of the service. Work that may run again does then, although the run may go on.
	endLost   runEnd = "lost"
	endCutOff runEnd = "cut_off"
)

const (
	// promptProbe is the time within which an endpoint that is running answers a probe. It doubles with
	// each answer that comes later: an endpoint that is slow, not silent, must not keep a run for ever.
	promptProbe = 100 * time.Millisecond
	// recoveryTime is what a run gets for its answer after its endpoint was silent.
	recoveryTime = 300 * time.Millisecond
	// probePause is the pause between two probes without an answer.
	probePause = 50 * time.Millisecond
)

// run is one sending of the request to an endpoint.
type run struct {
	p       *fleet.Placement
	sending h1.Sending
	beganAt time.Time
	// heardAt is when the endpoint last sent a part of the answer, or beganAt.
	heardAt time.Time
	// endedAt is the time at which this node got the answer or gave the run up, cause why.
	endedAt time.Time
	cause   string
	end     runEnd
	// status is the status of the answer by which the endpoint refused the request, 0 if there was none.
	// answerTo is the ID that the answer bore.
	status   int
	answerTo string
}

// recordSending records the run that begins, and logs it if the request was sent before.
func (j *job) recordSending(p *fleet.Placement) {
	switch before := j.lastRun; {
	case before == nil:
	case before.end == endNotRun:
		j.Log.Info("request sent again", zap.String("request", j.r.ID), zap.String("route", j.r.Route.Name),
			zap.String("endpoint", p.Instance().ID), zap.Duration("left", time.Until(j.r.Deadline)),
			zap.String("before", before.p.Instance().ID), zap.String("before_connection", before.sending.LocalAddress),
			zap.Int("before_exchanges", before.sending.Exchanges), zap.Duration("before_connection_age", before.sending.ConnectionAge),
			zap.Duration("before_began", time.Since(before.beganAt)), zap.Duration("before_written", sinceOrZero(before.sending.WrittenAt)),
			zap.String("cause", before.cause), zap.Int("status", before.status), zap.String("answer_to", before.answerTo))
	default:
		metrics.Count("run_after_" + string(before.end))
		j.Log.Info("request runs again", zap.String("request", j.r.ID), zap.String("route", j.r.Route.Name),
			zap.String("endpoint", p.Instance().ID), zap.Duration("left", time.Until(j.r.Deadline)),
			zap.String("before", before.p.Instance().ID), zap.String("before_connection", before.sending.LocalAddress),
			zap.Int("before_exchanges", before.sending.Exchanges), zap.Duration("before_connection_age", before.sending.ConnectionAge),
			zap.Duration("before_began", time.Since(before.beganAt)), zap.Duration("before_written", sinceOrZero(before.sending.WrittenAt)),
			zap.Duration("before_heard", time.Since(before.heardAt)), zap.Duration("before_ended", sinceOrZero(before.endedAt)),
			zap.String("cause", before.cause), zap.String("proof", string(before.end)))
	}
	now := time.Now()
	j.lastRun = &run{p: p, beganAt: now, heardAt: now, end: endUnproven}
}

// sinceOrZero returns the time since t, 0 if t is zero.
func sinceOrZero(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return time.Since(t)
}

// recordSent records over which connection the last run was sent.
func (j *job) recordSent(resp *h1.Response, err error) {
	var failed *h1.Error
	switch {
	case err == nil:
		j.lastRun.sending, j.lastRun.heardAt = resp.Sending, time.Now()
	case errors.As(err, &failed):
		j.lastRun.sending = failed.Sending
	}
}

// recordRunEnd records why the last run ended for this node, and what shows that it is over.
func (j *job) recordRunEnd(cause string, end runEnd) {
	if r := j.lastRun; r != nil {
		r.endedAt, r.cause, r.end = time.Now(), cause, end
	}
}

// endOf returns what an attempt's result shows of the end of its run.
func endOf(p *fleet.Placement, got attemptResult) runEnd {
	switch {
	case got.notRun:
		return endNotRun
	case got.answer != nil || got.cause == causeFailed:
		return endAnswered
	case got.end != "":
		return got.end
	case p.EndpointContext().Err() != nil:
		return endRestarted
	}
	return endUnproven
}

// awaitLastRunEnd waits until the last run is over, before the request runs again. It returns false if the
// request's time ends first.
func (j *job) awaitLastRunEnd(ctx context.Context) bool {
	r := j.lastRun
	if r == nil || r.end != endUnproven {
		return true
	}
	began := time.Now()
	r.end = j.awaitRunEnd(ctx, r.p, r.heardAt, true)
	if waited := time.Since(began); waited > promptProbe {
		metrics.Observe("run_end_wait_ms", waited)
	}
	return r.end != endUnproven
}

// awaitRunEnd waits for evidence that a run is over, or will be once its connection is closed. The endpoint
// was last heard at heardAt. closed is set if the connection is closed already; while it is open, an
// endpoint that was silent gets recoveryTime to answer. The result is endUnproven if ctx ends first.
func (j *job) awaitRunEnd(ctx context.Context, p *fleet.Placement, heardAt time.Time, closed bool) runEnd {
	lostAt, prompt := heardAt.Add(h1.ToleratedSilence), promptProbe
	for {
		probeCtx, cancel := context.WithDeadline(ctx, lostAt)
		got := j.askEndpoint(probeCtx, p)
		cancel()
		switch {
		case ctx.Err() != nil:
			return endUnproven
		case p.EndpointContext().Err() != nil:
			return endRestarted
		case got.Err == nil && (closed || got.Took <= prompt):
			return endClosed
		case got.Err == nil:
			lostAt, prompt = time.Now().Add(h1.ToleratedSilence), 2*prompt
			retry.Sleep(ctx, recoveryTime)
			continue
		case h1.Refused(got.Err) && closed:
			if end := j.judgeRefusal(ctx, p); end != endUnproven {
				return end
			}
		}
		if !time.Now().Before(lostAt) {
			return endLost
		}
		retry.Sleep(ctx, min(probePause, time.Until(lostAt)))
	}
}

// askEndpoint probes the endpoint of a run. A restart of the endpoint ends the wait.
func (j *job) askEndpoint(ctx context.Context, p *fleet.Placement) liveness.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.EndpointContext(), cancel)()
	return j.Liveness.Ask(ctx, p.Instance())
}

// judgeRefusal returns what a refused connection shows of a run whose connection has broken.
func (j *job) judgeRefusal(ctx context.Context, p *fleet.Placement) runEnd {
	others := j.Fleet.OtherEndpoints(p.Instance(), maxComparedEndpoints)
	switch {
	case j.outOfReach() || len(others) > 0 && !j.connectsToAny(ctx, others):
		return endCutOff
	case j.acceptsOthers(ctx, p.Instance()):
		return endUnproven
	}
	return endGone
}
