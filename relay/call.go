package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/drain"
	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/retry"
)

const (
	// maxSends is the maximum number of times that one request is sent, including attempts that an
	// endpoint refuses, but not those that freeSend allows.
	maxSends = 4
	// maxBufferedAnswerBytes is the size up to which the answer to a plain call is buffered before
	// any of it is delivered. An answer that breaks off within the buffer can still be replaced by
	// that of another endpoint.
	maxBufferedAnswerBytes = 256 << 10
)

// answer is an endpoint's answer, read to its end or up to maxBufferedAnswerBytes.
type answer struct {
	resp *h1.Response
	// placement is the endpoint that the answer is from.
	placement *fleet.Placement
	body      []byte
	// hasMore reports whether the buffer is full, so that the body may continue beyond it.
	hasMore bool
	// closeExchange closes the exchange with the endpoint.
	closeExchange func()
}

// attemptResult is the outcome of sending a request to one endpoint.
type attemptResult struct {
	answer *answer
	// notRun reports that the endpoint definitely did not execute the request.
	notRun bool
	health fleet.Result
	cause  string
	// final reports that no other endpoint can be expected to give a different answer.
	final bool
	// approved reports that another run has been taken from the retry budget already.
	approved bool
	// end is the evidence that the run is over if this node gave it up, empty otherwise.
	end runEnd
}

// broken reports whether the connection ended before the answer was complete, as it does when the
// endpoint dies.
func (r attemptResult) broken() bool { return r.cause == causeLost || r.cause == causeTruncated }

// call serves a request whose answer is a single message.
func (j *job) call(ctx context.Context) Result {
	var errorAnswer *answer
	var last attemptResult
	for {
		if errorAnswer == nil && j.outOfReach() {
			if result, served := j.forward(ctx); served {
				return result
			}
		}
		if !j.awaitLastRunEnd(ctx) {
			return j.exhausted(ctx, errorAnswer, j.failureRefusal(last))
		}
		p, refusal := j.place(ctx)
		if refusal != nil {
			return j.exhausted(ctx, errorAnswer, refusal)
		}
		if !j.retryStillReserved(ctx) {
			p.Release(fleet.Neutral)
			return j.exhausted(ctx, errorAnswer, j.failureRefusal(last))
		}
		got := j.sendOnce(ctx, p, j.r.Runs)
		last = got
		j.recordRunEnd(got.cause, endOf(p, got))
		p.Release(got.health)
		j.tried = append(j.tried, p.Instance().ID)
		if got.answer != nil && !j.shouldRetryStatus(got.answer.resp.StatusCode) {
			j.Strikes.Clear(j.r.Fingerprint)
			j.proveParts()
			j.r.Runs++
			return j.deliver(ctx, got.answer)
		}
		if got.answer != nil {
			if errorAnswer != nil {
				errorAnswer.closeExchange()
			}
			errorAnswer = got.answer
		}
		if !got.notRun {
			j.r.Runs++
			j.ran = true
		}
		if got.broken() {
			j.strikeIfDead(ctx, p, j.prog.count)
		}
		if ctx.Err() != nil || j.strikeLimitReached() || !got.approved && !j.mayContinue(ctx, got, j.r.Runs) {
			return j.exhausted(ctx, errorAnswer, j.failureRefusal(got))
		}
		j.result.Detail = got.cause
	}
}

// causeLost means that the connection broke before the answer, causeTruncated that it broke within
// the answer, causeUnreachable that the request could not be sent.
const (
	causeLost        = "connection_lost"
	causeTruncated   = "answer_truncated"
	causeUnreachable = "endpoint_unreachable"
	// causeFailed means that the endpoint answered with an error status.
	causeFailed = "endpoint_failed"
	// causeUnidentified means that the only answer may belong to another request.
	causeUnidentified = "answer_unidentified"
)

// shouldRetryStatus reports whether a request whose answer has this status should be sent to
// another endpoint: the request is repeatable and the status is a server error.
func (j *job) shouldRetryStatus(status int) bool {
	return j.repeatable() && status >= http.StatusInternalServerError
}

