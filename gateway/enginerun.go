package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/google/uuid"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/caller"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/handle"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/scheduler"
)

const (
	// resumeAttempts bounds the tries to reach a generation again after its stream
	// broke.
	resumeAttempts     = 4
	resumeBackoff      = 25 * time.Millisecond
	resumeBackoffLimit = 400 * time.Millisecond
	// resumeGrace is how long a generation whose caller is gone is kept for a resume
	// through another gateway before it is cancelled.
	resumeGrace = 2 * time.Second
	// cancelTimeout bounds the order to cancel.
	cancelTimeout = 2 * time.Second
	// handleLifetime bounds the use of a resume handle.
	handleLifetime = time.Hour
	// updateEvery is how many tokens pass between two updates of a permit.
	updateEvery = 8

	// endLater marks a permit that is released when its generation is cancelled.
	endLater scheduler.End = ""
)

// engineRun is one generation at one engine. All its tokens come from that generation: a
// broken stream is resumed, never replaced.
type engineRun struct {
	r      *generation
	permit scheduler.Permit
	engine endpoint.Engine
	id     string
	// next is the index of the first token not yet delivered.
	next  int
	texts []string // kept for the ledger only
	begun bool
}

func newEngineRun(r *generation, permit scheduler.Permit) *engineRun {
	return &engineRun{r: r, permit: permit, id: uuid.NewString()}
}

// do runs the generation and says how the permit ended.
func (u *engineRun) do(ctx context.Context) (verdict, scheduler.End) {
	engine, ok := u.r.g.endpoints.engine(u.r.g.state.Load(), u.permit.Endpoint)
	if !ok {
		return u.notStarted(crocusreel.ReasonNoEndpoint, "endpoint is not in the configuration"), scheduler.EndNotStarted
	}
	u.engine = engine
	if wait := u.r.g.endpoints.pause(u.r.g.state.Load(), u.permit.Endpoint); wait > 0 {
		v := u.notStarted(crocusreel.ReasonEndpointLimit, "the engine asked this gateway for a pause")
		v.refusal.RetryAfter = wait
		return v, scheduler.EndNotStarted
	}
	// The generation must outlive a break of its stream, so streams get the
	// caller's context and the generation itself is cancelled on purpose only.
	stream, err := engine.Generate(ctx, u.request())
	if err != nil {
		if outcomeOf(err) == crocusreel.OutcomeNotRun {
			return u.notStarted(crocusreel.ReasonEndpointRefused, err.Error()), scheduler.EndNotStarted
		}
		u.r.track.step("stream broke", u.permit.Endpoint, err.Error())
		stream = nil
	}
	return u.follow(ctx, stream, err)
}

func (u *engineRun) request() endpoint.GenerateRequest {
	return endpoint.GenerateRequest{
		RequestID:      u.r.RequestID,
		GenerationID:   u.id,
		Workspace:      u.r.Workspace.Name,
		Model:          u.r.Model,
		Adapter:        u.r.Adapter,
		Prompt:         u.r.Prompt,
		MaxTokens:      u.r.MaxTokens,
		Priority:       u.permit.EnginePriority,
		IdempotencyKey: u.key(),
	}
}

// key is empty for idempotent work: an engine that drops repeats would refuse the
// second try of a request whose first one it lost.
func (u *engineRun) key() string {
	if u.r.NonIdempotent {
		return u.r.IdempotencyKey
	}
	return ""
}

// follow delivers the generation's tokens and resumes its stream when it breaks.
// With a nil stream, cause tells how the first one broke.
func (u *engineRun) follow(ctx context.Context, stream endpoint.Stream, cause error) (verdict, scheduler.End) {
	for broken := 0; ; broken++ {
		if stream != nil {
			before := u.next
			cause = u.deliver(stream)
			_ = stream.Close()
			if cause == nil {
				return verdict{}, scheduler.EndFinished
			}
			if ctx.Err() != nil || errors.Is(cause, errCallerGone) {
				return u.abandoned(ctx)
			}
			if u.next > before {
				broken = 0
			}
			u.r.track.step("stream broke", u.permit.Endpoint, cause.Error())
		}
		if broken >= resumeAttempts || (u.replaceable() && isStalled(cause)) {
			return u.lost(), scheduler.EndEndpointLost
		}
		backoff(ctx, broken+1)
		if ctx.Err() != nil {
			return u.abandoned(ctx)
		}
		metrics.Retried("resume")
		stream, cause = u.engine.Resume(ctx, u.id, u.next)
		if cause != nil {
			stream = nil
			if isUnknownGeneration(cause) {
				return u.lost(), scheduler.EndEndpointLost
			}
		}
	}
}

// replaceable tells whether another generation may take the place of this one. Then
// a frozen engine, which accepts connections and says nothing, is left at its first
// stall; resuming it again and again would cost a stall timeout each.
func (u *engineRun) replaceable() bool {
	return !u.r.NonIdempotent && (u.next == 0 || u.r.Restartable)
}

