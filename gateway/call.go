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
const aliveTimeout = 300 * time.Millisecond

// call is one call to a plain service that the gateway is handling.
type call struct {
	g *Gateway
	caller.ServiceCall
	snap  *snapshot
	route *config.RouteSpec
	track *tracker
	// contentHash identifies the content of the call, regardless of its idempotency key.
	content  uint64
	claim    *ledger.Claim
	claimed  chan struct{}
	excluded []string
}

// callResult is the result of a call. refusal is nil if there is a reply; retryable is set if
// another attempt is allowed.
type callResult struct {
	reply   endpoint.Reply
	refusal *crocusreel.Refusal
	again   bool
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
	content := fingerprint(sc.Workspace.Name, sc.Method+" "+sc.Path+"?"+sc.Query, string(sc.Body))
	if refusal := g.strikes.refuse(content, snap.config.Limits.Strikes); refusal != nil {
		return endpoint.Reply{}, refusal
	}
	track := g.records.start(api.Record{RequestID: sc.RequestID, Workspace: sc.Workspace.Name, Kind: "call", Path: sc.Path})
	c := &call{g: g, ServiceCall: sc, snap: snap, route: route, track: track, content: content, claimed: make(chan struct{})}
	ctx, cancel := g.untilEnd(ctx)
	defer cancel()
	res := c.runGuarded(ctx)
	track.end(res.refusal)
	return res.reply, res.refusal
}

func (c *call) runGuarded(ctx context.Context) callResult {
	if !c.NonIdempotent {
		return c.run(ctx)
	}
	res, left := outlive(ctx, c.g, c.claimed, func() callResult { return c.run(ctx) })
	if left {
		return callResult{refusal: contextRefusal(ctx, crocusreel.OutcomeUnknown)}
	}
	return res
}

func (c *call) run(ctx context.Context) callResult {
	limits := c.snap.config.Limits
	c.g.budgets.Get(c.Workspace.Name, limits.RetryRatio).RecordAttempt()
	var tries outcomes
	for attempt := 1; ; attempt++ {
		res := c.attempt(ctx, attempt)
		if res.refusal == nil {
			return res
		}
		res.refusal = tries.add(res.refusal)
		if !res.again || attempt >= limits.Attempts {
			res.refusal = c.g.endClaim(ctx, c.claim, res.refusal)
			return res
		}
		if refusal := c.g.strikes.refuse(c.content, limits.Strikes); refusal != nil {
			res.refusal = c.g.endClaim(ctx, c.claim, tries.add(refusal))
			return res
		}
		metrics.Retried(res.refusal.Reason)
		c.track.step("retry", "", res.refusal.Error())
	}
}

// attempt makes one attempt at the call, which may be hedged to a second endpoint if it is late.
// Attempts after the first are charged to the retry budgets.
func (c *call) attempt(ctx context.Context, number int) callResult {
	spec, wait := c.choose()
	if spec == nil && wait > 0 {
		return callResult{refusal: crocusreel.Refuse(crocusreel.ReasonEndpointLimit, crocusreel.OutcomeNotRun, wait,
			"no endpoint of %q takes a call of this gateway for %v", c.route.Prefix, wait.Round(time.Millisecond))}
	}
	if spec == nil {
		return callResult{refusal: crocusreel.Refuse(crocusreel.ReasonNoEndpoint, crocusreel.OutcomeNotRun, lostRetryAfter, "no endpoint serves %q", c.route.Prefix)}
	}
	if number == 1 {
		c.g.endpointBudgets.Get(spec.Name, c.snap.config.Limits.RetryRatio).RecordAttempt()
	} else if !c.g.payRetry(c.Workspace.Name, spec.Name, c.snap.config.Limits.RetryRatio) {
		return callResult{refusal: crocusreel.Refuse(crocusreel.ReasonRateLimit, crocusreel.OutcomeNotRun, lostRetryAfter, "no retry is left in the budget")}
	}
	if c.NonIdempotent && c.claim == nil {
		claim, kept, refusal := c.g.claim(ctx, c.Attempt)
		if refusal != nil {
			return callResult{refusal: refusal}
		}
		if kept != nil {
			c.track.step("replay", "", "")
			return callResult{reply: endpoint.Reply{Status: kept.Status, ContentType: kept.ContentType, Body: kept.Body}}
		}
		c.claim = claim
		close(c.claimed)
	}
	if c.claim != nil {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.route.TimeoutMS)*time.Millisecond)
	defer cancel()
	reply, spec, err := c.send(ctx, spec)
	if err != nil {
		return c.failed(spec.Name, err)
	}
	c.track.step("replied", spec.Name, http.StatusText(reply.Status))
	c.keep(reply)
	return callResult{reply: reply}
}

