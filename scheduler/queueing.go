package scheduler

import (
	"slices"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/policy"
	"github.com/crocusreel/crocusreel/quarantine"
)

const (
	// minRetryAfter and maxRetryAfter bound a retry delay that is derived from a predicted wait.
	// Refusals without a prediction use minRetryAfter.
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
	// engineRetryAfter is the retry delay in a refusal if no engine is live; one may be back after
	// this time.
	engineRetryAfter = 2 * time.Second
	// waitMargin is the factor by which a predicted wait has to exceed the remaining time before
	// the request is refused, since predictions are rough.
	waitMargin = 1.3
)

// enqueue queues or refuses a request.
func (c *core) enqueue(w *queuedRequest, now time.Duration) {
	c.applyRequestHistory(&w.req, now)
	if r := c.admissionRefusal(w, now); r != nil {
		c.refuse(w, r)
		return
	}
	survival := c.estimator.Survival(policy.LengthKey{Workspace: w.req.Workspace, Class: w.req.Class, Model: w.req.Model})
	w.expectedTokens = survival.Mean()
	w.placement = policy.Request{
		Class: w.req.Class, Prompt: w.req.PromptTokens,
		Demand: policy.PredictDemand(survival, w.req.PromptTokens, 0, w.req.MaxTokens),
	}
	if c.isOraclePolicy() && w.req.LengthHint > 0 {
		w.expectedTokens = float64(w.req.LengthHint)
		w.placement.Demand = policy.DemandForLength(w.req.PromptTokens, 0, w.req.LengthHint)
	}
	w.item = &policy.Item[*queuedRequest]{
		Workspace: w.req.Workspace, Priority: w.req.Priority,
		Cost: w.expectedTokens + float64(w.req.PromptTokens), Enqueued: now, Value: w,
	}
	c.queue(w.req.Class).Push(w.item, c.workspaceWeight(w.req.Workspace))
	c.shed(w, now)
}

// applyRequestHistory applies the strikes and losses that the gateway sends with a request. The
// gateway also reports them to the current scheduler, but the report may arrive late or go to
// another scheduler.
func (c *core) applyRequestHistory(r *Request, now time.Duration) {
	c.mergeStrikes(r.Strikes, r.Gateway, now)
	for _, p := range r.Losses {
		c.release(&Release{Permit: p, End: EndEndpointLost}, now)
	}
}

// admissionRefusal returns a refusal if the request must not be queued, nil otherwise.
func (c *core) admissionRefusal(w *queuedRequest, now time.Duration) *crocusreel.Refusal {
	if r := c.suspectRefusal(w, now); r != nil {
		return r
	}
	if r := c.quarantineRefusal(w, now); r != nil {
		return r
	}
	if r := c.noEndpointRefusal(w); r != nil {
		return r
	}
	remaining := c.timeLeft(w, now)
	wait := c.predictedWait(w, c.queue(w.req.Class).Waiting(w.req.Workspace))
	if float64(wait) > waitMargin*float64(remaining) {
		return crocusreel.Refuse(crocusreel.ReasonDeadlineUnreachable, crocusreel.OutcomeNotRun, clampRetryAfter(wait),
			"the wait would be %s, the time left is %s", wait.Round(time.Millisecond), remaining.Round(time.Millisecond))
	}
	return nil
}

func (c *core) suspectRefusal(w *queuedRequest, now time.Duration) *crocusreel.Refusal {
	if c.pc.cfg.Limits.Strikes <= 0 || c.suspects.Count(w.req.Fingerprint, now) < c.pc.cfg.Limits.Strikes {
		return nil
	}
	return crocusreel.Refuse(crocusreel.ReasonSuspectRequest, crocusreel.OutcomeNotRun,
		c.suspects.TimeUntilBelow(w.req.Fingerprint, c.pc.cfg.Limits.Strikes, now), "endpoints died while they ran this request")
}

