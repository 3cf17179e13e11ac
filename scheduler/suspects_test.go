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

// enginesCore is a core with healthy engines whose deaths a spec brings about one event at
// a time, without the races of real polls.
type enginesCore struct {
	*core
	now    time.Duration
	starts map[string]int
}

func newEnginesCore(engines int) *enginesCore {
	cfg := baseConfig(nil)
	c := &enginesCore{
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
		c.poll(e.Name)
	}
	return c
}

// poll is an answer of the engine's present incarnation.
func (c *enginesCore) poll(name string) {
	c.now += time.Millisecond
	report := endpoint.LoadReport{KVCapacity: 100000, Incarnation: fmt.Sprint(name, "-", c.starts[name])}
	c.polled(pollResult{engine: name, report: report, begun: c.now}, c.now)
	c.dispatch(c.now)
}

func (c *enginesCore) restart(name string) { c.starts[name]++ }

// send asks for a place for a request; granted is empty while it waits.
func (c *enginesCore) send(fingerprint uint64) *waiting {
	c.now += time.Millisecond
	w := &waiting{req: request(fingerprint), reply: make(chan result, 1)}
	c.enqueue(w, c.now)
	c.dispatch(c.now)
	return w
}

// lose tells of the lost answer of a granted request.
func (c *enginesCore) lose(w *waiting) {
	c.now += time.Millisecond
	c.release(&Release{Permit: c.permits[w.granted].Permit, End: EndEndpointLost}, c.now)
	c.dispatch(c.now)
}

// kill is the death of the engine that runs a request, with all that tells of it.
func (c *enginesCore) kill(w *waiting) {
	name := c.permits[w.granted].Endpoint
	c.restart(name)
	c.lose(w)
	c.poll(name)
}

// refusalOfWaiting is the reason for which a request was refused, empty if it was not.
func refusalOfWaiting(w *waiting) crocusreel.Reason {
	select {
	case r := <-w.reply:
		if r.refusal != nil {
			return r.refusal.Reason
		}
	default:
	}
	return ""
}

// die lets the engine restart and the gateway lose the answer that ran there.
func die(m *Manager, e *fakeEngine, lost ...Permit) {
	e.set(func(f *fakeEngine) { f.report.Incarnation += "+" })
	for _, p := range lost {
		m.Release(Release{Permit: p, End: EndEndpointLost})
	}
}

// strikesOf reads the strikes against a request at a manager's pool.
func strikesOf(m *Manager, fingerprint uint64) func() int {
	return func() (n int) {
		pv := m.view.Load().pools["m"]
		pv.main.stats(func(c *core) { n = c.suspects.Count(fingerprint, m.now()) })
		return n
	}
}

