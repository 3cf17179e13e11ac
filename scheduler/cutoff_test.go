package scheduler

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/endpoint"
)

// refusePoll applies a poll of the engine whose connection was refused.
func (c *multiEngineCore) refusePoll(name string) {
	c.now += time.Millisecond
	err := &endpoint.Error{Kind: endpoint.KindUnreachable, Cause: errors.New("connection refused")}
	c.applyPoll(pollResult{engine: name, err: err, startedAt: c.now}, c.now)
	c.dispatch(c.now)
}

var _ = Describe("a scheduler that reaches no engine", func() {
	// Guards against requests that count as deadly, and permits that are dropped while their runs go on,
	// because the scheduler was cut off from the engines and the gateways were not.
	It("counts no engine as dead", func() {
		c := newMultiEngineCore(3)
		w := c.submit(7)
		Expect(w.permitID).NotTo(BeEmpty())
		for _, name := range []string{"e1", "e2", "e3"} {
			c.refusePoll(name)
		}
		Expect(c.suspects.Count(7, c.now)).To(BeZero())
		Expect(c.permits).To(HaveKey(w.permitID))
		c.loseAnswer(w)
		for _, name := range []string{"e1", "e2", "e3"} {
			c.pollEngine(name)
		}
		Expect(c.suspects.Count(7, c.now)).To(BeZero())
	})

	// Guards against gateways that wait for a scheduler that reaches no engine, instead of using their
	// own share of the engines.
	It("refuses requests as a scheduler that cannot be reached", func() {
		c := newMultiEngineCore(3)
		for _, name := range []string{"e1", "e2", "e3"} {
			c.refusePoll(name)
		}
		Expect(refusalOfQueued(c.submit(8))).To(Equal(crocusreel.ReasonSchedulerUnreachable))
		c.pollEngine("e2")
		Expect(c.submit(9).permitID).NotTo(BeEmpty())
	})

	// Guards against deaths of engines that are never counted.
	It("counts an engine as dead once another one answers", func() {
		c := newMultiEngineCore(3)
		w := c.submit(7)
		dead := c.permits[w.permitID].Endpoint
		c.refusePoll(dead)
		Expect(c.suspects.Count(7, c.now)).To(BeZero())
		for _, name := range []string{"e1", "e2", "e3"} {
			if name != dead {
				c.pollEngine(name)
				break
			}
		}
		Expect(c.suspects.Count(7, c.now)).To(Equal(1))
		Expect(c.permits).NotTo(HaveKey(w.permitID))
	})
})
