package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/retry"
)

// retryDecision is the decision whether and how to retry a failed attempt.
type retryDecision struct {
	retry bool
	// wait is the minimum delay before the next attempt.
	wait time.Duration
	// otherGateway requires another gateway for the next attempt, if there is one.
	otherGateway bool
}

var noRetry = retryDecision{}

// decideRetry decides whether a failed attempt may be retried under the same idempotency key.
//
// Idempotent work may be retried whatever its outcome, as long as no token of the answer has been
// returned to the caller. After a refusal, non-idempotent work is retried only if it did not run,
// or if the gateways may hold its result. The gateways refuse to run a key twice, so a retry with
// the same key returns the stored result. For the same reason, any work is retried after a
// *GatewayLostError.
func decideRetry(err error, nonIdempotent bool) retryDecision {
	var lost *GatewayLostError
	if errors.As(err, &lost) {
		return retryDecision{retry: true, otherGateway: true}
	}
	var refusal *crocusreel.Refusal
	if !errors.As(err, &refusal) {
		return noRetry
	}
	switch refusal.Reason {
	case crocusreel.ReasonShuttingDown, crocusreel.ReasonNotReady:
		return retryDecision{retry: refusal.Outcome == crocusreel.OutcomeNotRun || !nonIdempotent, otherGateway: true}
	case crocusreel.ReasonGenerationLost, crocusreel.ReasonEndpointLost:
		return retryDecision{retry: !nonIdempotent, wait: refusal.RetryAfter}
	}
	if refusal.RetryAfter <= 0 {
		return noRetry
	}
	if nonIdempotent && refusal.Outcome != crocusreel.OutcomeNotRun && !mayHoldResult(refusal.Reason) {
		return noRetry
	}
	return retryDecision{retry: true, wait: refusal.RetryAfter}
}

// mayHoldResult reports whether a later attempt with the same key may return the result of a run
// whose outcome is not known yet.
func mayHoldResult(reason crocusreel.Reason) bool {
	return reason == crocusreel.ReasonRunInProgress || reason == crocusreel.ReasonLedgerUnavailable
}

// attempts tracks the attempts of one request and the gateways that failed during them.
type attempts struct {
	client  *Client
	options RequestOptions
	// number is the number of the current attempt, counted from 1.
	number         int
	failedGateways map[string]bool
	// uncertain is set once any attempt may have run.
	uncertain bool
}

func (c *Client) newAttempts(options RequestOptions) *attempts {
	c.budget.RecordAttempt()
	return &attempts{client: c, options: options, number: 1, failedGateways: map[string]bool{}, uncertain: options.Resent}
}

// correctOutcome changes the outcome of err from not_run to unknown if an earlier attempt may have
// run, because the not_run then holds for the last attempt only. A caller that gets not_run may
// repeat the work, such as a booking, under a new key. A not_run in a gateway's refusal of
// non-idempotent work is kept: it holds for the key, since the gateway has checked the record of
// the key.
func (a *attempts) correctOutcome(err error) error {
	var lost *GatewayLostError
	if errors.As(err, &lost) && lost.Outcome == crocusreel.OutcomeNotRun && a.uncertain {
		return &GatewayLostError{Outcome: crocusreel.OutcomeUnknown, Gateway: lost.Gateway, Cause: lost.Cause}
	}
	var refusal *crocusreel.Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != crocusreel.OutcomeNotRun {
		return err
	}
	if !a.uncertain || a.options.NonIdempotent {
		return err
	}
	corrected := *refusal
	corrected.Outcome = crocusreel.OutcomeUnknown
	return &corrected
}

// mayHaveRun reports whether the attempt that failed with err may have run.
func mayHaveRun(err error) bool {
	var lost *GatewayLostError
	if errors.As(err, &lost) {
		return lost.Outcome != crocusreel.OutcomeNotRun
	}
	var refusal *crocusreel.Refusal
	return !errors.As(err, &refusal) || refusal.Outcome != crocusreel.OutcomeNotRun
}

// waitForNext waits until the next attempt and counts it. It returns false if there must be none:
// err does not permit a retry, the attempts or the retry budget are used up, or ctx ends before the
// attempt would start. If err requires another gateway, it excludes the given one from later
// attempts.
func (a *attempts) waitForNext(ctx context.Context, gateway string, err error) bool {
	if mayHaveRun(err) {
		a.uncertain = true
	}
	decision := decideRetry(err, a.options.NonIdempotent)
	if !decision.retry || a.number >= a.client.opts.MaxAttempts || ctx.Err() != nil {
		return false
	}
	if decision.otherGateway && gateway != "" {
		a.failedGateways[gateway] = true
		a.client.addresses.markFailed(gateway)
	}
	wait := decision.wait + a.jitter()
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
		return false
	}
	if !a.client.budget.AllowRetry() {
		return false
	}
	if !retry.Sleep(ctx, wait) {
		return false
	}
	a.number++
	a.client.counters.retries.Add(1)
	return true
}

// jitter returns a random delay, uniform between 0 and an exponentially growing bound, so that
// clients that were refused at the same time do not retry at the same time.
func (a *attempts) jitter() time.Duration {
	bound := a.client.opts.BaseBackoff << min(a.number-1, 16)
	bound = min(bound, a.client.opts.MaxBackoff)
	return rand.N(bound + 1)
}
