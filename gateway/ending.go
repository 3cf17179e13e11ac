package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/retry"
)

// errShuttingDown is the cause of contexts that end with the process.
var errShuttingDown = errors.New("the gateway is shutting down")

// endingWait is how long requests that are ended have for their last words.
const endingWait = 500 * time.Millisecond

// untilEnd returns a context that also ends when running requests must end.
func (g *Gateway) untilEnd(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.ending, func() { cancel(errShuttingDown) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// endRequests ends what still runs after a drain that was cut short. Each caller
// gets a typed error and may resume its stream through another gateway.
func (g *Gateway) endRequests() {
	if g.running.total() == 0 {
		return
	}
	g.end()
	ctx, cancel := context.WithTimeout(context.Background(), endingWait)
	defer cancel()
	for ctx.Err() == nil && g.running.total() > 0 {
		retry.Sleep(ctx, drainPoll)
	}
}

// contextRefusal tells why a context ended: the gateway's end, the caller's
// deadline or the caller's leaving.
func contextRefusal(ctx context.Context, outcome crocusreel.Outcome) *crocusreel.Refusal {
	if errors.Is(context.Cause(ctx), errShuttingDown) {
		return crocusreel.Refuse(crocusreel.ReasonShuttingDown, outcome, leavingRetry, "the gateway is shutting down")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return crocusreel.Refuse(crocusreel.ReasonDeadlineUnreachable, outcome, lostRetryAfter, "the caller's deadline has passed")
	}
	return crocusreel.Refuse(crocusreel.ReasonCallerGone, outcome, lostRetryAfter, "the caller closed its connection")
}
