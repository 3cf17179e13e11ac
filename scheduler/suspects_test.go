package scheduler

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/endpoint"
)

// multiEngineCore is a core with healthy engines. Specs trigger engine deaths one event at a time,
// without the races of real polls.
type multiEngineCore struct {
	*core
	now    time.Duration
	starts map[string]int
}

func newMultiEngineCore(engines int) *multiEngineCore {
	cfg := baseConfig(nil)
	c := &multiEngineCore{
		core:   newCore("a", hooks{poll: func(string) {}, count: func(string, int64) {}}),
		now:    time.Minute,
		starts: make(map[string]int),
	}
	for n := range engines {
		name := fmt.Sprint("e", n+1)
		cfg.Endpoints = append(cfg.Endpoints, config.EndpointSpec{
			Name: name, Kind: config.KindEngine, Address: name, Region: "r", Models: []string{"m"},
		})
	}
	c.configure(poolConfig{spec: poolsOf(cfg, "r")["m"], cfg: cfg, share: 1, gateways: 1}, 0)
	for _, e := range cfg.Endpoints {
		c.pollEngine(e.Name)
	}
	return c
}

// pollEngine applies a poll answered by the engine's current incarnation.
func (c *multiEngineCore) pollEngine(name string) {
	c.now += time.Millisecond
	report := endpoint.LoadReport{KVCapacity: 100000, Incarnation: fmt.Sprint(name, "-", c.starts[name])}
	c.applyPoll(pollResult{engine: name, report: report, startedAt: c.now}, c.now)
	c.dispatch(c.now)
}

func (c *multiEngineCore) restart(name string) { c.starts[name]++ }

// submit enqueues a request and dispatches; permitID is empty while the request waits.
func (c *multiEngineCore) submit(fingerprint uint64) *queuedRequest {
	c.now += time.Millisecond
	w := &queuedRequest{req: request(fingerprint), reply: make(chan result, 1)}
	c.enqueue(w, c.now)
	c.dispatch(c.now)
	return w
}

// loseAnswer reports the lost answer of a granted request.
func (c *multiEngineCore) loseAnswer(w *queuedRequest) {
	c.now += time.Millisecond
	c.release(&Release{Permit: c.permits[w.permitID].Permit, End: EndEndpointLost}, c.now)
	c.dispatch(c.now)
}

// killEngineOf restarts the engine that runs a request, with the lost answer and the poll that
// follow.
func (c *multiEngineCore) killEngineOf(w *queuedRequest) {
	name := c.permits[w.permitID].Endpoint
	c.restart(name)
	c.loseAnswer(w)
	c.pollEngine(name)
}

// refusalOfQueued returns the reason for which a request was refused, or an empty string if it was
// not.
func refusalOfQueued(w *queuedRequest) crocusreel.Reason {
	select {
	case r := <-w.reply:
		if r.refusal != nil {
			return r.refusal.Reason
		}
	default:
	}
	return ""
}

// crashEngine changes the engine's incarnation and reports the given permits as lost with it.
func crashEngine(m *Manager, e *fakeEngine, lost ...Permit) {
	e.set(func(f *fakeEngine) { f.report.Incarnation += "+" })
	for _, p := range lost {
		m.Release(Release{Permit: p, End: EndEndpointLost})
	}
}

// strikesOf counts the strikes against a request in a manager's primary pool.
func strikesOf(m *Manager, fingerprint uint64) func() int {
	return func() (n int) {
		pv := m.view.Load().byModel["m"]
		pv.primary.stats(func(c *core) { n = c.suspects.Count(fingerprint, m.now()) })
		return n
	}
}

