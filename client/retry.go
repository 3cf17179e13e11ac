package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/retry"
)

// verdict tells what to do after a failed attempt.
type verdict struct {
	retry bool
	// wait is the least time before the next attempt.
	wait time.Duration
	// elsewhere asks for another gateway.
	elsewhere bool
}

var giveUp = verdict{}

// judge decides whether a failed attempt may be repeated under the same key.
//
// Idempotent work may be repeated whatever its outcome, as long as no token of the
// answer has gone to the caller. Non-idempotent work is sent again, always with the
// same key, only if it did not run, or if the gateway may hold its result: the
// gateways refuse to run a key twice, so that such an attempt fetches the kept
// result.
func judge(err error, nonIdempotent bool) verdict {
	var lost *LostError
	if errors.As(err, &lost) {
		return verdict{retry: true, elsewhere: true}
	}
	var refusal *crocusreel.Refusal
	if !errors.As(err, &refusal) {
		return giveUp
	}
	switch refusal.Reason {
	case crocusreel.ReasonShuttingDown, crocusreel.ReasonNotReady:
		return verdict{retry: refusal.Outcome == crocusreel.OutcomeNotRun || !nonIdempotent, elsewhere: true}
	case crocusreel.ReasonGenerationLost, crocusreel.ReasonEndpointLost:
		return verdict{retry: !nonIdempotent, wait: refusal.RetryAfter}
	}
	if refusal.RetryAfter <= 0 {
		return giveUp
	}
	if nonIdempotent && refusal.Outcome != crocusreel.OutcomeNotRun && !mayHoldResult(refusal.Reason) {
		return giveUp
	}
	return verdict{retry: true, wait: refusal.RetryAfter}
}

// mayHoldResult tells whether an attempt with the same key may later get the
// result of a run whose outcome is not known yet.
func mayHoldResult(reason crocusreel.Reason) bool {
	return reason == crocusreel.ReasonRunInProgress || reason == crocusreel.ReasonLedgerUnavailable
}

// attempts counts the attempts at one request and the gateways that failed it.
type attempts struct {
	client *Client
	meta   Meta
	number int
	failed map[string]bool
	// uncertain is set once an attempt may have run.
	uncertain bool
}

func (c *Client) newAttempts(meta Meta) *attempts {
	c.budget.RecordAttempt()
	return &attempts{client: c, meta: meta, number: 1, failed: map[string]bool{}, uncertain: meta.Resent}
}

// truthful corrects an outcome of not_run that holds for the last attempt only: an
// earlier one may have run. A caller that was told not_run would book again under a
// new key. A gateway's own not_run for
// non-idempotent work holds for the key, since it has looked at the key's record.
func (a *attempts) truthful(err error) error {
	var lost *LostError
	if errors.As(err, &lost) && lost.Outcome == crocusreel.OutcomeNotRun && a.uncertain {
		return &LostError{Outcome: crocusreel.OutcomeUnknown, Gateway: lost.Gateway, Cause: lost.Cause}
	}
	var refusal *crocusreel.Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != crocusreel.OutcomeNotRun {
		return err
	}
	if !a.uncertain || a.meta.NonIdempotent {
		return err
	}
	corrected := *refusal
	corrected.Outcome = crocusreel.OutcomeUnknown
	return &corrected
}

// mayHaveRun tells whether the attempt that failed with err may have run.
func mayHaveRun(err error) bool {
	var lost *LostError
	if errors.As(err, &lost) {
		return lost.Outcome != crocusreel.OutcomeNotRun
	}
	var refusal *crocusreel.Refusal
	return !errors.As(err, &refusal) || refusal.Outcome != crocusreel.OutcomeNotRun
}

// next waits before another attempt. It returns false if err is final.
func (a *attempts) next(ctx context.Context, gateway string, err error) bool {
	if mayHaveRun(err) {
		a.uncertain = true
	}
	v := judge(err, a.meta.NonIdempotent)
	if !v.retry || a.number >= a.client.opts.Attempts || ctx.Err() != nil {
		return false
	}
	if v.elsewhere && gateway != "" {
		a.failed[gateway] = true
		a.client.addresses.failed(gateway)
	}
	wait := v.wait + a.jitter()
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

// jitter is uniform between zero and an exponentially growing bound, so that
// clients refused together do not come back together.
func (a *attempts) jitter() time.Duration {
	bound := a.client.opts.BaseBackoff << min(a.number-1, 16)
	bound = min(bound, a.client.opts.MaxBackoff)
	return rand.N(bound + 1)
}