// noEndpointRefusal returns a refusal if no engine that serves the model is healthy or in unknown
// state, since waiting would not help; nil otherwise. If this scheduler reaches no engine at all, the
// gateways are to decide by themselves: they may reach them.
func (c *core) noEndpointRefusal(w *queuedRequest) *crocusreel.Refusal {
	for _, e := range c.endpointsByModel[w.req.Model] {
		if e.State == policy.StateHealthy || e.State == policy.StateUnknown {
			return nil
		}
	}
	if !c.pc.fallback && c.reachesNone() {
		return crocusreel.Refuse(crocusreel.ReasonSchedulerUnreachable, crocusreel.OutcomeNotRun, engineRetryAfter,
			"the scheduler reaches no engine")
	}
	return crocusreel.Refuse(crocusreel.ReasonNoEndpoint, crocusreel.OutcomeNotRun, engineRetryAfter,
		"no live engine serves the model")
}

// timeLeft returns how long the request may still wait.
func (c *core) timeLeft(w *queuedRequest, now time.Duration) time.Duration {
	limit := time.Duration(c.pc.cfg.Limits.QueueWaitMS) * time.Millisecond
	if w.item != nil {
		limit -= now - w.item.Enqueued
	}
	if w.deadline > 0 {
		limit = min(limit, w.deadline-now)
	}
	return limit
}

// predictedWait returns how long a request waits behind the given number of requests of its
// workspace, from the measured service rate. It returns 0 if the rate is not known or the queue is
// empty.
func (c *core) predictedWait(w *queuedRequest, ahead int) time.Duration {
	q := c.queue(w.req.Class)
	perSecond := c.backlog(w.req.Class).perSecond()
	if perSecond <= 0 || q.Len() == 0 {
		return 0
	}
	share := q.Share(w.req.Workspace, c.workspaceWeight(w.req.Workspace))
	return time.Duration(float64(ahead+1) / (perSecond * share) * float64(time.Second))
}

// shed refuses queued requests of the same class, in the order of the queue's drop candidates,
// while the queue is longer than the configured limit per model of the pool.
func (c *core) shed(w *queuedRequest, now time.Duration) {
	q := c.queue(w.req.Class)
	limit := c.pc.cfg.Limits.QueueLength
	for limit > 0 && q.Len() > limit*max(1, len(c.pc.spec.models)) {
		i := q.DropCandidate(now)
		if i == nil {
			return
		}
		v := i.Value
		wait := c.predictedWait(v, q.Waiting(i.Workspace))
		c.refuse(v, crocusreel.Refuse(crocusreel.ReasonQueueFull, crocusreel.OutcomeNotRun, clampRetryAfter(wait),
			"%d requests are waiting", q.Len()))
	}
}

// refuse removes a request from the queue and answers it with a refusal.
func (c *core) refuse(w *queuedRequest, r *crocusreel.Refusal) {
	if w.done {
		return
	}
	w.done = true
	if w.item != nil {
		c.queue(w.req.Class).Remove(w.item)
	}
	c.logRefused(w, r)
	w.reply <- result{refusal: r}
}

// cancel ends the wait of a request whose caller is gone. If a permit has been granted in the
// meantime, it was never used and is released as not started.
func (c *core) cancel(w *queuedRequest, now time.Duration) {
	if w.permitID != "" {
		if g, ok := c.permits[w.permitID]; ok {
			c.release(&Release{Permit: g.Permit, End: EndNotStarted}, now)
		}
		return
	}
	if !w.done && w.item != nil {
		c.queue(w.req.Class).Remove(w.item)
	}
	w.done = true
}

// anyWaiting reports whether a request is queued in any class.
func (c *core) anyWaiting() bool {
	for _, q := range c.queues {
		if q.Len() > 0 {
			return true
		}
	}
	return false
}

// sweep refuses queued requests that have reached the limit on strikes, have no live engine left,
// or have run out of time.
func (c *core) sweep(now time.Duration) {
	for _, q := range c.queues {
		if q.Len() == 0 {
			continue
		}
		q.Each(func(i *policy.Item[*queuedRequest]) { c.sweepRequest(i.Value, now) })
	}
}

