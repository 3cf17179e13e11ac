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
	// resumeAttempts bounds the consecutive attempts to resume a broken stream that yield no new
	// token.
	resumeAttempts     = 4
	resumeBackoff      = 25 * time.Millisecond
	resumeBackoffLimit = 400 * time.Millisecond
	// resumeGrace is how long a generation whose caller is gone is kept, so that the caller can
	// resume it through another gateway, before it is cancelled.
	resumeGrace = 2 * time.Second
	// cancelTimeout bounds a cancel request to an engine.
	cancelTimeout = 2 * time.Second
	// handleLifetime is how long a resume handle is valid.
	handleLifetime = time.Hour
	// permitUpdateTokens is the number of tokens between two updates of a permit.
	permitUpdateTokens = 8

	// releasedLater marks a permit that is released in the background, after its generation is
	// cancelled.
	releasedLater scheduler.EndReason = ""
)

// engineRun is one generation at one engine. All its tokens come from that generation: a broken
// stream is resumed, never replaced by the stream of another generation.
type engineRun struct {
	gen    *generation
	permit scheduler.Permit
	engine endpoint.Engine
	id     string
	// next is the index of the first token that is not delivered yet.
	next  int
	texts []string // only for claimed work, whose result is stored in the ledger
	begun bool
}

func newEngineRun(r *generation, permit scheduler.Permit) *engineRun {
	return &engineRun{gen: r, permit: permit, id: uuid.NewString()}
}

// execute runs the generation and returns its result and how the permit ended.
func (u *engineRun) execute(ctx context.Context) (attemptResult, scheduler.EndReason) {
	engine, ok := u.gen.g.endpoints.engine(u.gen.g.state.Load(), u.permit.Endpoint)
	if !ok {
		return u.notStarted(crocusreel.ReasonNoEndpoint, "endpoint is not in the configuration"), scheduler.EndNotStarted
	}
	u.engine = engine
	if wait := u.gen.g.endpoints.remainingPause(u.gen.g.state.Load(), u.permit.Endpoint); wait > 0 {
		v := u.notStarted(crocusreel.ReasonEndpointLimit, "the engine asked this gateway for a pause")
		v.refusal.RetryAfter = wait
		return v, scheduler.EndNotStarted
	}
	// The generation must outlive a break of its stream. Streams therefore use the caller's
	// context, and the generation itself is cancelled only explicitly.
	stream, err := engine.Generate(ctx, u.request())
	if err != nil {
		if outcomeOf(err) == crocusreel.OutcomeNotRun {
			return u.notStarted(crocusreel.ReasonEndpointRefused, err.Error()), scheduler.EndNotStarted
		}
		u.gen.track.step("stream broke", u.permit.Endpoint, err.Error())
		stream = nil
	}
	return u.deliverResuming(ctx, stream, err)
}

func (u *engineRun) request() endpoint.GenerateRequest {
	return endpoint.GenerateRequest{
		RequestID:      u.gen.RequestID,
		GenerationID:   u.id,
		Workspace:      u.gen.Workspace.Name,
		Model:          u.gen.Model,
		Adapter:        u.gen.Adapter,
		Prompt:         u.gen.Prompt,
		MaxTokens:      u.gen.MaxTokens,
		Priority:       u.permit.EnginePriority,
		IdempotencyKey: u.idempotencyKey(),
	}
}

// idempotencyKey is empty for idempotent work: an engine that drops repeats would refuse the second
// attempt of a request if it lost the first one.
func (u *engineRun) idempotencyKey() string {
	if u.gen.NonIdempotent {
		return u.gen.IdempotencyKey
	}
	return ""
}

// deliverResuming delivers the generation's tokens and resumes its stream when it breaks. With a
// nil stream, cause is the error that broke the first one.
func (u *engineRun) deliverResuming(ctx context.Context, stream endpoint.Stream, cause error) (attemptResult, scheduler.EndReason) {
	for broken := 0; ; broken++ {
		if stream != nil {
			before := u.next
			cause = u.deliver(stream)
			_ = stream.Close()
			if cause == nil {
				return attemptResult{}, scheduler.EndFinished
			}
			if ctx.Err() != nil || errors.Is(cause, errCallerGone) {
				return u.abandon(ctx)
			}
			if u.next > before {
				broken = 0
			}
			u.gen.track.step("stream broke", u.permit.Endpoint, cause.Error())
		}
		if broken >= resumeAttempts || (u.replaceable() && isStalled(cause)) {
			return u.endpointLost(), scheduler.EndEndpointLost
		}
		backoff(ctx, broken+1)
		if ctx.Err() != nil {
			return u.abandon(ctx)
		}
		metrics.CountRetry("resume")
		stream, cause = u.engine.Resume(ctx, u.id, u.next)
		if cause != nil {
			stream = nil
			if isUnknownGeneration(cause) {
				return u.endpointLost(), scheduler.EndEndpointLost
			}
		}
	}
}

// replaceable reports whether another generation may replace this one. If so, a frozen engine,
// which accepts connections but sends nothing, is abandoned at its first stall: each further resume
// would cost another stall timeout.
func (u *engineRun) replaceable() bool {
	return !u.gen.NonIdempotent && (u.next == 0 || u.gen.Restartable)
}

