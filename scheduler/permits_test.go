package scheduler

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/endpoint"
)

func refusalOf(err error) crocusreel.Reason {
	var r *crocusreel.Refusal
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

var _ = Describe("permits", func() {
	It("are granted by one gateway for all", func() {
		r := newTestRegion([]string{"a", "b", "c"}, newFakeEngine("e1", 100000), newFakeEngine("e2", 100000))
		for _, m := range r.managers {
			p, err := acquire(m, request(1))
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Endpoint).To(BeElementOf("e1", "e2"))
		}
		Eventually(openPermits(r.managers[r.schedulerID()]), specTimeout).Should(Equal(3))
	})

	It("return their memory when they are released", func() {
		r := newTestRegion([]string{"a", "b"}, newFakeEngine("e1", 100000))
		m := r.nonScheduler()
		p, err := acquire(m, request(1))
		Expect(err).NotTo(HaveOccurred())
		p.Produced = 10
		m.Release(Release{Permit: p, End: EndFinished})
		Eventually(openPermits(r.managers[r.schedulerID()]), specTimeout).Should(BeZero())
	})

	// The gateway that is the scheduler dies while requests run. Its successor has no permits yet
	// and would overload engines that are already full, so that callers see stalls.
	It("are rebuilt at the next scheduler when the first one dies", func() {
		r := newTestRegion([]string{"a", "b", "c"}, newFakeEngine("e1", 100000))
		m := r.nonScheduler()
		for range 5 {
			_, err := acquire(m, request(1))
			Expect(err).NotTo(HaveOccurred())
		}
		dead := r.schedulerID()
		r.servers[dead].CloseClientConnections()
		r.servers[dead].Close()
		delete(r.servers, dead)
		delete(r.managers, dead)
		r.apply()
		Expect(r.schedulerID()).NotTo(Equal(dead))
		Eventually(openPermits(r.managers[r.schedulerID()]), specTimeout).Should(Equal(5))
	})

	// The response with the grant is lost, so that no gateway knows the permit. Nobody releases it,
	// and the engine's free capacity appears to shrink with each such loss.
	It("do not leak when the answer with the grant is lost", func() {
		r := newTestRegion([]string{"a", "b"}, newFakeEngine("e1", 100000))
		m := r.nonScheduler()
		chosen := r.managers[r.schedulerID()]
		req := request(1)
		req.Gateway = m.opts.VMID
		_, err := chosen.view.Load().byModel["m"].primary.acquire(context.Background(), req)
		Expect(err).NotTo(HaveOccurred())
		Expect(openPermits(chosen)()).To(Equal(1))
		Eventually(openPermits(chosen), specTimeout).Should(BeZero())
	})

	// A caller cancels while its request is queued. If the request stayed in the queue, it would be
	// granted a permit that nobody uses.
	It("are not granted to callers that have left", func() {
		r := newTestRegion([]string{"a"}, newFakeEngine("e1", 250))
		m := r.managers["a"]
		p, err := acquire(m, request(1))
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err = m.Acquire(ctx, request(2))
		Expect(err).To(HaveOccurred())
		m.Release(Release{Permit: p, End: EndCancelled})
		Eventually(openPermits(m), specTimeout).Should(BeZero())
		Consistently(openPermits(m), "300ms").Should(BeZero())
	})

	It("are granted by a gateway alone if the scheduler can't be reached", func() {
		r := newTestRegion([]string{"a", "b"}, newFakeEngine("e1", 100000))
		m := r.nonScheduler()
		s := r.servers[r.schedulerID()]
		s.CloseClientConnections()
		s.Close()
		p, err := acquire(m, request(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Endpoint).To(Equal("e1"))
	})
})

var _ = Describe("waiting requests", func() {
	// A gateway that is the scheduler has queued requests of its own when it begins to leave, and
	// the pool moves. A request left in the old queue would never be served, and the gateway's
	// drain would wait for it until its time limit.
	It("follow the scheduler when it moves", func() {
		e := newFakeEngine("e1", 2000)
		e.report.Running, e.report.KVUsed = 1, 1900
		r := newTestRegion([]string{"a", "b"}, e)
		m := r.managers[r.schedulerID()]
		done := acquireAsync(m)
		Eventually(queuedRequests(m), specTimeout).Should(Equal(1))
		r.leave(r.schedulerID())
		e.set(func(f *fakeEngine) { f.report.Running, f.report.KVUsed = 0, 0 })
		Eventually(done, specTimeout).Should(Receive(BeNil()))
		Expect(queuedRequests(m)()).To(BeZero())
		Expect(openPermits(r.managers[r.schedulerID()])()).To(Equal(1))
	})
})

var _ = Describe("endpoints", func() {
	// An engine announces that it will be reclaimed. Requests sent there afterwards would be cut
	// off.
	It("get no new work once they are leaving", func() {
		e1, e2 := newFakeEngine("e1", 1000000), newFakeEngine("e2", 1000)
		r := newTestRegion([]string{"a"}, e1, e2)
		m := r.managers["a"]
		// e2 gets the requests until the first load report of e1 has arrived.
		Eventually(func() string {
			p, err := acquire(m, request(1))
			Expect(err).NotTo(HaveOccurred())
			m.Release(Release{Permit: p, End: EndCancelled})
			return p.Endpoint
		}, specTimeout).Should(Equal("e1"))
		e1.set(func(f *fakeEngine) { f.report.Leaving = true })
		Eventually(func() string {
			p, err := acquire(m, request(1))
			Expect(err).NotTo(HaveOccurred())
			m.Release(Release{Permit: p, End: EndCancelled})
			return p.Endpoint
		}, specTimeout).Should(Equal("e2"))
		for range 5 {
			p, err := acquire(m, request(1))
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Endpoint).To(Equal("e2"))
			m.Release(Release{Permit: p, End: EndCancelled})
		}
	})

	// The only engine is unreachable. A request that waited until its deadline would delay the
	// caller's error for nothing.
	It("lead to an immediate refusal when none is left", func() {
		e := newFakeEngine("e1", 100000)
		e.err = &endpoint.Error{Kind: endpoint.KindUnreachable, Outcome: crocusreel.OutcomeNotRun}
		r := newTestRegion([]string{"a", "b"}, e)
		_, err := acquire(r.nonScheduler(), request(1))
		Expect(refusalOf(err)).To(Equal(crocusreel.ReasonNoEndpoint))
	})

	It("void their permits when they come back as another incarnation", func() {
		e := newFakeEngine("e1", 100000)
		r := newTestRegion([]string{"a"}, e)
		m := r.managers["a"]
		_, err := acquire(m, request(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(openPermits(m)()).To(Equal(1))
		e.set(func(f *fakeEngine) { f.report.Incarnation = "e1-2" })
		Eventually(openPermits(m), specTimeout).Should(BeZero())
	})
})

var _ = Describe("a request that kills engines", func() {
	// A gateway loses an answer and immediately requests the same work again. If the scheduler
	// learned of the loss only afterwards, it would grant the request one more engine each time.
	It("is refused at the limit on strikes however soon it is repeated", func() {
		var engines []*fakeEngine
		for _, name := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
			engines = append(engines, newFakeEngine(name, 100000))
		}
		r := newTestRegion([]string{"a", "b"}, engines...)
		m := r.nonScheduler()
		for range r.cfg.Limits.Strikes {
			p, err := acquire(m, request(7))
			Expect(err).NotTo(HaveOccurred())
			r.engines[p.Endpoint].set(func(f *fakeEngine) {
				f.err = &endpoint.Error{Kind: endpoint.KindUnreachable, Outcome: crocusreel.OutcomeNotRun}
			})
			m.Release(Release{Permit: p, End: EndEndpointLost})
		}
		_, err := acquire(m, request(7))
		Expect(err).To(MatchError(ContainSubstring(string(crocusreel.ReasonSuspectRequest))))

		// The scheduler leaves within a second. Its successor has to know the strikes, or the
		// request kills as many engines again.
		Eventually(func() int { return len(m.permits.strikesFrom("m")) }, "800ms").Should(Equal(r.cfg.Limits.Strikes))
		r.leave(r.schedulerID())
		Eventually(func() (n int) {
			m.view.Load().byModel["m"].primary.stats(func(c *core) { n = c.suspects.Count(7, m.now()) })
			return n
		}, specTimeout).Should(Equal(r.cfg.Limits.Strikes))
	})

	// An engine evicts a prompt's prefix from its cache while the scheduler still lists the engine
	// as its holder. Requests would keep being routed there without a cache hit.
	It("are no longer preferred for a prefix that they dropped", func() {
		e := newFakeEngine("e1", 100000)
		r := newTestRegion([]string{"a"}, e)
		m := r.managers["a"]
		req := request(1)
		req.Prefixes = []uint64{5}
		_, err := acquire(m, req)
		Expect(err).NotTo(HaveOccurred())
		share := func() (share float64) {
			m.view.Load().byModel["m"].primary.stats(func(c *core) {
				_, share = c.prefix.Holders(req.Prefixes, m.now())
			})
			return share
		}
		Expect(share()).To(BeNumerically("==", 1))
		e.set(func(f *fakeEngine) { f.cache = []endpoint.CacheEvent{{Seq: 3, Prefix: 5}} })
		Eventually(share, specTimeout).Should(BeZero())
	})
})
