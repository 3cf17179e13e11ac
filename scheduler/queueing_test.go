package scheduler

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/endpoint"
)

// newTestCore returns a core with one healthy engine that has the given memory capacity in tokens.
func newTestCore(capacity int) *core {
	e := newFakeEngine("e1", capacity)
	cfg := baseConfig(map[string]*fakeEngine{"e1": e})
	c := newCore("a", hooks{poll: func(string) {}, count: func(string, int64) {}})
	c.configure(poolConfig{spec: poolsOf(cfg, "r")["m"], cfg: cfg, share: 1, gateways: 1}, 0)
	c.applyPoll(pollResult{engine: "e1", report: endpoint.LoadReport{KVCapacity: capacity, Incarnation: "1"}}, 0)
	return c
}

// submit enqueues a request with the given time to its deadline and dispatches.
func submit(c *core, timeLeft, now time.Duration) *queuedRequest {
	w := &queuedRequest{req: request(1), deadline: now + timeLeft, reply: make(chan result, 1)}
	c.enqueue(w, now)
	c.dispatch(now)
	return w
}

// finishRequest ends a granted request with a complete answer.
func finishRequest(c *core, w *queuedRequest, now time.Duration) {
	p := c.permits[w.permitID].Permit
	p.Produced = 100
	c.release(&Release{Permit: p, End: EndFinished}, now)
	c.dispatch(now)
}

var _ = Describe("waiting requests", func() {
	// A quiet pool serves one request per minute because no more arrive. If that were taken as the
	// engine's service rate, the first request that has to queue would get a predicted wait of
	// minutes and be refused.
	It("are not refused for the low rate of a quiet pool", func() {
		c := newTestCore(250)
		now := time.Minute
		for range 20 {
			w := submit(c, 10*time.Second, now)
			Expect(w.permitID).NotTo(BeEmpty())
			finishRequest(c, w, now+time.Second)
			now += time.Minute
		}
		first, second := submit(c, 10*time.Second, now), submit(c, 10*time.Second, now)
		Expect(first.permitID).NotTo(BeEmpty())
		third := submit(c, 10*time.Second, now)
		Expect(second.done).To(BeFalse())
		Expect(third.done).To(BeFalse())
	})

	// Forty requests wait for an engine that serves one per second. A request with two seconds left
	// has to be refused at once; a refusal at its deadline would leave no time to retry elsewhere.
	It("are refused at once if they can't be served before their deadline", func() {
		c := newTestCore(250)
		now := time.Minute
		running := submit(c, time.Hour, now)
		var queued []*queuedRequest
		for range 40 {
			queued = append(queued, submit(c, time.Hour, now))
		}
		for range 20 {
			now += time.Second
			finishRequest(c, running, now)
			var next *queuedRequest
			for _, w := range queued {
				if _, open := c.permits[w.permitID]; w.permitID != "" && open {
					next = w
				}
			}
			Expect(next).NotTo(BeNil())
			running = next
		}
		late := submit(c, 2*time.Second, now)
		Expect(late.done).To(BeTrue())
		r := <-late.reply
		Expect(r.refusal.Reason).To(Equal(crocusreel.ReasonDeadlineUnreachable))
		Expect(r.refusal.RetryAfter).To(BeNumerically("~", 21*time.Second, 7*time.Second), fmt.Sprint(r.refusal))
	})

	It("are refused as queue_full, least urgent first, when there are too many", func() {
		c := newTestCore(250)
		submit(c, time.Hour, 0)
		for range c.pc.cfg.Limits.QueueLength {
			Expect(submit(c, time.Hour, 0).done).To(BeFalse())
		}
		last := submit(c, time.Hour, time.Second)
		Expect((<-last.reply).refusal.Reason).To(Equal(crocusreel.ReasonQueueFull))
	})
})
