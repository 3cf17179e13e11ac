package relay

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/drain"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// What ends a request before an endpoint answers it: its deadline, and the stop of this node.

// place waits for a placement and checks that the request may still run.
//
// A request that has not run is refused as soon as it might outlast this node if it were sent now. A
// request that may have run has nothing to lose by another attempt.
func (j *job) place(ctx context.Context) (*fleet.Placement, *crocusreel.Refusal) {
	j.r.Tracked.Enter(drain.Waiting)
	if j.ran || j.sink.Begun() {
		return j.placeNow(ctx)
	}
	waitCtx, done := j.r.Tracked.WhileUnsent(ctx)
	defer done()
	p, refusal := j.placeNow(waitCtx)
	late := drain.RefuseInterrupted(waitCtx)
	if late == nil && p != nil {
		late = j.r.Tracked.RefuseLate()
	}
	if late == nil {
		return p, refusal
	}
	if p != nil {
		p.Release(fleet.Neutral)
	}
	metrics.Count("refused_late_at_stop")
	return nil, late
}

func (j *job) placeNow(ctx context.Context) (*fleet.Placement, *crocusreel.Refusal) {
	j.pauseBeforeFreeSend(ctx)
	if refusal := j.awaitClaim(ctx); refusal != nil {
		return nil, refusal
	}
	p, refusal := j.acquire(ctx)
	if refusal != nil {
		return nil, refusal
	}
	if predicted := p.Predicted; predicted.Step > 0 {
		j.Log.Debug("engine chosen by its rate", zap.String("request", j.r.ID), zap.String("endpoint", p.Instance().ID),
			zap.Bool("known", predicted.Known), zap.Duration("step", predicted.Step),
			zap.Duration("first_event", predicted.FirstEvent), zap.Duration("pause", predicted.Pause))
	}
	if refusal := j.Admit(j.r); refusal != nil {
		p.Release(fleet.Neutral)
		return nil, refusal
	}
	return p, nil
}

// contextRefusal is the answer to a request whose context ended: the node stops, or the request reached
// its deadline.
func (j *job) contextRefusal(ctx context.Context) *crocusreel.Refusal {
	if !errors.Is(context.Cause(ctx), drain.ErrStopped) {
		return j.deadlineRefusal()
	}
	return drain.RefuseWith(j.outcome(), "this node has stopped")
}

// deadlineRefusal is the answer to a request that reached its deadline.
func (j *job) deadlineRefusal() *crocusreel.Refusal {
	return crocusreel.Refuse(crocusreel.ReasonDeadlineUnreachable, j.outcome(), lostRetryAfter, "the time is over")
}

// outcome states whether an endpoint may have executed the request.
func (j *job) outcome() crocusreel.Outcome {
	if j.ran {
		return crocusreel.OutcomeUnknown
	}
	return crocusreel.OutcomeNotRun
}
