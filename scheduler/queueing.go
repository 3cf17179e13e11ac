package scheduler

import (
	"slices"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/policy"
)

const (
	// leastRetryAfter and mostRetryAfter bound what a refusal tells.
	leastRetryAfter = time.Second
	mostRetryAfter  = 2 * time.Minute
	// engineReturn is how soon an engine may be back if there is none now.
	engineReturn = 2 * time.Second
	// waitMargin is by how much a predicted wait has to exceed the time left before
	// the request is refused; predictions are rough.
	waitMargin = 1.3
)

// enqueue takes in a request: it is queued or refused.
func (c *core) enqueue(w *waiting, now time.Duration) {
	c.hold(&w.req, now)
	if r := c.refuseAtOnce(w, now); r != nil {
		c.refuse(w, r)
		return
	}
	survival := c.est.Survival(policy.LengthKey{Workspace: w.req.Workspace, Class: w.req.Class, Model: w.req.Model})
	w.expected = survival.Mean()
	w.place = policy.Request{
		Class: w.req.Class, Prompt: w.req.PromptTokens,
		Demand: policy.PredictDemand(survival, w.req.PromptTokens, 0, w.req.MaxTokens),
	}
	if c.oracle() && w.req.LengthHint > 0 {
		w.expected = float64(w.req.LengthHint)
		w.place.Demand = policy.DemandForLength(w.req.PromptTokens, 0, w.req.LengthHint)
	}
	w.item = &policy.Item[*waiting]{
		Workspace: w.req.Workspace, Priority: w.req.Priority,
		Cost: w.expected + float64(w.req.PromptTokens), Enqueued: now, Value: w,
	}
	c.queue(w.req.Class).Push(w.item, c.weight(w.req.Workspace))
	c.shed(w, now)
}

// hold takes in what the gateway holds against a request. The reports that tell the same
// go to the scheduler of the moment, and may come late or to another one than this.
func (c *core) hold(r *Request, now time.Duration) {
	c.learn(r.Strikes, r.Gateway, now)
	for _, p := range r.Losses {
		c.release(&Release{Permit: p, End: EndEndpointLost}, now)
	}
}

// refuseAtOnce returns the refusal of a request that must not wait.
func (c *core) refuseAtOnce(w *waiting, now time.Duration) *crocusreel.Refusal {
	if r := c.refuseSuspect(w, now); r != nil {
		return r
	}
	if r := c.refuseUnserved(w); r != nil {
		return r
	}
	left := c.timeLeft(w, now)
	wait := c.predictedWait(w, c.queue(w.req.Class).Waiting(w.req.Workspace))
	if float64(wait) > waitMargin*float64(left) {
		return crocusreel.Refuse(crocusreel.ReasonDeadlineUnreachable, crocusreel.OutcomeNotRun, bounded(wait),
			"the wait would be %s, the time left is %s", wait.Round(time.Millisecond), left.Round(time.Millisecond))
	}
	return nil
}

func (c *core) refuseSuspect(w *waiting, now time.Duration) *crocusreel.Refusal {
	if c.pc.cfg.Limits.Strikes <= 0 || c.suspects.Count(w.req.Fingerprint, now) < c.pc.cfg.Limits.Strikes {
		return nil
	}
	return crocusreel.Refuse(crocusreel.ReasonSuspectRequest, crocusreel.OutcomeNotRun,
		c.suspects.TimeUntilBelow(w.req.Fingerprint, c.pc.cfg.Limits.Strikes, now), "endpoints died while they ran this request")
}

// refuseUnserved refuses if no engine serves the model: waiting would not help.
func (c *core) refuseUnserved(w *waiting) *crocusreel.Refusal {
	for _, e := range c.byModel[w.req.Model] {
		if e.State == policy.StateHealthy || e.State == policy.StateUnknown {
			return nil
		}
	}
	return crocusreel.Refuse(crocusreel.ReasonNoEndpoint, crocusreel.OutcomeNotRun, engineReturn,
		"no live engine serves the model")
}

// timeLeft is how long the request may still wait.
func (c *core) timeLeft(w *waiting, now time.Duration) time.Duration {
	limit := time.Duration(c.pc.cfg.Limits.QueueWaitMS) * time.Millisecond
	if w.item != nil {
		limit -= now - w.item.Enqueued
	}
	if w.deadline > 0 {
		limit = min(limit, w.deadline-now)
	}
	return limit
}

// predictedWait is how long a request waits behind so many others of its
// workspace, by the measured service rate; 0 if nothing is known.
func (c *core) predictedWait(w *waiting, ahead int) time.Duration {
	q := c.queue(w.req.Class)
	perSecond := c.backlog(w.req.Class).perSecond()
	if perSecond <= 0 || q.Len() == 0 {
		return 0
	}
	share := q.Share(w.req.Workspace, c.weight(w.req.Workspace))
	return time.Duration(float64(ahead+1) / (perSecond * share) * float64(time.Second))
}

// shed gives up waiting requests of the same model while there are too many, the
// least valued first.
func (c *core) shed(w *waiting, now time.Duration) {
	q := c.queue(w.req.Class)
	limit := c.pc.cfg.Limits.QueueLength
	for limit > 0 && q.Len() > limit*max(1, len(c.pc.spec.models)) {
		i := q.DropCandidate(now)
		if i == nil {
			return
		}
		v := i.Value
		wait := c.predictedWait(v, q.Waiting(i.Workspace))
		c.refuse(v, crocusreel.Refuse(crocusreel.ReasonQueueFull, crocusreel.OutcomeNotRun, bounded(wait),
			"%d requests are waiting", q.Len()))
	}
}

