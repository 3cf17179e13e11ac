package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/api"
	"github.com/crocusreel/crocusreel/caller"
	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/ledger"
	"github.com/crocusreel/crocusreel/peer/peerv1"
)

// livenessTimeout bounds the readiness check of a service that lost an answer.
const livenessTimeout = 300 * time.Millisecond

// call is one call to a plain service that the gateway is handling.
type call struct {
	g *Gateway
	caller.ServiceCall
	snap  *snapshot
	route *config.RouteSpec
	track *tracker
	// contentHash identifies the content of the call, regardless of its idempotency key.
	contentHash uint64
	claim       *ledger.Claim
	claimed     chan struct{}
	excluded    []string
}

// callResult is the result of a call. refusal is nil if there is a reply; retryable is set if
// another attempt is allowed.
type callResult struct {
	reply     endpoint.Reply
	refusal   *crocusreel.Refusal
	retryable bool
}

// Call implements caller.Core.
func (g *Gateway) Call(ctx context.Context, sc caller.ServiceCall) (endpoint.Reply, *crocusreel.Refusal) {
	snap := g.state.Load()
	route, ok := snap.route(sc.Path)
	if !ok {
		return endpoint.Reply{}, crocusreel.Refuse(crocusreel.ReasonUnknownRoute, crocusreel.OutcomeNotRun, 0, "no route for %q", sc.Path)
	}
	// The configured list of methods takes precedence over the caller's header. A header can make a
	// call stricter, but a wrong one must not let a booking run twice.
	sc.NonIdempotent = sc.NonIdempotent || slices.Contains(route.NonIdempotentMethods, sc.Method)
	if sc.NonIdempotent && sc.IdempotencyKey == "" {
		return endpoint.Reply{}, crocusreel.Refuse(crocusreel.ReasonKeyRequired, crocusreel.OutcomeNotRun, 0, "calls of this route need an idempotency key")
	}
	contentHash := fingerprint(sc.Workspace.Name, sc.Method+" "+sc.Path+"?"+sc.Query, string(sc.Body))
	if refusal := g.strikes.refuse(contentHash, snap.config.Limits.Strikes); refusal != nil {
		return endpoint.Reply{}, refusal
	}
	track := g.records.start(api.Record{RequestID: sc.RequestID, Workspace: sc.Workspace.Name, Kind: "call", Path: sc.Path})
	c := &call{g: g, ServiceCall: sc, snap: snap, route: route, track: track, contentHash: contentHash, claimed: make(chan struct{})}
	ctx, cancel := g.withShutdown(ctx)
	defer cancel()
	res := c.runDetachable(ctx)
	track.end(res.refusal)
	return res.reply, res.refusal
}

func (c *call) runDetachable(ctx context.Context) callResult {
	if !c.NonIdempotent {
		return c.run(ctx)
	}
	res, detached := runUntilDetached(ctx, c.g, c.claimed, func() callResult { return c.run(ctx) })
	if detached {
		return callResult{refusal: contextRefusal(ctx, crocusreel.OutcomeUnknown)}
	}
	return res
}

func (c *call) run(ctx context.Context) callResult {
	limits := c.snap.config.Limits
	c.g.workspaceRetryBudgets.Get(c.Workspace.Name, limits.RetryRatio).RecordAttempt()
	var tries outcomes
	for attempt := 1; ; attempt++ {
		res := c.attempt(ctx, attempt)
		if res.refusal == nil {
			return res
		}
		res.refusal = tries.add(res.refusal)
		if !res.retryable || attempt >= limits.Attempts {
			res.refusal = c.g.endClaim(ctx, c.claim, res.refusal)
			return res
		}
		if refusal := c.g.strikes.refuse(c.contentHash, limits.Strikes); refusal != nil {
			res.refusal = c.g.endClaim(ctx, c.claim, tries.add(refusal))
			return res
		}
		metrics.CountRetry(res.refusal.Reason)
		c.track.step("retry", "", res.refusal.Error())
	}
}

// attempt makes one attempt at the call, which may be hedged to a second endpoint if it is late.
// Attempts after the first are charged to the retry budgets.
func (c *call) attempt(ctx context.Context, number int) callResult {
	spec, wait := c.chooseEndpoint()
	if spec == nil && wait > 0 {
		return callResult{refusal: crocusreel.Refuse(crocusreel.ReasonEndpointLimit, crocusreel.OutcomeNotRun, wait,
			"no endpoint of %q takes a call of this gateway for %v", c.route.Prefix, wait.Round(time.Millisecond))}
	}
	if spec == nil {
		return callResult{refusal: crocusreel.Refuse(crocusreel.ReasonNoEndpoint, crocusreel.OutcomeNotRun, defaultRetryAfter, "no endpoint serves %q", c.route.Prefix)}
	}
	if number == 1 {
		c.g.endpointRetryBudgets.Get(spec.Name, c.snap.config.Limits.RetryRatio).RecordAttempt()
	} else if !c.g.allowRetry(c.Workspace.Name, spec.Name, c.snap.config.Limits.RetryRatio) {
		return callResult{refusal: crocusreel.Refuse(crocusreel.ReasonRateLimit, crocusreel.OutcomeNotRun, defaultRetryAfter, "no retry is left in the budget")}
	}
	if c.NonIdempotent && c.claim == nil {
		claim, stored, refusal := c.g.claim(ctx, c.Attempt)
		if refusal != nil {
			return callResult{refusal: refusal}
		}
		if stored != nil {
			c.track.step("replay", "", "")
			return callResult{reply: endpoint.Reply{Status: stored.Status, ContentType: stored.ContentType, Body: stored.Body}}
		}
		c.claim = claim
		close(c.claimed)
	}
	if c.claim != nil {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.route.TimeoutMS)*time.Millisecond)
	defer cancel()
	reply, spec, err := c.sendHedged(ctx, spec)
	if err != nil {
		return c.failedResult(spec.Name, err)
	}
	c.track.step("replied", spec.Name, http.StatusText(reply.Status))
	c.storeReply(reply)
	return callResult{reply: reply}
}

