package scheduler

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/notice"
)

var _ = Describe("an engine that announces a rate limit", func() {
	// Guards against granting permits beyond an engine's rate limit, with and without another
	// engine that has no limit.
	DescribeTable("gets no permits beyond it", func(engines int) {
		const perSecond = 3.0
		c := newMultiEngineCore(engines)
		c.hooks.notice = func(e config.EndpointSpec) notice.Notice {
			return notice.Notice{Limited: e.Name == "e1", Limit: perSecond}
		}
		var granted []time.Duration
		var requests []*queuedRequest
		const step = 20 * time.Millisecond
		for range 500 {
			c.now += step
			requests = append(requests, c.submit(0))
			for _, w := range requests {
				if g, open := c.permits[w.permitID]; open {
					if g.Endpoint == "e1" {
						granted = append(granted, c.now)
					}
					c.release(&Release{Permit: g.Permit, End: EndFinished}, c.now)
				}
			}
		}
		Expect(granted).NotTo(BeEmpty())
		for from := range granted {
			within := 0
			for _, at := range granted[from:] {
				if at-granted[from] < 4*time.Second {
					within++
				}
			}
			Expect(within).To(BeNumerically("<=", int(1.5*perSecond*4)+5))
		}
	},
		Entry("next to an engine without a limit", 2),
		Entry("as the only engine", 1),
	)
})