var _ = Describe("a request that kills engines", func() {
	const deadly, innocent = 13, 14

	// A request crashes each engine that runs it, and its caller repeats it under new keys. Without
	// a limit it takes down the engines of the region one after the other, and every answer
	// in progress there is lost.
	It("is refused at the limit on strikes, and the requests that ran next to it are not", func() {
		e1, e2 := newFakeEngine("e1", 100000), newFakeEngine("e2", 100000)
		r := newTestRegion([]string{"a"}, e1, e2)
		m := r.managers["a"]
		engines := map[string]*fakeEngine{"e1": e1, "e2": e2}
		for n := range 3 {
			p, err := acquire(m, request(deadly))
			Expect(err).NotTo(HaveOccurred(), "attempt %d", n)
			beside, err := acquire(m, request(innocent))
			Expect(err).NotTo(HaveOccurred())
			if beside.Endpoint == p.Endpoint {
				crashEngine(m, engines[p.Endpoint], p, beside)
			} else {
				crashEngine(m, engines[p.Endpoint], p)
				m.Release(Release{Permit: beside, End: EndFinished})
			}
			Eventually(strikesOf(m, deadly), specTimeout).Should(Equal(n + 1))
		}
		_, err := acquire(m, request(deadly))
		Expect(refusalOf(err)).To(Equal(crocusreel.ReasonSuspectRequest))
		p, err := acquire(m, request(innocent))
		Expect(err).NotTo(HaveOccurred())
		m.Release(Release{Permit: p, End: EndFinished})
		Eventually(strikesOf(m, innocent), specTimeout).Should(BeZero())
	})

	// The connection to an engine breaks and its answers are lost, but the engine lives on. No
	// request may be refused because of that.
	It("is not suspected when only the connection broke", func() {
		e := newFakeEngine("e1", 100000)
		r := newTestRegion([]string{"a"}, e)
		m := r.managers["a"]
		for range 4 {
			p, err := acquire(m, request(innocent))
			Expect(err).NotTo(HaveOccurred())
			m.Release(Release{Permit: p, End: EndEndpointLost})
			Eventually(openPermits(m), specTimeout).Should(BeZero())
		}
		_, err := acquire(m, request(innocent))
		Expect(err).NotTo(HaveOccurred())
		Expect(strikesOf(m, innocent)()).To(BeZero())
	})

	// An engine is reclaimed by its owner while it runs requests. They are cut off, but did not
	// cause the stop.
	It("is not suspected when the engine was reclaimed", func() {
		e := newFakeEngine("e1", 100000)
		r := newTestRegion([]string{"a"}, e)
		m := r.managers["a"]
		p, err := acquire(m, request(innocent))
		Expect(err).NotTo(HaveOccurred())
		e.set(func(f *fakeEngine) { f.report.Leaving = true })
		leaving := func() (leaving bool) {
			m.view.Load().byModel["m"].primary.stats(func(c *core) { leaving = c.engines["e1"].leaving })
			return leaving
		}
		Eventually(leaving, specTimeout).Should(BeTrue())
		e.set(func(f *fakeEngine) { f.report.Incarnation, f.report.Leaving = "e1-2", false })
		m.Release(Release{Permit: p, End: EndEndpointLost})
		Eventually(leaving, specTimeout).Should(BeFalse())
		Expect(strikesOf(m, innocent)()).To(BeZero())
	})

	// The gateway that counted the strikes dies. If its successor counted from zero, the request
	// would kill as many engines again.
	It("is known to the next scheduler", func() {
		e := newFakeEngine("e1", 100000)
		r := newTestRegion([]string{"a", "b", "c"}, e)
		m := r.nonScheduler()
		for n := range 3 {
			p, err := acquire(m, request(deadly))
			Expect(err).NotTo(HaveOccurred())
			crashEngine(m, e, p)
			Eventually(strikesOf(r.managers[r.schedulerID()], deadly), specTimeout).Should(Equal(n + 1))
		}
		Eventually(func() int { return len(m.permits.strikesFrom("m")) }, specTimeout).Should(Equal(3))
		dead := r.schedulerID()
		r.servers[dead].CloseClientConnections()
		r.servers[dead].Close()
		delete(r.servers, dead)
		delete(r.managers, dead)
		r.apply()
		Eventually(strikesOf(r.managers[r.schedulerID()], deadly), specTimeout).Should(Equal(3))
		_, err := acquire(r.managers[r.schedulerID()], request(deadly))
		Expect(refusalOf(err)).To(Equal(crocusreel.ReasonSuspectRequest))
	})

	// The scheduler becomes unreachable right after the first death, before it has sent the strike
	// to the gateway. If the gateway's fallback pool counted from zero, the request would kill one
	// engine more than the limit.
	It("is refused at the limit on strikes if the scheduler is lost between two deaths", func() {
		var engines []*fakeEngine
		for _, name := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
			engines = append(engines, newFakeEngine(name, 100000))
		}
		r := newTestRegion([]string{"a", "b"}, engines...)
		m := r.nonScheduler()
		for n := range r.cfg.Limits.Strikes {
			p, err := acquire(m, request(deadly))
			Expect(err).NotTo(HaveOccurred(), "attempt %d", n)
			crashEngine(m, r.engines[p.Endpoint], p)
			if n == 0 {
				r.servers[r.schedulerID()].CloseClientConnections()
				r.servers[r.schedulerID()].Close()
			}
		}
		_, err := acquire(m, request(deadly))
		Expect(refusalOf(err)).To(Equal(crocusreel.ReasonSuspectRequest))
	})

	// A gateway becomes the scheduler while an engine that died restarts. It has not seen the old
	// incarnation, so it cannot detect the death by a change of incarnation.
	It("gets its strike from a scheduler that has only seen the engine's new incarnation", func() {
		e := newFakeEngine("e1", 100000)
		r := newTestRegion([]string{"a"}, e)
		m := r.managers["a"]
		req := request(deadly)
		req.Losses = []Permit{{ID: "granted elsewhere", Endpoint: "e1", Model: "m", Fingerprint: deadly, Incarnation: "e1-0"}}
		ctx, cancel := context.WithTimeout(context.Background(), specTimeout)
		defer cancel()
		_, err := m.view.Load().byModel["m"].primary.acquire(ctx, req)
		Expect(err).NotTo(HaveOccurred())
		Expect(strikesOf(m, deadly)()).To(Equal(1))
	})

	// A request that killed a third engine is repeated and held back until a poll explains the loss.
	// That poll adds the last strike allowed. A failing run logs "permit granted" with strikes=3 in
	// the same millisecond as "strike", and a fourth engine dies with all its answers.
	It("is refused if the loss that it waited for turns out to be the last death allowed", func() {
		c := newMultiEngineCore(4)
		for range 2 {
			c.killEngineOf(c.submit(deadly))
		}
		third := c.submit(deadly)
		engine := c.permits[third.permitID].Endpoint
		c.restart(engine)
		c.loseAnswer(third)
		again := c.submit(deadly)
		Expect(again.done).To(BeFalse(), "held back")
		c.pollEngine(engine)
		Expect(again.permitID).To(BeEmpty())
		Expect(refusalOfQueued(again)).To(Equal(crocusreel.ReasonSuspectRequest))
	})

	// Several copies of a request that crashes engines are sent at once, after its first death is
	// known. If each copy got an engine, all would die before their deaths are counted: as many
	// engines as copies, with a limit of three.
	It("never runs at more engines at once than it has strikes left", func() {
		c := newMultiEngineCore(6)
		c.killEngineOf(c.submit(deadly))
		var copies []*queuedRequest
		for range 5 {
			copies = append(copies, c.submit(deadly))
		}
		deaths := 1
		for range copies {
			for _, w := range copies {
				if _, open := c.permits[w.permitID]; open {
					c.killEngineOf(w)
					deaths++
				}
			}
		}
		Expect(deaths).To(Equal(c.pc.cfg.Limits.Strikes))
		refused := 0
		for _, w := range copies {
			if refusalOfQueued(w) == crocusreel.ReasonSuspectRequest {
				refused++
			}
		}
		Expect(refused).To(Equal(len(copies) - (deaths - 1)))
	})

	// An engine dies of another cause while it runs a prompt that many callers send. Copies wait
	// for the first complete answer, which clears the strikes, and may then run on all engines
	// again.
	It("waits only for the first complete answer if it is innocent", func() {
		c := newMultiEngineCore(6)
		for range 2 {
			c.killEngineOf(c.submit(innocent))
		}
		var copies []*queuedRequest
		for range 5 {
			copies = append(copies, c.submit(innocent))
		}
		granted := func() (n int) {
			for _, w := range copies {
				if w.permitID != "" {
					n++
				}
			}
			return n
		}
		Expect(granted()).To(Equal(1))
		c.release(&Release{Permit: c.permits[copies[0].permitID].Permit, End: EndFinished}, c.now)
		c.dispatch(c.now)
		Expect(granted()).To(Equal(len(copies)))
	})
})
