package scheduler

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/endpoint"
)

// testCore returns a core with one healthy engine of the given memory.
func testCore(capacity int) *core {
	e := newFakeEngine("e1", capacity)
	cfg := baseConfig(map[string]*fakeEngine{"e1": e})
	c := newCore("a", hooks{poll: func(string) {}, count: func(string, int64) {}})
	c.configure(poolConfig{spec: poolsOf(cfg, "r")["m"], cfg: cfg, share: 1, gateways: 1}, 0)
	c.polled(pollResult{engine: "e1", report: endpoint.LoadReport{KVCapacity: capacity, Incarnation: "1"}}, 0)
	return c
}

// ask enqueues a request and places what can be placed.
func ask(c *core, left, now time.Duration) *waiting {
	w := &waiting{req: request(1), deadline: now + left, reply: make(chan result, 1)}
	c.enqueue(w, now)
	c.dispatch(now)
	return w
}

// finish ends the answer of a granted request.
func finish(c *core, w *waiting, now time.Duration) {
	p := c.permits[w.granted].Permit
	p.Produced = 100
	c.release(&Release{Permit: p, End: EndFinished}, now)
	c.dispatch(now)
}

var _ = Describe("waiting requests", func() {
	// A quiet pool serves one request a minute since no more come. If that were taken
	// for what its engine can do, the first request that has to wait for another would
	// be told of a wait of minutes and refused.
	It("are not refused for the low rate of a quiet pool", func() {
		c := testCore(250)
		now := time.Minute
		for range 20 {
			w := ask(c, 10*time.Second, now)
			Expect(w.granted).NotTo(BeEmpty())
			finish(c, w, now+time.Second)
			now += time.Minute
		}
		first, second := ask(c, 10*time.Second, now), ask(c, 10*time.Second, now)
		Expect(first.granted).NotTo(BeEmpty())
		third := ask(c, 10*time.Second, now)
		Expect(second.done).To(BeFalse())
		Expect(third.done).To(BeFalse())
	})

	// Forty requests wait for an engine that serves one a second. A request with two
	// seconds left is told so at once; held until its deadline it would lose the time
	// to go elsewhere.
	It("are refused at once if they can't be served before their deadline", func() {
		c := testCore(250)
		now := time.Minute
		running := ask(c, time.Hour, now)
		var queued []*waiting
		for range 40 {
			queued = append(queued, ask(c, time.Hour, now))
		}
		for range 20 {
			now += time.Second
			finish(c, running, now)
			var next *waiting
			for _, w := range queued {
				if _, open := c.permits[w.granted]; w.granted != "" && open {
					next = w
				}
			}
			Expect(next).NotTo(BeNil())
			running = next
		}
		late := ask(c, 2*time.Second, now)
		Expect(late.done).To(BeTrue())
		r := <-late.reply
		Expect(r.refusal.Reason).To(Equal(crocusreel.ReasonDeadlineUnreachable))
		Expect(r.refusal.RetryAfter).To(BeNumerically("~", 21*time.Second, 7*time.Second), fmt.Sprint(r.refusal))
	})

	It("give up the least valued when there are too many", func() {
		c := testCore(250)
		ask(c, time.Hour, 0)
		for range c.pc.cfg.Limits.QueueLength {
			Expect(ask(c, time.Hour, 0).done).To(BeFalse())
		}
		last := ask(c, time.Hour, time.Second)
		Expect((<-last.reply).refusal.Reason).To(Equal(crocusreel.ReasonQueueFull))
	})
})