func (c *core) sweepRequest(w *queuedRequest, now time.Duration) {
	if r := c.suspectRefusal(w, now); r != nil {
		c.refuse(w, r)
		return
	}
	if r := c.noEndpointRefusal(w); r != nil {
		c.refuse(w, r)
		return
	}
	if c.timeLeft(w, now) > 0 {
		return
	}
	wait := c.predictedWait(w, c.queue(w.req.Class).Waiting(w.req.Workspace))
	c.refuse(w, crocusreel.Refuse(crocusreel.ReasonDeadlineUnreachable, crocusreel.OutcomeNotRun, clampRetryAfter(wait),
		"no engine had room in time"))
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// Bounds on one round of dispatch.
const (
	// lookahead bounds the requests that may fail to find an engine in one round. Requests behind
	// them are still tried, since a small request may fit where a large one does not.
	lookahead = 8
	// bypassShare is the fraction of the maximum queue wait after which a request is no longer
	// bypassed by others for its model, so that it is not starved.
	bypassShare = 0.15
)

// dispatch grants permits to queued requests, the short class first.
func (c *core) dispatch(now time.Duration) {
	c.setReserve(now)
	for _, class := range []crocusreel.Class{crocusreel.ClassShort, crocusreel.ClassGeneration} {
		b := c.backlog(class)
		b.advance(now)
		c.serveQueue(c.queues[class], now)
		b.queued = c.queues[class].Len() > 0
	}
}

func (c *core) setReserve(now time.Duration) {
	if c.reservation == nil {
		return
	}
	c.reservation.Risk = c.riskController.Risk()
	c.reservation.Share = c.pc.share
	if now-c.activatedAt < takeoverGracePeriod {
		c.reservation.Share *= takeoverGraceShare
	}
}

func (c *core) serveQueue(q *policy.Queue[*queuedRequest], now time.Duration) {
	if q.Len() == 0 {
		return
	}
	q.BeginRound()
	c.blockedModels = c.blockedModels[:0]
	for failed := 0; failed < lookahead; {
		i := q.Next(now)
		if i == nil {
			return
		}
		// The event that triggered this round may be the death for which the request was held back.
		// A request that has reached the limit on strikes must not get another engine.
		if r := c.suspectRefusal(i.Value, now); r != nil {
			c.refuse(i.Value, r)
			continue
		}
		model := i.Value.req.Model
		if slices.Contains(c.blockedModels, model) {
			q.Skip(i)
			continue
		}
		if c.place(i.Value, now) {
			q.Serve(i)
			c.backlog(i.Value.req.Class).served()
			continue
		}
		q.Skip(i)
		failed++
		if c.starving(i.Value, now) {
			c.blockedModels = append(c.blockedModels, model)
		}
	}
}

func (c *core) starving(w *queuedRequest, now time.Duration) bool {
	limit := time.Duration(c.pc.cfg.Limits.QueueWaitMS) * time.Millisecond
	return float64(now-w.item.Enqueued) > bypassShare*float64(limit)
}

// place tries to find an engine for a request and grants the permit. It returns false if the
// request has to stay queued.
func (c *core) place(w *queuedRequest, now time.Duration) bool {
	if l := c.unresolvedLoss(w.req.Fingerprint, now); l != nil {
		c.logHeldForLoss(w, l, now)
		return false
	}
	if c.mayExceedStrikeLimit(w.req.Fingerprint, now) {
		c.logHeldForCopies(w, now)
		return false
	}
	parts := c.assessParts(w, now)
	if parts.State != quarantine.Clear {
		if other := c.partsRunning(parts.Parts, now); other != nil {
			c.logHeldForParts(w, parts.Parts, other)
			return false
		}
	}
	w.placement.Suspect = c.needsIsolation(w.req.Fingerprint, now) || parts.State != quarantine.Clear
	w.placement.Holders, w.placement.CachedShare = c.prefix.Holders(w.req.Prefixes, now)
	endpoints := c.endpointsByModel[w.req.Model]
	w.placement.Excluded = w.req.Excluded
	if c.allExcluded(endpoints, w.req.Excluded) {
		w.placement.Excluded = nil
	}
	w.placement.Excluded = append(slices.Clip(w.placement.Excluded), c.rateLimited(endpoints, now)...)
	n := c.picker.Pick(endpoints, &w.placement)
	if n == policy.None {
		return false
	}
	c.grant(w, c.engines[endpoints[n].Name], now)
	return true
}

// allExcluded reports whether the request excludes every healthy endpoint. The exclusions are then
// ignored, so that it may be tried again at endpoints at which it has failed.
func (c *core) allExcluded(endpoints []*policy.Endpoint, excluded []string) bool {
	if len(excluded) == 0 {
		return false
	}
	for _, e := range endpoints {
		if e.State == policy.StateHealthy && !slices.Contains(excluded, e.Name) {
			return false
		}
	}
	return true
}
