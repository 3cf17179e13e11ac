package scheduler

import (
	"strconv"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/policy"
	"github.com/crocusreel/crocusreel/quarantine"
)

// maxStrikesInReport bounds the strikes in the response to a report.
const maxStrikesInReport = 64

func lengthKey(p *Permit) policy.LengthKey {
	return policy.LengthKey{Workspace: p.Workspace, Class: p.Class, Model: p.Model}
}

// grant opens a permit for a queued request and sends it to the caller.
func (c *core) grant(w *queuedRequest, e *engine, now time.Duration) {
	c.sequence++
	p := Permit{
		ID:       c.hooks.id + strconv.FormatUint(c.sequence, 36),
		Endpoint: e.spec.Name, Model: w.req.Model, Workspace: w.req.Workspace, Class: w.req.Class,
		PromptTokens: w.req.PromptTokens, MaxTokens: w.req.MaxTokens,
		Fingerprint: w.req.Fingerprint, LengthHint: w.req.LengthHint, Incarnation: e.incarnation, Prefixes: w.req.Prefixes,
	}
	p.EnginePriority = policy.EnginePriority(now, c.expectedDuration(e, w.expectedTokens), w.req.Class, w.req.Priority)
	c.openPermit(&grant{Permit: p, gateway: w.req.Gateway, grantedAt: now, reportedAt: now, expectedTokens: w.expectedTokens}, &w.placement.Demand, now)
	c.prefix.AddAll(e.spec.Name, w.req.Prefixes, now)
	w.done, w.permitID = true, p.ID
	c.applyRateLimit(e, now)
	c.logGrant(w, &p, now)
	w.reply <- result{permit: p}
}

// defaultTokensPerSecond is the assumed token rate of one request until the engine's own rate has
// been measured.
const defaultTokensPerSecond = 20

