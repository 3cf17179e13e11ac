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
		r := newRegion([]string{"a", "b", "c"}, newFakeEngine("e1", 100000), newFakeEngine("e2", 100000))
		for _, m := range r.managers {
			p, err := acquire(m, request(1))
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Endpoint).To(BeElementOf("e1", "e2"))
		}
		Eventually(openAt(r.managers[r.scheduler()]), patience).Should(Equal(3))
	})

	It("return their memory when they are released", func() {
		r := newRegion([]string{"a", "b"}, newFakeEngine("e1", 100000))
		m := r.other()
		p, err := acquire(m, request(1))
		Expect(err).NotTo(HaveOccurred())
		p.Produced = 10
		m.Release(Release{Permit: p, End: EndFinished})
		Eventually(openAt(r.managers[r.scheduler()]), patience).Should(BeZero())
	})

	// The scheduler's gateway dies while answers run. Its successor knows nothing,
	// and would fill engines that are full already: callers would see stalls.
	It("are rebuilt at the next scheduler when the first one dies", func() {
		r := newRegion([]string{"a", "b", "c"}, newFakeEngine("e1", 100000))
		m := r.other()
		for range 5 {
			_, err := acquire(m, request(1))
			Expect(err).NotTo(HaveOccurred())
		}
		dead := r.scheduler()
		r.servers[dead].CloseClientConnections()
		r.servers[dead].Close()
		delete(r.servers, dead)
		delete(r.managers, dead)
		r.apply()
		Expect(r.scheduler()).NotTo(Equal(dead))
		Eventually(openAt(r.managers[r.scheduler()]), patience).Should(Equal(5))
	})

	// The answer with the grant is lost on the way, so that no gateway knows of the
	// permit. Nobody would ever release it, and the engine would seem fuller and
	// fuller.
	It("do not leak when the answer with the grant is lost", func() {
		r := newRegion([]string{"a", "b"}, newFakeEngine("e1", 100000))
		m := r.other()
		chosen := r.managers[r.scheduler()]
		req := request(1)
		req.Gateway = m.opts.VMID
		_, err := chosen.view.Load().pools["m"].main.acquire(context.Background(), req)
		Expect(err).NotTo(HaveOccurred())
		Expect(openAt(chosen)()).To(Equal(1))
		Eventually(openAt(chosen), patience).Should(BeZero())
	})

	// A caller leaves while its request waits. If its place in the queue were kept,
	// a permit would be spent on nobody.
	It("are not granted to callers that have left", func() {
		r := newRegion([]string{"a"}, newFakeEngine("e1", 250))
		m := r.managers["a"]
		p, err := acquire(m, request(1))
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err = m.Acquire(ctx, request(2))
		Expect(err).To(HaveOccurred())
		m.Release(Release{Permit: p, End: EndCancelled})
		Eventually(openAt(m), patience).Should(BeZero())
		Consistently(openAt(m), "300ms").Should(BeZero())
	})

	It("are granted by a gateway alone if the scheduler can't be reached", func() {
		r := newRegion([]string{"a", "b"}, newFakeEngine("e1", 100000))
		m := r.other()
		s := r.servers[r.scheduler()]
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
		r := newRegion([]string{"a", "b"}, e)
		m := r.managers[r.scheduler()]
		done := acquireLater(m)
		Eventually(waitingAt(m), patience).Should(Equal(1))
		r.leave(r.scheduler())
		e.set(func(f *fakeEngine) { f.report.Running, f.report.KVUsed = 0, 0 })
		Eventually(done, patience).Should(Receive(BeNil()))
		Expect(waitingAt(m)()).To(BeZero())
		Expect(openAt(r.managers[r.scheduler()])()).To(Equal(1))
	})
})

var _ = Describe("endpoints", func() {
	// An engine announces that it will be reclaimed. Work that were still sent there
	// would be cut off.
	It("get no new work once they are leaving", func() {
		e1, e2 := newFakeEngine("e1", 1000000), newFakeEngine("e2", 1000)
		r := newRegion([]string{"a"}, e1, e2)
		m := r.managers["a"]
		// Until the first report of e1 has come, e2 gets the work.
		Eventually(func() string {
			p, err := acquire(m, request(1))
			Expect(err).NotTo(HaveOccurred())
			m.Release(Release{Permit: p, End: EndCancelled})
			return p.Endpoint
		}, patience).Should(Equal("e1"))
		e1.set(func(f *fakeEngine) { f.report.Leaving = true })
		Eventually(func() string {
			p, err := acquire(m, request(1))
			Expect(err).NotTo(HaveOccurred())
			m.Release(Release{Permit: p, End: EndCancelled})
			return p.Endpoint
		}, patience).Should(Equal("e2"))
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
		r := newRegion([]string{"a", "b"}, e)
		_, err := acquire(r.other(), request(1))
		Expect(refusalOf(err)).To(Equal(crocusreel.ReasonNoEndpoint))
	})

	It("void their permits when they come back as another incarnation", func() {
		e := newFakeEngine("e1", 100000)
		r := newRegion([]string{"a"}, e)
		m := r.managers["a"]
		_, err := acquire(m, request(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(openAt(m)()).To(Equal(1))
		e.set(func(f *fakeEngine) { f.report.Incarnation = "e1-2" })
		Eventually(openAt(m), patience).Should(BeZero())
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
		r := newRegion([]string{"a", "b"}, engines...)
		m := r.other()
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

		// The scheduler leaves within the second. Its successor must know the strikes,
		// or the request takes down as many engines again.
		Eventually(func() int { return len(m.ledger.known("m")) }, "800ms").Should(Equal(r.cfg.Limits.Strikes))
		r.leave(r.scheduler())
		Eventually(func() (n int) {
			m.view.Load().pools["m"].main.stats(func(c *core) { n = c.suspects.Count(7, m.now()) })
			return n
		}, patience).Should(Equal(r.cfg.Limits.Strikes))
	})

	// An engine drops a prompt's prefix from its cache while the scheduler still takes
	// it for the holder. Requests would go on crowding there for nothing.
	It("are no longer preferred for a prefix that they dropped", func() {
		e := newFakeEngine("e1", 100000)
		r := newRegion([]string{"a"}, e)
		m := r.managers["a"]
		req := request(1)
		req.Prefixes = []uint64{5}
		_, err := acquire(m, req)
		Expect(err).NotTo(HaveOccurred())
		share := func() (share float64) {
			m.view.Load().pools["m"].main.stats(func(c *core) {
				_, share = c.prefix.Holders(req.Prefixes, m.now())
			})
			return share
		}
		Expect(share()).To(BeNumerically("==", 1))
		e.set(func(f *fakeEngine) { f.cache = []endpoint.CacheEvent{{Seq: 3, Prefix: 5}} })
		Eventually(share, patience).Should(BeZero())
	})
})
