package scheduler

import (
	"time"

	"github.com/crocusreel/crocusreel/pace"
	"github.com/crocusreel/crocusreel/policy"
)

// limited returns the names of the engines that have named a limit and get no permit yet.
func (c *core) limited(endpoints []*policy.Endpoint, now time.Duration) []string {
	var names []string
	for _, view := range endpoints {
		e := c.engines[view.Name]
		if now < e.nextAt && c.hooks.notice(e.spec).Limited {
			names = append(names, view.Name)
		}
	}
	return names
}

// paced notes that an engine gets a permit. A scheduler that has a share of the engines only has
// that share of their limits.
func (c *core) paced(e *engine, now time.Duration) {
	said := c.hooks.notice(e.spec)
	if !said.Limited {
		return
	}
	perSecond := pace.LimitRate(said.Limit) * c.pc.share
	e.nextAt = now + time.Duration(float64(time.Second)/perSecond)
}
