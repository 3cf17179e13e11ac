package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/retry"
)

// errShuttingDown is the cancellation cause of requests that are aborted because the process ends.
var errShuttingDown = errors.New("the gateway is shutting down")

// abortWait is how long aborted requests have to send their final answer.
const abortWait = 500 * time.Millisecond

// withShutdown returns a context that also ends when running requests are aborted.
func (g *Gateway) withShutdown(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.shutdown, func() { cancel(errShuttingDown) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// abortRequests aborts the requests that are still running after a drain that was cut short. Each
// caller gets a typed error and may resume its stream through another gateway.
func (g *Gateway) abortRequests() {
	g.running.close()
	if g.running.total() == 0 {
		return
	}
	g.abortAll()
	ctx, cancel := context.WithTimeout(context.Background(), abortWait)
	defer cancel()
	for ctx.Err() == nil && g.running.total() > 0 {
		retry.Sleep(ctx, drainPollInterval)
	}
}

// contextRefusal returns the refusal for a context that ended: because the gateway is shutting
// down, the caller's deadline has passed, or the caller closed its connection.
func contextRefusal(ctx context.Context, outcome crocusreel.Outcome) *crocusreel.Refusal {
	if errors.Is(context.Cause(ctx), errShuttingDown) {
		return crocusreel.Refuse(crocusreel.ReasonShuttingDown, outcome, leavingRetryAfter, "the gateway is shutting down")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return crocusreel.Refuse(crocusreel.ReasonDeadlineUnreachable, outcome, defaultRetryAfter, "the caller's deadline has passed")
	}
	return crocusreel.Refuse(crocusreel.ReasonCallerGone, outcome, defaultRetryAfter, "the caller closed its connection")
}