// expectedDuration returns the time that an answer of this many tokens takes at the engine.
func (c *core) expectedDuration(e *engine, tokens float64) time.Duration {
	rate := e.view.Rate
	if rate <= 0 {
		rate = defaultTokensPerSecond
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

// openPermit records a permit and attaches its request to the engine.
func (c *core) openPermit(g *grant, d *policy.Demand, now time.Duration) {
	c.permits[g.ID] = g
	e, ok := c.engines[g.Endpoint]
	if !ok {
		return
	}
	e.view.Attach(g.ID, &policy.Answer{
		Key: lengthKey(&g.Permit), Prompt: g.PromptTokens, MaxTokens: g.MaxTokens, LengthHint: g.LengthHint,
		Produced: g.Produced, ProducedAt: now,
		Suspect: c.needsIsolation(g.Fingerprint, now) || c.hasSuspectPrefix(g.Prefixes, now),
	}, d)
}

// needsIsolation reports whether the request has at least one strike and one more would cause its
// refusal. From then on it shares no engine with another such request, so that the death of an
// engine leads only to the refusal of the request that caused it. With earlier isolation, all
// requests that one common engine death interrupted would have to run one after the other.
func (c *core) needsIsolation(fingerprint uint64, now time.Duration) bool {
	return c.suspects.Count(fingerprint, now) >= max(1, c.pc.cfg.Limits.Strikes-1)
}

// dropPermit removes a permit without leaving a tombstone.
func (c *core) dropPermit(id string) {
	g, ok := c.permits[id]
	if !ok {
		return
	}
	delete(c.permits, id)
	if e, ok := c.engines[g.Endpoint]; ok {
		e.view.Detach(id)
	}
}

// release ends a permit and updates the estimates, strikes and losses from its outcome.
func (c *core) release(r *Release, now time.Duration) {
	p := &r.Permit
	if _, ended := c.tombstones[p.ID]; ended {
		return
	}
	g := c.permits[p.ID]
	c.dropPermit(p.ID)
	c.tombstones[p.ID] = now
	if g != nil && (r.End == EndFinished || p.Produced >= provenTokens) {
		c.provePrefixes(g.Prefixes, now)
	}
	e, known := c.engines[p.Endpoint]
	if known {
		e.view.Refresh(c.estimator, now, c.isOraclePolicy())
	}
	switch r.End {
	case EndFinished:
		c.observeFinished(p, g, now)
	case EndCancelled:
		c.estimator.ObserveCensored(lengthKey(p), p.Produced)
	case EndEndpointLost:
		c.estimator.ObserveCensored(lengthKey(p), p.Produced)
		if known {
			c.recordLoss(e, p, now)
		}
	case EndNotStarted:
		if known {
			c.hooks.poll(e.spec.Name)
		}
	}
}

// observeFinished updates length estimates, strikes and fair shares after a complete answer.
func (c *core) observeFinished(p *Permit, g *grant, now time.Duration) {
	c.estimator.Observe(lengthKey(p), p.Produced)
	c.suspects.Clear(p.Fingerprint, now)
	q := c.queue(p.Class)
	if q.Len() > 0 {
		c.riskController.RecordCompletion()
	}
	if g != nil {
		q.AdjustCharge(p.Workspace, float64(p.Produced)-g.expectedTokens)
	}
}

// report applies a gateway's report. A full report returns what the gateway has to remember; a partial
// one returns nothing.
func (c *core) report(r *gatewayReport, now time.Duration) toRemember {
	for i := range r.Releases {
		c.release(&r.Releases[i], now)
	}
	c.mergeStrikes(r.Strikes, r.Gateway, now)
	c.partsAt(now).Merge(r.Gateway, quarantine.Report{Verdicts: r.Quarantines})
	if r.Partial {
		return toRemember{}
	}
	c.lastReports[r.Gateway] = now
	listed := make(map[string]bool, len(r.Open))
	for i := range r.Open {
		listed[r.Open[i].ID] = true
		c.applyReportedPermit(&r.Open[i], r.Gateway, now)
	}
	for id, g := range c.permits {
		if g.gateway == r.Gateway && !listed[id] && now-g.grantedAt > unreportedPermitGrace {
			c.hooks.count("permits_dropped", 1)
			c.dropPermit(id)
		}
	}
	return toRemember{strikes: c.suspects.AppendStrikes(nil, maxStrikesInReport, now), quarantines: c.partsAt(now).Verdicts()}
}

// hasSuspectPrefix reports whether a prefix may crash engines.
func (c *core) hasSuspectPrefix(prefixes []uint64, now time.Duration) bool {
	return c.pc.cfg.Limits.Strikes > 0 && c.partsAt(now).Assess(quarantine.PartsOf(prefixes), true).State != quarantine.Clear
}

// applyReportedPermit updates a permit from a report, or adopts one that an earlier scheduler
// granted.
func (c *core) applyReportedPermit(p *Permit, gateway string, now time.Duration) {
	g, ok := c.permits[p.ID]
	if !ok {
		if _, ended := c.tombstones[p.ID]; !ended {
			c.hooks.count("permits_adopted", 1)
			c.openPermit(&grant{Permit: *p, gateway: gateway, grantedAt: now, reportedAt: now}, nil, now)
		}
		return
	}
	e, ok := c.engines[g.Endpoint]
	if !ok {
		return
	}
	if a, ok := e.view.Running[p.ID]; ok {
		e.updateTokenRate(g, p.Produced, now)
		a.Produced, a.ProducedAt = p.Produced, now
	}
	if g.Produced < provenTokens && p.Produced >= provenTokens {
		c.provePrefixes(g.Prefixes, now)
	}
	g.Produced, g.reportedAt = p.Produced, now
}

const (
	// rateSampleWeight is the weight of one sample in the moving average of an engine's token rate.
	rateSampleWeight = 0.1
	// minRateInterval is the shortest time between two reports that gives a rate sample.
	minRateInterval = 300 * time.Millisecond
)

// updateTokenRate samples the token rate of one request, in tokens per second, from two consecutive
// reports.
func (e *engine) updateTokenRate(g *grant, produced int, now time.Duration) {
	dt := now - g.reportedAt
	if g.Produced == 0 || dt < minRateInterval {
		return
	}
	sample := float64(produced-g.Produced) / dt.Seconds()
	e.view.RateSamples++
	if e.view.Rate == 0 {
		e.view.Rate = sample
		return
	}
	e.view.Rate += rateSampleWeight * (sample - e.view.Rate)
}

// expire drops the permits of gateways that have not reported within the limit. Such a gateway is
// considered dead, and engines cancel requests without an attached stream.
func (c *core) expire(limit, now time.Duration) {
	for id, g := range c.permits {
		last := max(c.lastReports[g.gateway], g.grantedAt)
		if now-last > limit {
			c.hooks.count("permits_expired", 1)
			c.dropPermit(id)
		}
	}
}

func (c *core) queue(class crocusreel.Class) *policy.Queue[*queuedRequest] {
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