// deliver passes frames to the caller until the stream ends or breaks.
func (u *engineRun) deliver(raw endpoint.Stream) error {
	stream := endpoint.ValidateStream(raw, u.r.RequestID, u.id, u.next, metrics.Count)
	for {
		f, err := stream.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				return &endpoint.Error{Outcome: crocusreel.OutcomeUnknown, Kind: endpoint.KindProtocol, Cause: io.ErrUnexpectedEOF}
			}
			return err
		}
		if err := u.begin(); err != nil {
			return err
		}
		if f.Done {
			return u.finish(f)
		}
		if err := u.token(f); err != nil {
			return err
		}
	}
}

func (u *engineRun) begin() error {
	if u.begun {
		return nil
	}
	u.begun = true
	text, err := u.r.g.signer.Sign(handle.Handle{
		Endpoint:     u.permit.Endpoint,
		GenerationID: u.id,
		RequestID:    u.r.RequestID,
		Workspace:    u.r.Workspace.Name,
		Model:        u.r.Model,
		Expires:      time.Now().Add(handleLifetime),
	})
	if err != nil {
		return err
	}
	return u.r.sink.Begin(caller.Begin{Model: u.r.Model, Handle: text, Endpoint: u.permit.Endpoint})
}

func (u *engineRun) token(f endpoint.Frame) error {
	if err := u.r.sink.Token(f.Index, f.Text); err != nil {
		return err
	}
	u.next = f.Index + 1
	if u.r.claim != nil {
		u.texts = append(u.texts, f.Text)
	}
	if u.next%updateEvery == 0 {
		u.r.g.permits.Update(u.permit.ID, u.next)
	}
	return nil
}

// finish keeps the result of claimed work before the caller sees the end: a caller
// that missed the end asks again with the same key and gets the kept result.
func (u *engineRun) finish(f endpoint.Frame) error {
	done := caller.Finish{Reason: f.FinishReason, Tokens: f.Index, PromptTokens: f.PromptTokens, Preemptions: f.Preemptions}
	if u.r.claim != nil {
		u.r.g.keepResult(u.r.claim, answerResult(u.r.Model, u.permit.Endpoint, u.texts, done))
		u.r.claim = nil
	}
	u.r.track.step("finished", u.permit.Endpoint, f.FinishReason)
	return u.r.sink.Finish(done)
}

// abandoned handles a caller that is gone or whose deadline has passed. A gone
// caller may resume elsewhere, so its generation is cancelled only after a while
// and only if nobody reads it by then.
func (u *engineRun) abandoned(ctx context.Context) (verdict, scheduler.End) {
	outcome := crocusreel.OutcomeRan
	if u.next == 0 {
		outcome = crocusreel.OutcomeUnknown
	}
	if errors.Is(context.Cause(ctx), errShuttingDown) {
		// The caller resumes through another gateway; the engine cancels by itself if
		// nobody comes.
		return verdict{refusal: contextRefusal(ctx, outcome)}, scheduler.EndCancelled
	}
	grace := resumeGrace
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		grace = 0
	}
	permit := u.permit
	permit.Produced = u.next
	u.r.g.background(func() {
		time.Sleep(grace)
		u.cancel()
		u.r.g.permits.Release(scheduler.Release{Permit: permit, End: scheduler.EndCancelled})
	})
	return verdict{refusal: contextRefusal(ctx, outcome)}, endLater
}

func (u *engineRun) cancel() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// An engine that cannot be reached cancels by itself once nothing is attached.
	if err := u.engine.Cancel(ctx, u.id, true); err != nil {
		metrics.Count("cancel_failed")
	}
}

// lost handles a generation that can no longer be reached. It is replaced by
// another only if the caller has seen none of its tokens.
func (u *engineRun) lost() verdict {
	u.r.g.background(u.cancel)
	if u.r.NonIdempotent {
		return verdict{refusal: crocusreel.Refuse(crocusreel.ReasonEndpointLost, crocusreel.OutcomeUnknown, lostRetryAfter,
			"the endpoint was lost after the work was sent")}
	}
	if u.replaceable() {
		return verdict{again: true, refusal: crocusreel.Refuse(crocusreel.ReasonEndpointLost, crocusreel.OutcomeUnknown, lostRetryAfter,
			"the endpoint was lost before the answer was whole")}
	}
	return verdict{refusal: crocusreel.Refuse(crocusreel.ReasonGenerationLost, crocusreel.OutcomeRan, lostRetryAfter,
		"the endpoint was lost after %d tokens; the rest of this generation cannot be had", u.next)}
}

func (u *engineRun) notStarted(reason crocusreel.Reason, detail string) verdict {
	u.r.track.step("not started", u.permit.Endpoint, detail)
	return verdict{again: true, refusal: crocusreel.Refuse(reason, crocusreel.OutcomeNotRun, lostRetryAfter, "%s", detail)}
}

func outcomeOf(err error) crocusreel.Outcome {
	var e *endpoint.Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return crocusreel.OutcomeUnknown
}

func isUnknownGeneration(err error) bool { return isKind(err, endpoint.KindUnknownGeneration) }

func isStalled(err error) bool { return isKind(err, endpoint.KindStalled) }

// isLost tells whether the connection ended after the work was sent, as it does when
// the endpoint dies.
func isLost(err error) bool { return isKind(err, endpoint.KindLost) }

func isKind(err error, kind endpoint.ErrorKind) bool {
	var e *endpoint.Error
	return errors.As(err, &e) && e.Kind == kind
}
