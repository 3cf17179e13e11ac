package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/api"
	"github.com/crocusreel/crocusreel/caller"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/ledger"
	"github.com/crocusreel/crocusreel/retry"
	"github.com/crocusreel/crocusreel/scheduler"
)

const (
	// defaultRetryAfter is the retry delay in refusals for which no better estimate exists, such as
	// those of work that was lost or found no endpoint.
	defaultRetryAfter = time.Second
	// maxPrefixes bounds the number of prefix hashes sent to the scheduler with one request.
	maxPrefixes = 32
)

// generation is one caller's generation that the gateway is handling.
type generation struct {
	g *Gateway
	caller.Generation
	snap  *snapshot
	sink  *guardedSink
	track *tracker
	claim *ledger.Claim
	// claimed is closed once the claim is held: from then on the work may have run.
	claimed  chan struct{}
	excluded []string
}

// attemptResult is the result of one attempt at an endpoint.
type attemptResult struct {
	// refusal is nil if the answer is complete.
	refusal *crocusreel.Refusal
	// retryable is set if another attempt is allowed.
	retryable bool
}

// Generate implements caller.Core.
func (g *Gateway) Generate(ctx context.Context, gen caller.Generation, sink caller.Sink) *crocusreel.Refusal {
	snap := g.state.Load()
	if !snap.mayUse(gen.Workspace, gen.Model) {
		return crocusreel.Refuse(crocusreel.ReasonUnknownModel, crocusreel.OutcomeNotRun, 0, "model %q is not offered to this workspace", gen.Model)
	}
	track := g.records.start(api.Record{RequestID: gen.RequestID, Workspace: gen.Workspace.Name, Kind: "generation", Model: gen.Model})
	r := &generation{
		g: g, Generation: gen, snap: snap, track: track,
		sink:    &guardedSink{sink: sink, optional: gen.NonIdempotent},
		claimed: make(chan struct{}),
	}
	if limit := snap.models[gen.Model].MaxTokens; r.MaxTokens == 0 || r.MaxTokens > limit {
		r.MaxTokens = limit
	}
	ctx, cancel := g.withShutdown(ctx)
	defer cancel()
	refusal := r.runDetachable(ctx)
	track.end(refusal)
	return refusal
}

// runDetachable runs the generation. Claimed work continues when its caller disconnects or its
// deadline passes, so that the result is stored for the caller's next attempt with the same key;
// the caller itself is answered at once.
func (r *generation) runDetachable(ctx context.Context) *crocusreel.Refusal {
	if !r.NonIdempotent {
		return r.run(ctx)
	}
	refusal, detached := runUntilDetached(ctx, r.g, r.claimed, func() *crocusreel.Refusal { return r.run(ctx) })
	if detached {
		r.sink.detach()
		return contextRefusal(ctx, crocusreel.OutcomeUnknown)
	}
	return refusal
}

func (r *generation) run(ctx context.Context) *crocusreel.Refusal {
	limits := r.snap.config.Limits
	budget := r.g.workspaceRetryBudgets.Get(r.Workspace.Name, limits.RetryRatio)
	budget.RecordAttempt()
	var tries outcomes
	for attempt := 1; ; attempt++ {
		v := r.attempt(ctx)
		if v.refusal == nil {
			return nil
		}
		v.refusal = tries.add(v.refusal)
		if !v.retryable || attempt >= limits.Attempts {
			return r.g.endClaim(ctx, r.claim, v.refusal)
		}
		// Engines need no retry budget of their own: the permits of their scheduler bound the
		// retries that reach them.
		if !budget.AllowRetry() {
			metrics.Count("retry_denied")
			return r.g.endClaim(ctx, r.claim, v.refusal)
		}
		metrics.CountRetry(v.refusal.Reason)
		r.track.step("retry", "", v.refusal.Error())
	}
}