var _ = Describe("a request that kills engines", func() {
	const deadly, innocent = 13, 14

	// A request crashes each engine that runs it, and its caller sends it again and
	// again under new keys. Unchecked it takes the region's engines down one after
	// the other, and every caller there loses its answer with them.
	It("is refused after the bound, and the requests beside it are not", func() {
		e1, e2 := newFakeEngine("e1", 100000), newFakeEngine("e2", 100000)
		r := newRegion([]string{"a"}, e1, e2)
		m := r.managers["a"]
		engines := map[string]*fakeEngine{"e1": e1, "e2": e2}
		for n := range 3 {
			p, err := acquire(m, request(deadly))
			Expect(err).NotTo(HaveOccurred(), "attempt %d", n)
			beside, err := acquire(m, request(innocent))
			Expect(err).NotTo(HaveOccurred())
			if beside.Endpoint == p.Endpoint {
				die(m, engines[p.Endpoint], p, beside)
			} else {
				die(m, engines[p.Endpoint], p)
				m.Release(Release{Permit: beside, End: EndFinished})
			}
			Eventually(strikesOf(m, deadly), patience).Should(Equal(n + 1))
		}
		_, err := acquire(m, request(deadly))
		Expect(refusalOf(err)).To(Equal(crocusreel.ReasonSuspectRequest))
		p, err := acquire(m, request(innocent))
		Expect(err).NotTo(HaveOccurred())
		m.Release(Release{Permit: p, End: EndFinished})
		Eventually(strikesOf(m, innocent), patience).Should(BeZero())
	})

	// The link to an engine breaks, and all its answers are lost at once. Nobody is
	// to blame, and none of these requests may be refused for it.
	It("is not suspected when only the link broke", func() {
		e := newFakeEngine("e1", 100000)
		r := newRegion([]string{"a"}, e)
		m := r.managers["a"]
		for range 4 {
			p, err := acquire(m, request(innocent))
			Expect(err).NotTo(HaveOccurred())
			m.Release(Release{Permit: p, End: EndEndpointLost})
			Eventually(openAt(m), patience).Should(BeZero())
		}
		_, err := acquire(m, request(innocent))
		Expect(err).NotTo(HaveOccurred())
		Expect(strikesOf(m, innocent)()).To(BeZero())
	})

	// An engine is reclaimed by its owner with answers on it. They were cut off, but
	// not through their own fault.
	It("is not suspected when the engine was reclaimed", func() {
		e := newFakeEngine("e1", 100000)
		r := newRegion([]string{"a"}, e)
		m := r.managers["a"]
		p, err := acquire(m, request(innocent))
		Expect(err).NotTo(HaveOccurred())
		e.set(func(f *fakeEngine) { f.report.Leaving = true })
		leaving := func() (leaving bool) {
			m.view.Load().pools["m"].main.stats(func(c *core) { leaving = c.engines["e1"].leaving })
			return leaving
		}
		Eventually(leaving, patience).Should(BeTrue())
		e.set(func(f *fakeEngine) { f.report.Incarnation, f.report.Leaving = "e1-2", false })
		m.Release(Release{Permit: p, End: EndEndpointLost})
		Eventually(leaving, patience).Should(BeFalse())
		Expect(strikesOf(m, innocent)()).To(BeZero())
	})

	// The gateway that counted the strikes dies. If its successor began anew, the
	// deadly request would take down as many engines again.
	It("is known to the next scheduler", func() {
		e := newFakeEngine("e1", 100000)
		r := newRegion([]string{"a", "b", "c"}, e)
		m := r.other()
		for n := range 3 {
			p, err := acquire(m, request(deadly))
			Expect(err).NotTo(HaveOccurred())
			die(m, e, p)
			Eventually(strikesOf(r.managers[r.scheduler()], deadly), patience).Should(Equal(n + 1))
		}
		Eventually(func() int { return len(m.ledger.known("m")) }, patience).Should(Equal(3))
		dead := r.scheduler()
		r.servers[dead].CloseClientConnections()
		r.servers[dead].Close()
		delete(r.servers, dead)
		delete(r.managers, dead)
		r.apply()
		Eventually(strikesOf(r.managers[r.scheduler()], deadly), patience).Should(Equal(3))
		_, err := acquire(r.managers[r.scheduler()], request(deadly))
		Expect(refusalOf(err)).To(Equal(crocusreel.ReasonSuspectRequest))
	})

	// The scheduler can't be reached right after the first death, before it told the
	// gateway of a strike. The gateway decides alone, and would begin to count anew: the
	// request would kill one engine more than the bound.
	It("is refused at the bound where the scheduler is lost between two deaths", func() {
		var engines []*fakeEngine
		for _, name := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
			engines = append(engines, newFakeEngine(name, 100000))
		}
		r := newRegion([]string{"a", "b"}, engines...)
		m := r.other()
		for n := range r.cfg.Limits.Strikes {
			p, err := acquire(m, request(deadly))
			Expect(err).NotTo(HaveOccurred(), "attempt %d", n)
			die(m, r.engines[p.Endpoint], p)
			if n == 0 {
				r.servers[r.scheduler()].CloseClientConnections()
				r.servers[r.scheduler()].Close()
			}
		}
		_, err := acquire(m, request(deadly))
		Expect(refusalOf(err)).To(Equal(crocusreel.ReasonSuspectRequest))
	})

	// A gateway takes over as scheduler while an engine that died is starting again. It
	// has never seen the engine before, so that the new incarnation is nothing new to it.
	It("gets its strike from a scheduler that has only seen the engine's new incarnation", func() {
		e := newFakeEngine("e1", 100000)
		r := newRegion([]string{"a"}, e)
		m := r.managers["a"]
		req := request(deadly)
		req.Losses = []Permit{{ID: "granted elsewhere", Endpoint: "e1", Model: "m", Fingerprint: deadly, Incarnation: "e1-0"}}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		_, err := m.view.Load().pools["m"].main.acquire(ctx, req)
		Expect(err).NotTo(HaveOccurred())
		Expect(strikesOf(m, deadly)()).To(Equal(1))
	})

	// A caller whose request has just killed a third engine sends it again at once. The
	// scheduler has heard of the lost answer but not yet why it was lost, so the request is
	// held back until the engine is polled. The poll shows the death: with it the request has
	// as many strikes as the bound, and it must be refused then. In the log of a failing run
	// "permit granted" with strikes=3 comes in the same millisecond as "strike", and a fourth
	// engine dies with every answer on it.
	It("is refused if the loss that it waited for turns out to be the last death allowed", func() {
		c := newEnginesCore(4)
		for range 2 {
			c.kill(c.send(deadly))
		}
		third := c.send(deadly)
		engine := c.permits[third.granted].Endpoint
		c.restart(engine)
		c.lose(third)
		again := c.send(deadly)
		Expect(again.done).To(BeFalse(), "held back")
		c.poll(engine)
		Expect(again.granted).To(BeEmpty())
		Expect(refusalOfWaiting(again)).To(Equal(crocusreel.ReasonSuspectRequest))
	})

	// A caller sends a request several times at once, and it crashes the engine that runs it.
	// Its first death is known when the next ones are placed. If each got an engine they would
	// all die together, before any of these deaths could be counted: as many as there are
	// copies, for a bound of three.
	It("runs at no more engines at once than it may still kill", func() {
		c := newEnginesCore(6)
		c.kill(c.send(deadly))
		var copies []*waiting
		for range 5 {
			copies = append(copies, c.send(deadly))
		}
		deaths := 1
		for range copies {
			for _, w := range copies {
				if _, open := c.permits[w.granted]; open {
					c.kill(w)
					deaths++
				}
			}
		}
		Expect(deaths).To(Equal(c.pc.cfg.Limits.Strikes))
		refused := 0
		for _, w := range copies {
			if refusalOfWaiting(w) == crocusreel.ReasonSuspectRequest {
				refused++
			}
		}
		Expect(refused).To(Equal(len(copies) - (deaths - 1)))
	})

	// An engine dies of something else while it runs a prompt that many callers send alike.
	// They wait for the first of them to have its answer; then nothing is held against the
	// prompt, and it may run everywhere again.
	It("waits no longer than for the first whole answer if it is innocent", func() {
		c := newEnginesCore(6)
		for range 2 {
			c.kill(c.send(innocent))
		}
		var copies []*waiting
		for range 5 {
			copies = append(copies, c.send(innocent))
		}
		granted := func() (n int) {
			for _, w := range copies {
				if w.granted != "" {
					n++
				}
			}
			return n
		}
		Expect(granted()).To(Equal(1))
		c.release(&Release{Permit: c.permits[copies[0].granted].Permit, End: EndFinished}, c.now)
		c.dispatch(c.now)
		Expect(granted()).To(Equal(len(copies)))
	})
})