// refuse answers a request and takes it out of the queue.
func (c *core) refuse(w *waiting, r *crocusreel.Refusal) {
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

// cancel ends the wait of a request whose caller is gone. A permit that was
// granted meanwhile was never used.
func (c *core) cancel(w *waiting, now time.Duration) {
	if w.granted != "" {
		if g, ok := c.permits[w.granted]; ok {
			c.release(&Release{Permit: g.Permit, End: EndNotStarted}, now)
		}
		return
	}
	if !w.done && w.item != nil {
		c.queue(w.req.Class).Remove(w.item)
	}
	w.done = true
}

// anyWaiting tells whether a request waits in one of the queues.
func (c *core) anyWaiting() bool {
	for _, q := range c.queues {
		if q.Len() > 0 {
			return true
		}
	}
	return false
}

// sweep refuses what can no longer be served in time.
func (c *core) sweep(now time.Duration) {
	for _, q := range c.queues {
		if q.Len() == 0 {
			continue
		}
		q.Each(func(i *policy.Item[*waiting]) { c.sweepOne(i.Value, now) })
	}
}

func (c *core) sweepOne(w *waiting, now time.Duration) {
	if r := c.refuseSuspect(w, now); r != nil {
		c.refuse(w, r)
		return
	}
	if r := c.refuseUnserved(w); r != nil {
		c.refuse(w, r)
		return
	}
	if c.timeLeft(w, now) > 0 {
		return
	}
	wait := c.predictedWait(w, c.queue(w.req.Class).Waiting(w.req.Workspace))
	c.refuse(w, crocusreel.Refuse(crocusreel.ReasonDeadlineUnreachable, crocusreel.OutcomeNotRun, bounded(wait),
		"no engine had room in time"))
}

func bounded(d time.Duration) time.Duration {
	return min(max(d, leastRetryAfter), mostRetryAfter)
}

// Bounds on one round of dispatch.
const (
	// lookahead is the number of requests that are tried although one before them
	// found no room: a small request may fit where a large one does not.
	lookahead = 8
	// bypassShare is the part of the longest wait after which a request is no
	// longer bypassed by others of its model, so that it is not starved.
	bypassShare = 0.15
)

// dispatch grants permits to waiting requests, short work first.
func (c *core) dispatch(now time.Duration) {
	c.setReserve(now)
	for _, class := range []crocusreel.Class{crocusreel.ClassShort, crocusreel.ClassGeneration} {
		b := c.backlog(class)
		b.advance(now)
		c.serve(c.queues[class], now)
		b.waiting = c.queues[class].Len() > 0
	}
}

func (c *core) setReserve(now time.Duration) {
	if c.reserve == nil {
		return
	}
	c.reserve.Risk = c.feedback.Risk()
	c.reserve.Share = c.pc.share
	if now-c.activeAt < graceAfterTakeover {
		c.reserve.Share *= graceShare
	}
}

func (c *core) serve(q *policy.Queue[*waiting], now time.Duration) {
	if q.Len() == 0 {
		return
	}
	q.BeginRound()
	c.blocked = c.blocked[:0]
	for passed := 0; passed < lookahead; {
		i := q.Next(now)
		if i == nil {
			return
		}
		// The event that brings this round may be the very death that a waiting request was
		// held back for: with as many strikes as the bound it must not get an engine any more.
		if r := c.refuseSuspect(i.Value, now); r != nil {
			c.refuse(i.Value, r)
			continue
		}
		model := i.Value.req.Model
		if slices.Contains(c.blocked, model) {
			q.Skip(i)
			continue
		}
		if c.place(i.Value, now) {
			q.Serve(i)
			c.backlog(i.Value.req.Class).served()
			continue
		}
		q.Skip(i)
		passed++
		if c.starving(i.Value, now) {
			c.blocked = append(c.blocked, model)
		}
	}
}

func (c *core) starving(w *waiting, now time.Duration) bool {
	limit := time.Duration(c.pc.cfg.Limits.QueueWaitMS) * time.Millisecond
	return float64(now-w.item.Enqueued) > bypassShare*float64(limit)
}

// place tries to find an engine for a request.
func (c *core) place(w *waiting, now time.Duration) bool {
	if l := c.unexplained(w.req.Fingerprint, now); l != nil {
		c.logHeldForLoss(w, l, now)
		return false
	}
	if c.atRisk(w.req.Fingerprint, now) {
		c.logHeldForCopies(w, now)
		return false
	}
	w.place.Suspect = c.isolated(w.req.Fingerprint, now)
	w.place.Holders, w.place.CachedShare = c.prefix.Holders(w.req.Prefixes, now)
	endpoints := c.byModel[w.req.Model]
	w.place.Excluded = w.req.Excluded
	if c.allExcluded(endpoints, w.req.Excluded) {
		w.place.Excluded = nil
	}
	w.place.Excluded = append(slices.Clip(w.place.Excluded), c.limited(endpoints, now)...)
	n := c.picker.Pick(endpoints, &w.place)
	if n == policy.None {
		return false
	}
	c.grant(w, c.engines[endpoints[n].Name], now)
	return true
}

// allExcluded tells whether the request failed at every healthy endpoint already;
// then it may try one again.
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
