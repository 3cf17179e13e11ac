package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/quarantine"
)

// A beginning that prompts share may crash each engine that begins an answer on it, whatever else the
// prompt holds. The fingerprint of a request is narrower than that: each such request is a new one.
// Deaths therefore also count against the prefixes of the prompts.

const (
	// provenTokens is the number of tokens from which on a run has gone on past its first event.
	provenTokens = 2
	// partsClockOffset makes the times of a pool's clock positive.
	partsClockOffset = time.Hour
)

// newParts returns the core's record of prompt prefixes that crash engines.
func (c *core) newParts() *quarantine.Tracker {
	t := quarantine.New(func() time.Duration { return c.partsNow + partsClockOffset })
	t.OnEvent = func(e quarantine.Event) {
		c.hooks.count("quarantine_"+string(e.Change), 1)
		c.hooks.log.Warn("prompt parts "+string(e.Change), zap.Strings("parts", quarantine.Strings(e.Parts)), zap.Int("crashes", e.Crashes),
			zap.String("source", e.Source))
	}
	t.MayProbe = func() bool { return true }
	return t
}

// partsAt returns the record as of the given time.
func (c *core) partsAt(now time.Duration) *quarantine.Tracker {
	c.partsNow = max(c.partsNow, now)
	return c.parts
}

// assessParts returns what is known of the prefixes of a queued request.
func (c *core) assessParts(w *queuedRequest, now time.Duration) quarantine.Assessment {
	if c.pc.cfg.Limits.Strikes <= 0 {
		return quarantine.Assessment{}
	}
	a := c.partsAt(now).Assess(quarantine.PartsOf(w.req.Prefixes), w.probing)
	w.probing = w.probing || a.Probe
	return a
}

func (c *core) quarantineRefusal(w *queuedRequest, now time.Duration) *crocusreel.Refusal {
	a := c.assessParts(w, now)
	if a.State != quarantine.Quarantined {
		return nil
	}
	return crocusreel.Refuse(crocusreel.ReasonQuarantined, crocusreel.OutcomeNotRun, a.RetryAfter,
		"%d engines died while they ran requests whose prompts begin like this one", a.Crashes)
}

// partsRunning returns the open permit or the unresolved loss of another request with one of the
// parts that has not gone on past its first event, nil if there is none.
func (c *core) partsRunning(parts []quarantine.Part, now time.Duration) *Permit {
	shares := func(p *Permit) bool {
		return p.Produced < provenTokens && slices.ContainsFunc(p.Prefixes, func(h uint64) bool { return slices.Contains(parts, quarantine.Part(h)) })
	}
	for _, g := range c.permits {
		if shares(&g.Permit) {
			return &g.Permit
		}
	}
	for _, e := range c.sortedEngines {
		for i := range e.losses {
			if l := &e.losses[i]; shares(&l.permit) && now-l.at < lossResolveTimeout {
				return &l.permit
			}
		}
	}
	return nil
}

// recordPartsCrash records that the engine of the permit died.
func (c *core) recordPartsCrash(p *Permit, now time.Duration) {
	if p.Produced >= provenTokens || c.pc.cfg.Limits.Strikes <= 0 {
		return
	}
	death := p.deathID()
	c.partsAt(now).RecordCrash(uint32(death^death>>32), quarantine.PartsOf(p.Prefixes))
}

// provePrefixes records that a run with the prefixes has gone on past its first event.
func (c *core) provePrefixes(prefixes []uint64, now time.Duration) {
	c.partsAt(now).RecordSurvival(quarantine.PartsOf(prefixes))
}