// deliver passes frames to the caller until the stream ends or breaks. It returns nil only if the
// answer is complete.
func (u *engineRun) deliver(raw endpoint.Stream) error {
	stream := endpoint.ValidateStream(raw, u.gen.RequestID, u.id, u.next, metrics.Count)
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
		if err := u.deliverToken(f); err != nil {
			return err
		}
	}
}

func (u *engineRun) begin() error {
	if u.begun {
		return nil
	}
	u.begun = true
	text, err := u.gen.g.signer.Sign(handle.Handle{
		Endpoint:     u.permit.Endpoint,
		GenerationID: u.id,
		RequestID:    u.gen.RequestID,
		Workspace:    u.gen.Workspace.Name,
		Model:        u.gen.Model,
		Expires:      time.Now().Add(handleLifetime),
	})
	if err != nil {
		return err
	}
	return u.gen.sink.Begin(caller.Begin{Model: u.gen.Model, Handle: text, Endpoint: u.permit.Endpoint})
}

func (u *engineRun) deliverToken(f endpoint.Frame) error {
	if err := u.gen.sink.Token(f.Index, f.Text); err != nil {
		return err
	}
	u.next = f.Index + 1
	if u.gen.claim != nil {
		u.texts = append(u.texts, f.Text)
	}
	if u.next%permitUpdateTokens == 0 {
		u.gen.g.permits.Update(u.permit.ID, u.next)
	}
	return nil
}

// finish stores the result of claimed work in the ledger before it sends the end of the answer: a
// caller that missed the end retries with the same key and gets the stored result.
func (u *engineRun) finish(f endpoint.Frame) error {
	done := caller.Finish{Reason: f.FinishReason, Tokens: f.Index, PromptTokens: f.PromptTokens, Preemptions: f.Preemptions}
	if u.gen.claim != nil {
		u.gen.g.storeResult(u.gen.claim, encodeAnswer(u.gen.Model, u.permit.Endpoint, u.texts, done))
		u.gen.claim = nil
	}
	u.gen.track.step("finished", u.permit.Endpoint, f.FinishReason)
	return u.gen.sink.Finish(done)
}

// abandon handles a caller that is gone or whose deadline has passed. A caller that is gone may
// resume through another gateway, so its generation is cancelled only after resumeGrace, and only
// if nothing is attached to it at that time.
func (u *engineRun) abandon(ctx context.Context) (attemptResult, scheduler.EndReason) {
	outcome := crocusreel.OutcomeRan
	if u.next == 0 {
		outcome = crocusreel.OutcomeUnknown
	}
	if errors.Is(context.Cause(ctx), errShuttingDown) {
		// The caller resumes through another gateway. If it does not, the engine cancels the
		// generation by itself.
		return attemptResult{refusal: contextRefusal(ctx, outcome)}, scheduler.EndCancelled
	}
	grace := resumeGrace
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		grace = 0
	}
	permit := u.permit
	permit.Produced = u.next
	u.gen.g.background(func() {
		time.Sleep(grace)
		u.cancel()
		u.gen.g.permits.Release(scheduler.Release{Permit: permit, End: scheduler.EndCancelled})
	})
	return attemptResult{refusal: contextRefusal(ctx, outcome)}, releasedLater
}

func (u *engineRun) cancel() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// An engine that cannot be reached cancels the generation by itself once nothing is attached to
	// it.
	if err := u.engine.Cancel(ctx, u.id, true); err != nil {
		metrics.Count("cancel_failed")
	}
}

// endpointLost handles a generation that can no longer be reached. It is replaced by another only
// if the caller has received none of its tokens.
func (u *engineRun) endpointLost() attemptResult {
	u.gen.g.background(u.cancel)
	if u.gen.NonIdempotent {
		return attemptResult{refusal: crocusreel.Refuse(crocusreel.ReasonEndpointLost, crocusreel.OutcomeUnknown, defaultRetryAfter,
			"the endpoint was lost after the work was sent")}
	}
	if u.replaceable() {
		return attemptResult{retryable: true, refusal: crocusreel.Refuse(crocusreel.ReasonEndpointLost, crocusreel.OutcomeUnknown, defaultRetryAfter,
			"the endpoint was lost before the answer was whole")}
	}
	return attemptResult{refusal: crocusreel.Refuse(crocusreel.ReasonGenerationLost, crocusreel.OutcomeRan, defaultRetryAfter,
		"the endpoint was lost after %d tokens; the rest of this generation cannot be had", u.next)}
}

func (u *engineRun) notStarted(reason crocusreel.Reason, detail string) attemptResult {
	u.gen.track.step("not started", u.permit.Endpoint, detail)
	return attemptResult{retryable: true, refusal: crocusreel.Refuse(reason, crocusreel.OutcomeNotRun, defaultRetryAfter, "%s", detail)}
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

// isLost reports whether the connection ended after the work was sent, as it does when the endpoint
// dies.
func isLost(err error) bool { return isKind(err, endpoint.KindLost) }

func isKind(err error, kind endpoint.ErrorKind) bool {
	var e *endpoint.Error
	return errors.As(err, &e) && e.Kind == kind
}