// attempt gets a permit, claims the run if the work is non-idempotent, and runs it once.
func (r *generation) attempt(ctx context.Context) attemptResult {
	permit, refusal := r.acquire(ctx)
	if refusal != nil {
		return attemptResult{refusal: refusal}
	}
	if r.NonIdempotent && r.claim == nil {
		// The claim is made after the permit was granted, so that it is not held while the request
		// is queued.
		if done, refusal := r.takeClaim(ctx); done || refusal != nil {
			r.g.permits.Release(scheduler.Release{Permit: permit, End: scheduler.EndNotStarted})
			return attemptResult{refusal: refusal}
		}
	}
	if r.claim != nil {
		ctx = context.WithoutCancel(ctx)
	}
	run := newEngineRun(r, permit)
	v, end := run.execute(ctx)
	permit.Produced = run.next
	if end != releasedLater {
		r.g.permits.Release(scheduler.Release{Permit: permit, End: end})
	}
	r.excluded = append(r.excluded, permit.Endpoint)
	return v
}

func (r *generation) acquire(ctx context.Context) (scheduler.Permit, *crocusreel.Refusal) {
	started := time.Now()
	permit, err := r.g.permits.Acquire(ctx, scheduler.Request{
		RequestID:    r.RequestID,
		Gateway:      r.g.settings.vm.ID,
		Model:        r.Model,
		Adapter:      r.Adapter,
		Workspace:    r.Workspace.Name,
		Class:        r.Class,
		Priority:     r.Priority + crocusreel.Priority(r.Workspace.Priority),
		PromptTokens: endpoint.PromptTokens(r.Prompt),
		MaxTokens:    r.MaxTokens,
		Prefixes:     prefixes(r.Model, r.Prompt),
		Excluded:     append(r.g.endpoints.paused(r.snap), r.excluded...),
		LengthHint:   r.LengthHint,
		Fingerprint:  fingerprint(r.Workspace.Name, r.Model, r.Prompt),
	})
	if err == nil {
		r.track.step("permit", permit.Endpoint, time.Since(started).String())
		return permit, nil
	}
	var refusal *crocusreel.Refusal
	switch {
	case ctx.Err() != nil:
		return permit, contextRefusal(ctx, crocusreel.OutcomeNotRun)
	case errors.As(err, &refusal):
		return permit, refusal
	default:
		return permit, crocusreel.Refuse(crocusreel.ReasonSchedulerUnreachable, crocusreel.OutcomeNotRun, defaultRetryAfter, "%v", err)
	}
}

// takeClaim claims the run. done is set if the result of an earlier attempt was replayed.
func (r *generation) takeClaim(ctx context.Context) (done bool, refusal *crocusreel.Refusal) {
	claim, stored, refusal := r.g.claim(ctx, r.Attempt)
	if refusal != nil {
		return false, refusal
	}
	if stored != nil {
		r.track.step("replay", "", "")
		return true, replay(*stored, r.sink)
	}
	r.claim = claim
	close(r.claimed)
	return false, nil
}

// fingerprint returns a hash of the content of a request, which does not depend on its idempotency
// key.
func fingerprint(workspace, model, prompt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(workspace + "\x00" + model + "\x00" + prompt))
	return h.Sum64()
}

// prefixes returns the hashes of the prompt's leading blocks. If there are more than maxPrefixes,
// it returns an evenly spaced selection that includes the longest prefix.
func prefixes(model, prompt string) []uint64 {
	all := endpoint.PrefixHashes(model, prompt)
	if len(all) <= maxPrefixes {
		return all
	}
	selected := make([]uint64, maxPrefixes)
	for i := range selected {
		selected[i] = all[(i+1)*len(all)/maxPrefixes-1]
	}
	return selected
}

// backoff waits before the next attempt to resume at the same endpoint.
func backoff(ctx context.Context, attempt int) {
	retry.Sleep(ctx, retry.Backoff(attempt, resumeBackoff, resumeBackoffLimit))
}