// storeReply stores the reply of claimed work in the ledger before the caller receives it.
func (c *call) storeReply(reply endpoint.Reply) {
	if c.claim == nil {
		return
	}
	c.g.storeResult(c.claim, ledger.Result{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body})
	c.claim = nil
}

// sendTo sends the call to one endpoint and records the result in the balancer and the strikes.
func (c *call) sendTo(ctx context.Context, spec *config.EndpointSpec) (endpoint.Reply, error) {
	done := c.g.balancer.begin(spec.Name)
	started := time.Now()
	reply, err := c.g.endpoints.serviceAt(spec.Address).Do(ctx, endpoint.Call{
		RequestID:      c.RequestID,
		Workspace:      c.Workspace.Name,
		Method:         c.Method,
		Path:           c.Path,
		Query:          c.Query,
		ContentType:    c.ContentType,
		Body:           c.Body,
		IdempotencyKey: c.IdempotencyKey,
	})
	switch {
	case err == nil:
		done(callOK, time.Since(started))
		c.g.strikes.clear(c.contentHash)
	case errors.Is(context.Cause(ctx), errHedgeLost), errors.Is(ctx.Err(), context.Canceled):
		done(callCancelled, 0)
	default:
		done(callFailed, 0)
		if isLost(err) && !c.isAlive(ctx, spec) {
			c.recordStrike(spec, started)
		}
	}
	return reply, err
}

// recordStrike counts the death of a service against the call at all gateways.
func (c *call) recordStrike(spec *config.EndpointSpec, began time.Time) {
	n, counted := c.g.strikes.add(spec.Name, c.contentHash, began)
	if !counted {
		return
	}
	strike := &peerv1.ServiceStrike{
		Service: spec.Name, Content: c.contentHash, BeganMs: uint32(time.Since(began).Milliseconds()),
	}
	c.g.logStrike(strike, n, c.g.settings.vm.ID)
	c.g.broadcastStrike(strike)
}

// isAlive reports whether a service that lost an answer is still ready. If it is, the connection or
// the answer was lost and the call is not to blame. Otherwise, calls would be refused long after
// the end of an outage that merely loses answers.
func (c *call) isAlive(ctx context.Context, spec *config.EndpointSpec) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), livenessTimeout)
	defer cancel()
	return c.g.endpoints.serviceAt(spec.Address).Ready(ctx) == nil
}

func (c *call) failedResult(name string, err error) callResult {
	c.track.step("failed", name, err.Error())
	if outcomeOf(err) == crocusreel.OutcomeNotRun {
		return callResult{retryable: true, refusal: crocusreel.Refuse(crocusreel.ReasonEndpointRefused, crocusreel.OutcomeNotRun, defaultRetryAfter, "%v", err)}
	}
	return callResult{
		retryable: !c.NonIdempotent,
		refusal:   crocusreel.Refuse(crocusreel.ReasonEndpointLost, crocusreel.OutcomeUnknown, defaultRetryAfter, "%v", err),
	}
}

// candidates returns the route's endpoints that accept new work and have not been tried yet.
func (c *call) candidates() []*config.EndpointSpec {
	snap := c.g.state.Load()
	var specs []*config.EndpointSpec
	for _, name := range c.route.Endpoints {
		spec, ok := snap.endpoints[name]
		if ok && !spec.Leaving && !slices.Contains(c.excluded, name) && !c.isLeaving(spec) {
			specs = append(specs, spec)
		}
	}
	return specs
}

// isLeaving reports whether the endpoint has announced in an answer that it is about to stop.
func (c *call) isLeaving(spec *config.EndpointSpec) bool {
	leaving, recheck := c.g.endpoints.notices.leaving(spec)
	if recheck {
		c.g.background(func() { c.isAlive(context.Background(), spec) })
	}
	return leaving
}

// chooseEndpoint returns the endpoint to send the call to next. If no endpoint accepts a call now,
// it returns nil and the time until one does, which is 0 if there are no candidates.
func (c *call) chooseEndpoint() (spec *config.EndpointSpec, wait time.Duration) {
	candidates := c.candidates()
	for {
		open, wait := c.available(candidates)
		spec, ok := c.g.balancer.pick(open)
		if !ok {
			return nil, wait
		}
		if c.g.endpoints.notices.useSlot(spec, c.g.state.Load().gateways()) {
			return spec, 0
		}
	}
}

// available returns the candidates that accept a call from this gateway now, and the time until the
// next of the others does.
func (c *call) available(candidates []*config.EndpointSpec) (open []*config.EndpointSpec, wait time.Duration) {
	gateways := c.g.state.Load().gateways()
	for _, spec := range candidates {
		until := c.g.endpoints.notices.timeUntilSlot(spec, gateways)
		if until == 0 {
			open = append(open, spec)
		} else if wait == 0 || until < wait {
			wait = until
		}
	}
	return open, wait
}
