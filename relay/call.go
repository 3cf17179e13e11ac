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
	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

const (
	// maxSends bounds the sendings of one request, refused ones included.
	maxSends = 4
	// maxAnswer is the size of a plain answer in bytes up to which it is held until
	// it is whole. An answer that breaks off can then still be replaced.
	maxAnswer = 256 << 10
)

// answer is an answer of an endpoint that was read to its end, or up to maxAnswer.
type answer struct {
	resp *h1.Response
	body []byte
	// rest tells that the body goes on.
	rest bool
	// release ends the exchange.
	release func()
}

// result is how one sending ended.
type result struct {
	answer *answer
	// notRun tells that the endpoint certainly did not run the request.
	notRun bool
	health fleet.Result
	cause  string
}

// broken tells whether the connection ended before the answer did, as it does when the
// endpoint dies.
func (r result) broken() bool { return r.cause == causeLost || r.cause == causeTruncated }

// call serves a request whose answer is one message.
func (j *job) call(ctx context.Context) Verdict {
	runs := 0
	var held *answer
	for {
		p, refusal := j.place(ctx)
		if refusal != nil {
			return j.exhausted(ctx, held, refusal)
		}
		got := j.sendOnce(ctx, p, runs)
		p.Release(got.health)
		j.tried = append(j.tried, p.Instance().ID)
		if got.answer != nil && !j.worthRepeating(got.answer.resp.StatusCode) {
			j.Strikes.Clear(j.r.Fingerprint)
			return j.deliver(got.answer)
		}
		if got.answer != nil {
			if held != nil {
				held.release()
			}
			held = got.answer
		}
		if !got.notRun {
			runs++
			j.ran = true
		}
		if got.broken() {
			j.strikeIfDead(ctx, p)
		}
		if ctx.Err() != nil || !j.mayRepeat(got, runs) || j.deadly() {
			return j.exhausted(ctx, held, j.failure(got))
		}
		j.verdict.Detail = got.cause
	}
}

// causeLost is a connection that broke before an answer, causeTruncated one that broke
// within it.
const (
	causeLost      = "connection_lost"
	causeTruncated = "answer_truncated"
)

// worthRepeating tells whether another endpoint may do better than this answer.
func (j *job) worthRepeating(status int) bool {
	return j.r.Route.Kind.Repeatable() && status >= http.StatusInternalServerError
}

func (j *job) mayRepeat(got result, runs int) bool {
	if !got.notRun && (!j.r.Route.Kind.Repeatable() || runs >= j.r.Route.MaxAttempts) {
		return false
	}
	if j.verdict.Attempts >= maxSends || j.Fleet.Disabled[fleet.Retries] || !j.Budgets.Get(j.r.Service.Name).Spend() {
		metrics.Count("retry_denied")
		return false
	}
	metrics.Retried(crocusreel.Reason(got.cause))
	return true
}

// exhausted ends a request for which no further sending is possible: with the answer
// of a failing endpoint if there is one, else with the refusal.
func (j *job) exhausted(ctx context.Context, held *answer, refusal *crocusreel.Refusal) Verdict {
	if held != nil {
		return j.deliver(held)
	}
	if ctx.Err() != nil {
		return j.end(j.timedOut(), j.verdict.Detail)
	}
	if j.ran && refusal.Outcome == crocusreel.OutcomeNotRun {
		refusal = lost("%s", refusal.Message)
	}
	return j.end(refusal, j.verdict.Detail)
}

func (j *job) failure(got result) *crocusreel.Refusal {
	if got.notRun {
		return crocusreel.Refuse(crocusreel.ReasonEndpointRefused, crocusreel.OutcomeNotRun, lostRetry, "%s", got.cause)
	}
	return lost("%s", got.cause)
}

// sendOnce sends the request to one endpoint and reads the whole answer.
func (j *job) sendOnce(ctx context.Context, p *fleet.Placement, runs int) result {
	ctx, cancel := context.WithTimeout(ctx, j.attemptTime(runs))
	resp, err := j.send(ctx, p, nil, nil)
	if err != nil {
		cancel()
		return failedSend(err)
	}
	if got, refused := j.refused(resp); refused {
		cancel()
		return got
	}
	return j.read(resp, cancel)
}

// read takes the body of an answer.
func (j *job) read(resp *h1.Response, cancel context.CancelFunc) result {
	release := func() {
		resp.Close()
		cancel()
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		release()
		return result{health: fleet.Failed, cause: causeTruncated}
	}
	got := result{health: fleet.Good}
	got.answer = &answer{resp: resp, body: body, rest: len(body) == maxAnswer, release: release}
	if resp.StatusCode >= http.StatusInternalServerError {
		got.health = fleet.Failed
		got.cause = "endpoint_failed"
	}
	if !got.answer.rest {
		resp.Finish()
	}
	return got
}

// attemptShare is the part of the remaining time after which work that may be
// repeated is given to another endpoint, while that is possible. An endpoint that
// hangs would otherwise use up all of it.
const attemptShare = 0.45

func (j *job) attemptTime(runs int) time.Duration {
	remaining := time.Until(j.r.Deadline)
	if j.r.Route.Kind.Repeatable() && runs+1 < j.r.Route.MaxAttempts {
		return time.Duration(attemptShare * float64(remaining))
	}
	return remaining
}

func failedSend(err error) result {
	var failed *h1.Error
	if errors.As(err, &failed) && !failed.Sent {
		return result{notRun: true, health: fleet.Unreachable, cause: "endpoint_unreachable"}
	}
	if errors.Is(err, fleet.ErrRestarted) {
		return result{health: fleet.Neutral, cause: causeLost}
	}
	if errors.Is(err, context.Canceled) {
		return result{health: fleet.Neutral, cause: "caller_gone"}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return result{health: fleet.Silent, cause: "endpoint_silent"}
	}
	return result{health: fleet.Failed, cause: causeLost}
}

// refused handles an answer by which the endpoint says that it did not run the
// request.
func (j *job) refused(resp *h1.Response) (result, bool) {
	reply := j.Protocol.Reply(resp.StatusCode, resp.Header)
	if !reply.NotRun {
		return result{}, false
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer)); err != nil {
		resp.Close()
	} else {
		resp.Finish()
	}
	if reply.Misdirected {
		return result{notRun: true, health: fleet.Unreachable, cause: "endpoint_replaced"}, true
	}
	return result{notRun: true, health: fleet.Busy, cause: "endpoint_busy"}, true
}

// deliver passes the answer on.
func (j *job) deliver(a *answer) Verdict {
	defer a.release()
	j.verdict.Status = a.resp.StatusCode
	j.verdict.FirstEvent = time.Since(j.r.Received)
	header := j.Protocol.AnswerHeader(a.resp.Header)
	if !a.rest {
		header.Del("Content-Length")
		header.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	if err := j.sink.Begin(a.resp.StatusCode, header); err != nil {
		return j.end(nil, "caller gone")
	}
	var source io.Reader = bytes.NewReader(a.body)
	if a.rest {
		source = io.MultiReader(source, a.resp.Body)
	}
	if _, err := io.Copy(sinkWriter{j.sink}, source); err != nil {
		v := j.end(nil, "answer broken: "+err.Error())
		v.Broken = true
		return v
	}
	return j.verdict
}

// sinkWriter is a Sink as an io.Writer.
type sinkWriter struct{ Sink }

// Write implements io.Writer.
func (w sinkWriter) Write(p []byte) (int, error) {
	if err := w.Sink.Write(p); err != nil {
		return 0, err
	}
	return len(p), nil
}
