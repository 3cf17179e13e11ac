package scheduler

import (
	"strconv"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/policy"
)

// strikesInReport bounds the strikes in the answer to a report.
const strikesInReport = 64

func lengthKey(p *Permit) policy.LengthKey {
	return policy.LengthKey{Workspace: p.Workspace, Class: p.Class, Model: p.Model}
}

// grant opens a permit for a waiting request.
func (c *core) grant(w *waiting, e *engine, now time.Duration) {
	c.sequence++
	p := Permit{
		ID:       c.hooks.id + strconv.FormatUint(c.sequence, 36),
		Endpoint: e.spec.Name, Model: w.req.Model, Workspace: w.req.Workspace, Class: w.req.Class,
		PromptTokens: w.req.PromptTokens, MaxTokens: w.req.MaxTokens,
		Fingerprint: w.req.Fingerprint, LengthHint: w.req.LengthHint, Incarnation: e.incarnation,
	}
	p.EnginePriority = policy.EnginePriority(now, c.duration(e, w.expected), w.req.Class, w.req.Priority)
	c.open(&grant{Permit: p, gateway: w.req.Gateway, grantedAt: now, reportedAt: now, expected: w.expected}, &w.place.Demand, now)
	c.prefix.AddAll(e.spec.Name, w.req.Prefixes, now)
	w.done, w.granted = true, p.ID
	c.paced(e, now)
	c.logGrant(w, &p, now)
	w.reply <- result{permit: p}
}

// defaultRate is taken for the tokens per second of one answer until an engine's
// own rate is known.
const defaultRate = 20

// duration is the time that an answer of so many tokens takes at the engine.
func (c *core) duration(e *engine, tokens float64) time.Duration {
	rate := e.view.Rate
	if rate <= 0 {
		rate = defaultRate
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

// open adds a permit to its engine.
func (c *core) open(g *grant, d *policy.Demand, now time.Duration) {
	c.permits[g.ID] = g
	e, ok := c.engines[g.Endpoint]
	if !ok {
		return
	}
	e.view.Attach(g.ID, &policy.Answer{
		Key: lengthKey(&g.Permit), Prompt: g.PromptTokens, MaxTokens: g.MaxTokens, LengthHint: g.LengthHint,
		Produced: g.Produced, ProducedAt: now,
		Suspect: c.isolated(g.Fingerprint, now),
	}, d)
}

// isolated tells whether a request is one strike short of being refused. From then
// on it shares no engine with another such request, so that the death of an engine
// refuses only the one at fault. Earlier isolation would make every answer that a
// common death of an engine interrupted wait for its turn alone.
func (c *core) isolated(fingerprint uint64, now time.Duration) bool {
	return c.suspects.Count(fingerprint, now) >= max(1, c.pc.cfg.Limits.Strikes-1)
}

// drop removes a permit without a trace.
func (c *core) drop(id string) {
	g, ok := c.permits[id]
	if !ok {
		return
	}
	delete(c.permits, id)
	if e, ok := c.engines[g.Endpoint]; ok {
		e.view.Detach(id)
	}
}

// release ends a permit and learns from it.
func (c *core) release(r *Release, now time.Duration) {
	p := &r.Permit
	if _, ended := c.ended[p.ID]; ended {
		return
	}
	g := c.permits[p.ID]
	c.drop(p.ID)
	c.ended[p.ID] = now
	e, known := c.engines[p.Endpoint]
	if known {
		e.view.Refresh(c.est, now, c.oracle())
	}
	switch r.End {
	case EndFinished:
		c.finished(p, g, now)
	case EndCancelled:
		c.est.ObserveCensored(lengthKey(p), p.Produced)
	case EndEndpointLost:
		c.est.ObserveCensored(lengthKey(p), p.Produced)
		if known {
			c.lost(e, p, now)
		}
	case EndNotStarted:
		if known {
			c.hooks.poll(e.spec.Name)
		}
	}
}

// finished learns from a whole answer.
func (c *core) finished(p *Permit, g *grant, now time.Duration) {
	c.est.Observe(lengthKey(p), p.Produced)
	c.suspects.Clear(p.Fingerprint, now)
	q := c.queue(p.Class)
	if q.Len() > 0 {
		c.feedback.RecordCompletion()
	}
	if g != nil {
		q.AdjustCharge(p.Workspace, float64(p.Produced)-g.expected)
	}
}

// report takes over what a gateway holds, and returns the strikes to remember.
func (c *core) report(r *gatewayReport, now time.Duration) []policy.Strike {
	for i := range r.Releases {
		c.release(&r.Releases[i], now)
	}
	c.learn(r.Strikes, r.Gateway, now)
	if r.Partial {
		return nil
	}
	c.reporters[r.Gateway] = now
	listed := make(map[string]bool, len(r.Open))
	for i := range r.Open {
		listed[r.Open[i].ID] = true
		c.reported(&r.Open[i], r.Gateway, now)
	}
	for id, g := range c.permits {
		if g.gateway == r.Gateway && !listed[id] && now-g.grantedAt > reportGrace {
			c.hooks.count("permits_dropped", 1)
			c.drop(id)
		}
	}
	return c.suspects.AppendStrikes(nil, strikesInReport, now)
}

// reported brings one permit up to date, or adopts it from an earlier scheduler.
func (c *core) reported(p *Permit, gateway string, now time.Duration) {
	g, ok := c.permits[p.ID]
	if !ok {
		if _, ended := c.ended[p.ID]; !ended {
			c.hooks.count("permits_adopted", 1)
			c.open(&grant{Permit: *p, gateway: gateway, grantedAt: now, reportedAt: now}, nil, now)
		}
		return
	}
	e, ok := c.engines[g.Endpoint]
	if !ok {
		return
	}
	if a, ok := e.view.Running[p.ID]; ok {
		e.learnRate(g, p.Produced, now)
		a.Produced, a.ProducedAt = p.Produced, now
	}
	g.Produced, g.reportedAt = p.Produced, now
}

const (
	// rateWeight is the weight of one sample in an engine's token rate.
	rateWeight = 0.1
	// leastRateInterval is the shortest time that gives a sample.
	leastRateInterval = 300 * time.Millisecond
)

// learnRate measures the tokens per second of one answer from two reports.
func (e *engine) learnRate(g *grant, produced int, now time.Duration) {
	dt := now - g.reportedAt
	if g.Produced == 0 || dt < leastRateInterval {
		return
	}
	sample := float64(produced-g.Produced) / dt.Seconds()
	e.view.RateSamples++
	if e.view.Rate == 0 {
		e.view.Rate = sample
		return
	}
	e.view.Rate += rateWeight * (sample - e.view.Rate)
}

// expire drops the permits of gateways that have stopped reporting: they died, and
// engines cancel what no stream is attached to.
func (c *core) expire(limit, now time.Duration) {
	for id, g := range c.permits {
		last := max(c.reporters[g.gateway], g.grantedAt)
		if now-last > limit {
			c.hooks.count("permits_expired", 1)
			c.drop(id)
		}
	}
}

func (c *core) queue(class crocusreel.Class) *policy.Queue[*waiting] {
	if class == crocusreel.ClassShort {
		return c.queues[crocusreel.ClassShort]
	}
	return c.queues[crocusreel.ClassGeneration]
}

func (c *core) backlog(class crocusreel.Class) *backlog {
	if class == crocusreel.ClassShort {
		return c.backlogs[crocusreel.ClassShort]
	}
	return c.backlogs[crocusreel.ClassGeneration]
}
