package scheduler

import (
	"time"

	"github.com/crocusreel/crocusreel/pace"
	"github.com/crocusreel/crocusreel/policy"
)

// rateLimited returns the names of the engines that announced a rate limit and may not get the next
// permit yet.
func (c *core) rateLimited(endpoints []*policy.Endpoint, now time.Duration) []string {
	var names []string
	for _, view := range endpoints {
		e := c.engines[view.Name]
		if now < e.nextPermitAt && c.hooks.notice(e.spec).Limited {
			names = append(names, view.Name)
		}
	}
	return names
}

// applyRateLimit sets the earliest time of the engine's next permit after a grant. A scheduler that
// may use only a share of the engines uses the same share of their rate limits.
func (c *core) applyRateLimit(e *engine, now time.Duration) {
	latest := c.hooks.notice(e.spec)
	if !latest.Limited {
		return
	}
	perSecond := pace.LimitRate(latest.Limit) * c.pc.share
	e.nextPermitAt = now + time.Duration(float64(time.Second)/perSecond)
}