// mayContinue reports whether the request may be sent again, by this node or by another one. A
// request that was never sent and is to be forwarded is not a retry.
func (j *job) mayContinue(ctx context.Context, got attemptResult, runs int) bool {
	return got.cause == causeUnreachable && j.outOfReach() || j.mayRetry(ctx, got, runs)
}

func (j *job) mayRetry(ctx context.Context, got attemptResult, runs int) bool {
	if !got.notRun && (!j.repeatable() || runs >= j.r.Route.MaxAttempts) {
		return false
	}
	if j.freeSend(got) {
		return true
	}
	if j.paidAttempts() >= maxSends || j.Fleet.Disabled[fleet.Retries] || !j.reserveRetry(ctx) {
		metrics.Count("retry_denied")
		return false
	}
	metrics.CountRetry(crocusreel.Reason(got.cause))
	return true
}

// reserveRetry takes a retry from the budget that all nodes share.
func (j *job) reserveRetry(ctx context.Context) bool {
	if !j.Budgets.Get(j.r.Service.Name).AllowRetry(ctx) {
		return false
	}
	j.retryReserved.Store(int64(j.Budgets.Now()))
	return true
}

// retryStillReserved reports whether the next attempt may be sent now. A retry that has waited for an
// endpoint is reserved again: it would count in a later window.
func (j *job) retryStillReserved(ctx context.Context) bool {
	reserved := time.Duration(j.retryReserved.Swap(0))
	if reserved == 0 || j.Budgets.Now()-reserved <= retry.SendTime {
		return true
	}
	metrics.Count("retry_reserved_again")
	return j.Budgets.Get(j.r.Service.Name).AllowRetry(ctx)
}

// exhausted ends a request that cannot be sent again. It delivers errorAnswer, the error answer of
// an endpoint, if there is one, and the refusal otherwise.
func (j *job) exhausted(ctx context.Context, errorAnswer *answer, refusal *crocusreel.Refusal) Result {
	if errorAnswer != nil {
		return j.deliver(ctx, errorAnswer)
	}
	if ctx.Err() != nil {
		return j.end(j.contextRefusal(ctx), j.result.Detail)
	}
	return j.end(j.accurate(refusal), j.result.Detail)
}

// accurate returns the refusal, or one of unknown outcome in its place if it says that the request has
// not run although an endpoint may have executed it before. It returns nil for nil.
func (j *job) accurate(refusal *crocusreel.Refusal) *crocusreel.Refusal {
	if refusal != nil && j.ran && refusal.Outcome == crocusreel.OutcomeNotRun {
		return lostRefusal("%s", refusal.Message)
	}
	return refusal
}

func (j *job) failureRefusal(got attemptResult) *crocusreel.Refusal {
	if got.notRun {
		return crocusreel.Refuse(crocusreel.ReasonEndpointRefused, crocusreel.OutcomeNotRun, lostRetryAfter, "%s", got.cause)
	}
	return lostRefusal("%s", got.cause)
}

// sendOnce sends the request to one endpoint and buffers its answer.
func (j *job) sendOnce(ctx context.Context, p *fleet.Placement, runs int) attemptResult {
	watch := j.watchHang(ctx, p, runs+1, j.attemptTimeout())
	watch.arm()
	resp, err := j.send(watch.ctx, p, nil, nil)
	got := j.receive(resp, err, watch)
	watch.disarm()
	if got.answer == nil {
		watch.end()
	}
	if got.answer == nil && !got.notRun && watch.hung() {
		return watch.result()
	}
	return got
}

// receive returns the result of an attempt whose request was sent, or the error in sending it.
func (j *job) receive(resp *h1.Response, err error, watch *hangWatch) attemptResult {
	if err != nil {
		return sendErrorResult(err)
	}
	if got, refused := j.refusedResult(resp); refused {
		return got
	}
	return j.readAnswer(watch.ctx, watch.p, resp, watch.end)
}

