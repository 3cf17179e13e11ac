package relay

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

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
	// endRestarted means that the endpoint has started anew since.
	endRestarted runEnd = "restarted"
)

// run is one sending of the request to an endpoint.
type run struct {
	in      fleet.Instance
	sending h1.Sending
	beganAt time.Time
	// endedAt is the time at which this node got the answer or gave the run up, cause why.
	endedAt time.Time
	cause   string
	end     runEnd
}

// recordSending records the run that begins, and logs it if the request may have run before.
func (j *job) recordSending(in fleet.Instance) {
	if before := j.lastRun; before != nil && before.end != endNotRun {
		metrics.Count("run_after_" + string(before.end))
		j.Log.Info("request runs again", zap.String("request", j.r.ID), zap.String("route", j.r.Route.Name),
			zap.String("endpoint", in.ID), zap.Duration("left", time.Until(j.r.Deadline)),
			zap.String("before", before.in.ID), zap.String("before_connection", before.sending.LocalAddress),
			zap.Duration("before_began", time.Since(before.beganAt)), zap.Duration("before_written", sinceOrZero(before.sending.WrittenAt)),
			zap.Duration("before_ended", sinceOrZero(before.endedAt)), zap.String("cause", before.cause),
			zap.String("proof", string(before.end)))
	}
	j.lastRun = &run{in: in, beganAt: time.Now(), end: endUnproven}
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
		j.lastRun.sending = resp.Sending
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
	case p.EndpointContext().Err() != nil:
		return endRestarted
	}
	return endUnproven
}
