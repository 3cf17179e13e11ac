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

	// The scheduler's gateway dies while answers run. Its successor knows nothing,
	// and would fill engines that are full already: callers would see stalls.
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

	// The answer with the grant is lost on the way, so that no gateway knows of the
	// permit. Nobody would ever release it, and the engine would seem fuller and
	// fuller.
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

	// A caller leaves while its request waits. If its place in the queue were kept,
	// a permit would be spent on nobody.
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
	// A gateway is the scheduler and has requests of its own in its queue when it
	// begins to leave. The pool moves; a request that stays behind is never served,
	// and the gateway's drain waits for it until the limit.
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
	// An engine announces that it will be reclaimed. Work that were still sent there
	// would be cut off.
	It("get no new work once they are leaving", func() {
		e1, e2 := newFakeEngine("e1", 1000000), newFakeEngine("e2", 1000)
		r := newTestRegion([]string{"a"}, e1, e2)
		m := r.managers["a"]
		// Until the first report of e1 has come, e2 gets the work.
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

	// The only engine is gone. A request that waited for its deadline would keep its
	// caller in the dark for nothing.
	It("are refused at once when none is left", func() {
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
	// A gateway loses an answer and at once asks again for the same request. If the
	// scheduler hears of the loss after that, it hands the request to one more engine
	// each time.
	It("is refused at the bound however fast it comes again", func() {
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
		Expect(err).To(MatchError(ContainSubstring(string(crocusreel.ReasonSuspect))))

		// The scheduler leaves within the second. Its successor must know the strikes,
		// or the request takes down as many engines again.
		Eventually(func() int { return len(m.permits.strikesFrom("m")) }, "800ms").Should(Equal(r.cfg.Limits.Strikes))
		r.leave(r.schedulerID())
		Eventually(func() (n int) {
			m.view.Load().byModel["m"].primary.stats(func(c *core) { n = c.suspects.Count(7, m.now()) })
			return n
		}, specTimeout).Should(Equal(r.cfg.Limits.Strikes))
	})

	// An engine drops a prompt's prefix from its cache while the scheduler still takes
	// it for the holder. Requests would go on crowding there for nothing.
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