// readAnswer reads the body of an answer, up to maxBufferedAnswerBytes.
func (j *job) readAnswer(ctx context.Context, p *fleet.Placement, resp *h1.Response, cancel func()) attemptResult {
	release := func() {
		resp.Close()
		cancel()
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswerBytes))
	got := attemptResult{health: fleet.Good}
	got.answer = &answer{resp: resp, placement: p, body: body, hasMore: len(body) == maxBufferedAnswerBytes, closeExchange: release}
	if err != nil || !got.answer.hasMore && !j.endConfirmed(ctx, got.answer) {
		release()
		return attemptResult{health: fleet.Failed, cause: causeTruncated}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		got.health = fleet.Failed
		got.cause = causeFailed
	}
	if !got.answer.hasMore {
		resp.Finish()
	}
	return got
}

// endConfirmed reports whether an answer that has been read to its end is whole. The end of the
// connections of an endpoint that dies looks like the end of an answer without a length.
func (j *job) endConfirmed(ctx context.Context, a *answer) bool {
	return a.resp.Framed() || !j.endpointGone(ctx, a.placement)
}

// attemptTimeShare is the share of the remaining time after which an endpoint that has not answered is
// suspected to hang. Without it, one that hangs would use up all of the remaining time.
const attemptTimeShare = 0.45

// attemptTimeout returns the time after which an endpoint that has not answered is suspected to hang.
func (j *job) attemptTimeout() time.Duration {
	return time.Duration(attemptTimeShare * float64(time.Until(j.r.Deadline)))
}

func sendErrorResult(err error) attemptResult {
	var failed *h1.Error
	if errors.As(err, &failed) && !failed.Sent {
		return attemptResult{notRun: true, health: fleet.Unreachable, cause: causeUnreachable}
	}
	if errors.Is(err, h1.ErrUnidentified) {
		return attemptResult{health: fleet.Neutral, cause: causeUnidentified}
	}
	if errors.Is(err, fleet.ErrRestarted) {
		return attemptResult{health: fleet.Neutral, cause: causeLost}
	}
	if errors.Is(err, context.Canceled) {
		return attemptResult{health: fleet.Neutral, cause: "caller_gone"}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return attemptResult{health: fleet.Silent, cause: "endpoint_silent"}
	}
	return attemptResult{health: fleet.Failed, cause: causeLost}
}

// refusedResult consumes an answer by which the endpoint states that it did not execute the
// request. It returns false for any other answer.
func (j *job) refusedResult(resp *h1.Response) (attemptResult, bool) {
	reply := j.Protocol.Reply(resp.StatusCode, resp.Header)
	if !reply.NotRun {
		return attemptResult{}, false
	}
	j.lastRun.status, j.lastRun.answerTo = resp.StatusCode, reply.AnswerTo
	resp.Discard()
	if reply.Misdirected {
		return attemptResult{notRun: true, health: fleet.Unreachable, cause: "endpoint_replaced"}, true
	}
	return attemptResult{notRun: true, health: fleet.Busy, cause: "endpoint_busy"}, true
}

// deliver sends the answer to the caller.
func (j *job) deliver(ctx context.Context, a *answer) Result {
	defer a.closeExchange()
	j.result.Status = a.resp.StatusCode
	j.result.FirstEvent = time.Since(j.r.Received)
	j.r.Tracked.Enter(drain.Answering)
	header := j.Protocol.AnswerHeader(a.resp.Header)
	if !a.hasMore {
		header.Del("Content-Length")
		header.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	if err := j.sink.Begin(a.resp.StatusCode, header); err != nil {
		return j.end(nil, "caller gone")
	}
	var source io.Reader = bytes.NewReader(a.body)
	if a.hasMore {
		source = io.MultiReader(source, a.resp.Body)
	}
	_, err := io.Copy(sinkWriter{j.sink}, source)
	if err == nil && a.hasMore && !j.endConfirmed(ctx, a) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		result := j.end(nil, "answer interrupted: "+err.Error())
		result.Broken = true
		return result
	}
	return j.result
}

// sinkWriter adapts a Sink to io.Writer.
type sinkWriter struct{ Sink }

// Write implements io.Writer.
func (w sinkWriter) Write(p []byte) (int, error) {
	if err := w.Sink.Write(p); err != nil {
		return 0, err
	}
	return len(p), nil
}
