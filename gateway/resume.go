package gateway

import (
	"context"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/api"
	"github.com/crocusreel/crocusreel/caller"
	"github.com/crocusreel/crocusreel/scheduler"
)

// Resume implements caller.Core. The handle identifies the engine and the generation, so any
// gateway can continue a stream whose own gateway died.
func (g *Gateway) Resume(ctx context.Context, req caller.Resume, sink caller.Sink) *crocusreel.Refusal {
	h, err := g.signer.Verify(req.Handle, time.Now())
	if err != nil {
		return crocusreel.Refuse(crocusreel.ReasonHandleInvalid, crocusreel.OutcomeUnknown, 0, "the handle is not valid")
	}
	if h.Workspace != req.Workspace.Name {
		return crocusreel.Refuse(crocusreel.ReasonForbidden, crocusreel.OutcomeUnknown, 0, "the handle belongs to another workspace")
	}
	snap := g.state.Load()
	engine, ok := g.endpoints.engine(snap, h.Endpoint)
	if !ok {
		return crocusreel.Refuse(crocusreel.ReasonGenerationLost, crocusreel.OutcomeRan, 0, "the endpoint is no longer in the configuration")
	}
	track := g.records.start(api.Record{RequestID: req.RequestID, Workspace: h.Workspace, Kind: "resume", Model: h.Model})
	track.step("resumes", h.Endpoint, h.RequestID)
	r := &generation{
		g:     g,
		snap:  snap,
		track: track,
		sink:  &guardedSink{sink: sink},
		Generation: caller.Generation{
			Attempt: caller.Attempt{RequestID: h.RequestID, Workspace: req.Workspace},
			Model:   h.Model,
		},
	}
	u := &engineRun{
		gen:    r,
		engine: engine,
		id:     h.GenerationID,
		next:   req.NextIndex,
		// Work that is already running needs no permit; the permit's fields only identify where it
		// runs.
		permit: scheduler.Permit{Endpoint: h.Endpoint, Model: h.Model},
	}
	ctx, cancel := g.withShutdown(ctx)
	defer cancel()
	v, _ := u.resume(ctx)
	track.end(v.refusal)
	return v.refusal
}

// resume continues the generation. It is never replaced by another one, since the caller already
// holds some of its tokens.
func (u *engineRun) resume(ctx context.Context) (attemptResult, scheduler.EndReason) {
	first := u.next
	stream, err := u.engine.Resume(ctx, u.id, u.next)
	if err != nil && isUnknownGeneration(err) {
		return attemptResult{refusal: crocusreel.Refuse(crocusreel.ReasonGenerationLost, crocusreel.OutcomeRan, 0,
			"the engine no longer knows this generation")}, releasedLater
	}
	if err != nil {
		stream = nil
	}
	v, end := u.deliverResuming(ctx, stream, err)
	if v.retryable {
		v.retryable = false
		v.refusal = crocusreel.Refuse(crocusreel.ReasonGenerationLost, crocusreel.OutcomeRan, defaultRetryAfter,
			"the endpoint was lost %d tokens after the resume", u.next-first)
	}
	return v, end
}