// storeReply stores the reply of claimed work in the ledger before the caller receives it.
func (c *call) keep(reply endpoint.Reply) {
	if c.claim == nil {
		return
	}
	c.g.keepResult(c.claim, ledger.Result{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body})
	c.claim = nil
}

// sendTo sends the call to one endpoint and records the result in the balancer and the strikes.
func (c *call) exchange(ctx context.Context, spec *config.EndpointSpec) (endpoint.Reply, error) {
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
		c.g.strikes.clear(c.content)
	case errors.Is(context.Cause(ctx), errOvertaken), errors.Is(ctx.Err(), context.Canceled):
		done(callCancelled, 0)
	default:
		done(callFailed, 0)
		if isLost(err) && !c.alive(ctx, spec) {
			c.struck(spec, started)
		}
	}
	return reply, err
}

// recordStrike counts the death of a service against the call at all gateways.
func (c *call) struck(spec *config.EndpointSpec, began time.Time) {
	n, counted := c.g.strikes.add(spec.Name, c.content, began)
	if !counted {
		return
	}
	strike := &peerv1.ServiceStrike{
		Service: spec.Name, Content: c.content, BeganMs: uint32(time.Since(began).Milliseconds()),
	}
	c.g.logStruck(strike, n, c.g.settings.vm.ID)
	c.g.tellStruck(strike)
}

// isAlive reports whether a service that lost an answer is still ready. If it is, the connection or
// the answer was lost and the call is not to blame. Otherwise, calls would be refused long after
// the end of an outage that merely loses answers.
func (c *call) alive(ctx context.Context, spec *config.EndpointSpec) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), aliveTimeout)
	defer cancel()
	return c.g.endpoints.serviceAt(spec.Address).Ready(ctx) == nil
}

func (c *call) failed(name string, err error) callResult {
	c.track.step("failed", name, err.Error())
	if outcomeOf(err) == crocusreel.OutcomeNotRun {
		return callResult{again: true, refusal: crocusreel.Refuse(crocusreel.ReasonEndpointRefused, crocusreel.OutcomeNotRun, lostRetryAfter, "%v", err)}
	}
	return callResult{
		again:   !c.NonIdempotent,
		refusal: crocusreel.Refuse(crocusreel.ReasonEndpointLost, crocusreel.OutcomeUnknown, lostRetryAfter, "%v", err),
	}
}

// candidates returns the route's endpoints that accept new work and have not been tried yet.
func (c *call) candidates() []*config.EndpointSpec {
	snap := c.g.state.Load()
	var specs []*config.EndpointSpec
	for _, name := range c.route.Endpoints {
		spec, ok := snap.endpoints[name]
		if ok && !spec.Leaving && !slices.Contains(c.excluded, name) && !c.leaves(spec) {
			specs = append(specs, spec)
		}
	}
	return specs
}

// isLeaving reports whether the endpoint has announced in an answer that it is about to stop.
func (c *call) leaves(spec *config.EndpointSpec) bool {
	leaves, recheck := c.g.endpoints.notices.leaving(spec)
	if recheck {
		c.g.background(func() { c.alive(context.Background(), spec) })
	}
	return leaves
}

// chooseEndpoint returns the endpoint to send the call to next. If no endpoint accepts a call now,
// it returns nil and the time until one does, which is 0 if there are no candidates.
func (c *call) choose() (spec *config.EndpointSpec, wait time.Duration) {
	candidates := c.candidates()
	for {
		open, wait := c.open(candidates)
		spec, ok := c.g.balancer.pick(open)
		if !ok {
			return nil, wait
		}
		if c.g.endpoints.notices.takeTurn(spec, c.g.state.Load().gateways()) {
			return spec, 0
		}
	}
}

// available returns the candidates that accept a call from this gateway now, and the time until the
// next of the others does.
func (c *call) open(candidates []*config.EndpointSpec) (open []*config.EndpointSpec, wait time.Duration) {
	gateways := c.g.state.Load().gateways()
	for _, spec := range candidates {
		until := c.g.endpoints.notices.untilTurn(spec, gateways)
		if until == 0 {
			open = append(open, spec)
		} else if wait == 0 || until < wait {
			wait = until
		}
	}
	return open, wait
}
