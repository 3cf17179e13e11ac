package fleet_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/routing"
)

var (
	// pool is an engine service with engines of the size that users run.
	pool = &routing.Service{Name: "pool", Engine: &routing.EngineSpec{Slots: 24, CacheTokens: 34_000, BytesPerToken: 18_432, LinkMbps: 2700}}
	app  = &routing.Service{Name: "app"}
)

type fixture struct {
	*fleet.Fleet
	now time.Duration
}

func newFixture() *fixture {
	w := &fixture{now: time.Hour}
	w.Fleet = fleet.New("dc1", func() time.Duration { return w.now })
	return w
}

func (w *fixture) addEngine(id, dataCentre string) {
	w.Update(fleet.Instance{ID: id, Service: "pool", Address: id, DataCentre: dataCentre, Slots: 24})
}

func (w *fixture) addPlain(id string) {
	w.Update(fleet.Instance{ID: id, Service: "app", Address: id, DataCentre: "dc1", Slots: 6})
}

func generation(prompt, output int) fleet.Work {
	return fleet.Work{Service: pool, Demand: fleet.Demand{Prompt: prompt, Output: output}}
}

func (w *fixture) mustPlace(want fleet.Work) *fleet.Placement {
	GinkgoHelper()
	p, refusal := w.Acquire(context.Background(), want, 0)
	Expect(refusal).To(BeNil())
	return p
}

// placeRunning places a generation and marks its prefill as complete.
func (w *fixture) placeRunning(want fleet.Work) *fleet.Placement {
	GinkgoHelper()
	p := w.mustPlace(want)
	p.SetProduced(1)
	return p
}

// enqueue starts a request that has to wait. Once the request is placed, it sends its name to order
// and releases the placement.
func (w *fixture) enqueue(order chan<- string, name string, want fleet.Work) {
	GinkgoHelper()
	waiting := w.Waiting("pool")
	go func() {
		defer GinkgoRecover()
		p, refusal := w.Acquire(context.Background(), want, 5*time.Second)
		Expect(refusal).To(BeNil())
		order <- name
		p.Release(fleet.Good)
	}()
	Eventually(func() int { return w.Waiting("pool") }).Should(Equal(waiting + 1))
}

func (w *fixture) mustRefuse(want fleet.Work) *crocusreel.Refusal {
	GinkgoHelper()
	p, refusal := w.Acquire(context.Background(), want, 0)
	Expect(p).To(BeNil())
	return refusal
}

var _ = Describe("placement on engines", func() {
	// Guards against reserving more memory than an engine has: answers that do not fit together are
	// preempted midway, and their callers see a stall.
	It("reserves no more memory than an engine has, over all nodes together", func() {
		w := newFixture()
		w.addEngine("e1", "dc1")
		w.SetRemote("node2", []fleet.Load{{Key: fleet.Incarnation{ID: "e1"}.Key(), Count: 3, Tokens: 20_000}}, nil)
		w.placeRunning(generation(3000, 2000))
		w.placeRunning(generation(3000, 2000))
		refusal := w.mustRefuse(generation(3000, 4000))
		Expect(refusal.Reason).To(Equal(crocusreel.ReasonQueueFull))
		Expect(refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		w.SetRemote("node2", nil, nil)
		w.mustPlace(generation(3000, 4000))
	})

	// Guards against prompts that queue on one engine while others are idle: five callers of
	// different nodes arrive within 100 ms, and the last would wait two seconds for its first
	// event.
	It("spreads prompts that are pending prefill", func() {
		w := newFixture()
		for _, id := range []string{"e1", "e2", "e3"} {
			w.addEngine(id, "dc1")
		}
		w.SetRemote("node2", []fleet.Load{
			{Key: fleet.Incarnation{ID: "e1"}.Key(), Count: 1, Tokens: 3000, PendingPrefill: 3000},
			{Key: fleet.Incarnation{ID: "e2"}.Key(), Count: 1, Tokens: 3000, PendingPrefill: 3000},
		}, nil)
		Expect(w.mustPlace(generation(3000, 500)).Instance().ID).To(Equal("e3"))
	})

	It("prefers the local data centre while loads are equal, and another one when they are not", func() {
		w := newFixture()
		w.addEngine("near", "dc1")
		w.addEngine("far", "dc2")
		Expect(w.mustPlace(generation(1000, 100)).Instance().ID).To(Equal("near"))
		w.SetRemote("node2", []fleet.Load{{Key: fleet.Incarnation{ID: "near"}.Key(), Count: 4, Tokens: 16_000}}, nil)
		Expect(w.mustPlace(generation(1000, 100)).Instance().ID).To(Equal("far"))
	})

	It("places nothing on an engine that is leaving", func() {
		w := newFixture()
		w.addEngine("e1", "dc1")
		p := w.mustPlace(generation(1000, 100))
		w.Update(fleet.Instance{ID: "e1", Service: "pool", Leaving: true, Slots: 24})
		Expect(p.Leaving()).To(BeClosed())
		Expect(w.mustRefuse(generation(1000, 100)).Reason).To(Equal(crocusreel.ReasonNoEndpoint))
	})

	It("releases memory exactly once", func() {
		w := newFixture()
		w.addEngine("e1", "dc1")
		p := w.mustPlace(generation(20_000, 8000))
		p.SetProduced(12_000)
		p.Release(fleet.Good)
		p.Release(fleet.Good)
		Expect(w.OwnLoads()).To(BeEmpty())
		w.mustPlace(generation(20_000, 8000))
	})
})

var _ = Describe("engines with pending prefill", func() {
	// Guards against long prompts that pile up on an engine with much free memory, such as one that
	// has just started: their first events are late although another engine could prefill them.
	It("get no further prompt while half a second of prefill is pending", func() {
		w := newFixture()
		w.addEngine("e1", "dc1")
		first := w.mustPlace(generation(4000, 500))
		second := w.mustPlace(generation(4000, 500))
		Expect(w.mustRefuse(generation(1000, 500)).Reason).To(Equal(crocusreel.ReasonQueueFull))
		first.SetProduced(1)
		w.mustPlace(generation(1000, 500))
		second.SetProduced(1)
	})
})

var _ = Describe("waiting work", func() {
	// A burst fills all engines. Freed capacity goes to the most urgent request, regardless of the
	// order of arrival.
	It("is placed in the order of its rank", func() {
		w := newFixture()
		w.addEngine("e1", "dc1")
		holder := w.mustPlace(generation(30_000, 1000))
		order := make(chan string, 2)
		wait := func(name string, rank int) {
			want := generation(25_000, 1000)
			want.Rank = rank
			w.enqueue(order, name, want)
		}
		wait("second", 2)
		wait("first", 1)
		holder.Release(fleet.Good)
		Expect(<-order).To(Equal("first"))
		Expect(<-order).To(Equal("second"))
	})

	It("lets a small request pass a large one that does not fit", func() {
		w := newFixture()
		w.addEngine("e1", "dc1")
		w.placeRunning(generation(20_000, 0))
		go func() { _, _ = w.Acquire(context.Background(), generation(30_000, 0), 2*time.Second) }()
		Eventually(func() int { return w.Waiting("pool") }).Should(Equal(1))
		_, refusal := w.Acquire(context.Background(), generation(2000, 100), time.Second)
		Expect(refusal).To(BeNil())
	})

	// Guards against an overload in which a queue ordered by age alone makes every answer late.
	// Work that can still start in time goes first.
	It("that is already late is served after work that can still start in time", func() {
		w := newFixture()
		w.addEngine("e1", "dc1")
		holder := w.placeRunning(generation(30_000, 1000))
		order := make(chan string, 2)
		wait := func(name string, within time.Duration) {
			want := generation(15_000, 1000)
			want.StartWithin = within
			w.enqueue(order, name, want)
		}
		wait("late", time.Second)
		w.now += 2 * time.Second
		wait("in time", time.Second)
		holder.Release(fleet.Good)
		Expect(<-order).To(Equal("in time"))
		Expect(<-order).To(Equal("late"))
	})

	// Guards against short answers, which need a placement for half a second, that wait behind long
	// ones while every engine is filled with long answers.
	It("with a short answer passes long ones", func() {
		w := newFixture()
		w.addEngine("e1", "dc1")
		w.placeRunning(generation(32_000, 2000))
		go func() { _, _ = w.Acquire(context.Background(), generation(5000, 1000), 2*time.Second) }()
		Eventually(func() int { return w.Waiting("pool") }).Should(Equal(1))
		w.SetRemote("node2", nil, []fleet.WaitingWork{{Queue: fleet.LongQueue("pool"), Rank: 0, Waited: time.Second}})
		_, refusal := w.Acquire(context.Background(), generation(2500, 30), time.Second)
		Expect(refusal).To(BeNil())
	})

	It("is refused after its maximum wait and holds no placement then", func() {
		w := newFixture()
		w.addEngine("e1", "dc1")
		holder := w.mustPlace(generation(30_000, 1000))
		_, refusal := w.Acquire(context.Background(), generation(30_000, 1000), 10*time.Millisecond)
		Expect(refusal.Reason).To(Equal(crocusreel.ReasonQueueFull))
		holder.Release(fleet.Good)
		Expect(w.Waiting("pool")).To(BeZero())
		w.mustPlace(generation(30_000, 1000))
	})
})

var _ = Describe("endpoints that fail", func() {
	call := fleet.Work{Service: app}

	// Guards against an endpoint that fails most of its requests while its health check passes.
	// Without ejection a third of all calls would keep failing.
	It("are ejected for some time and tried again", func() {
		w := newFixture()
		w.addPlain("grey")
		w.addPlain("good")
		for range 20 {
			p := w.mustPlace(call)
			if p.Instance().ID == "grey" {
				p.Release(fleet.Failed)
			} else {
				p.Release(fleet.Good)
			}
		}
		for range 50 {
			p := w.mustPlace(call)
			Expect(p.Instance().ID).To(Equal("good"))
			p.Release(fleet.Good)
		}
		w.now += 10 * time.Second
		seen := map[string]bool{}
		for range 50 {
			p := w.mustPlace(call)
			seen[p.Instance().ID] = true
			p.Release(fleet.Good)
		}
		Expect(seen).To(HaveKey("grey"))
	})

	// An on-call engineer needs to see when and why an endpoint was excluded and when it was
	// readmitted. A report of each failure would flood the log.
	It("are reported when they are excluded and when they are readmitted", func() {
		w := newFixture()
		var exclusions []fleet.Exclusion
		w.OnExclusion = func(e fleet.Exclusion) { exclusions = append(exclusions, e) }
		w.addPlain("grey")
		for range 8 {
			w.mustPlace(call).Release(fleet.Failed)
		}
		Expect(exclusions).To(HaveLen(1))
		Expect(exclusions[0].Excluded).To(BeTrue())
		Expect(exclusions[0].Instance.ID).To(Equal("grey"))
		Expect(exclusions[0].Cause.String()).To(Equal("failed"))
		Expect(exclusions[0].Duration).To(BeNumerically(">", time.Second))
		w.now += 10 * time.Second
		w.mustPlace(call).Release(fleet.Good)
		w.mustPlace(call).Release(fleet.Good)
		Expect(exclusions).To(HaveLen(2))
		Expect(exclusions[1].Excluded).To(BeFalse())
	})

	// Guards against excluding all endpoints of a service that fail at once, which would refuse
	// every call although some would succeed.
	It("stay in use when no other is left", func() {
		w := newFixture()
		w.addPlain("only")
		for range 10 {
			w.mustPlace(call).Release(fleet.Failed)
		}
		Expect(w.mustPlace(call).Instance().ID).To(Equal("only"))
	})

	It("are excluded at once when they refuse connections", func() {
		w := newFixture()
		w.addPlain("dead")
		w.addPlain("good")
		for w.mustPlace(call).Instance().ID != "dead" {
		}
		w = newFixture()
		w.addPlain("dead")
		w.mustPlace(call).Release(fleet.Unreachable)
		w.addPlain("good")
		for range 10 {
			Expect(w.mustPlace(call).Instance().ID).To(Equal("good"))
		}
	})
})

var _ = Describe("endpoints whose store entries disappear", func() {
	// Guards against dropping live endpoints after the store was down for longer than the heartbeat
	// timeout and has expired their entries: no endpoint would be left.
	It("stay in use after an outage until they are known to be gone", func() {
		w := newFixture()
		w.addEngine("e1", "dc1")
		w.Replace(nil, true)
		p := w.mustPlace(generation(1000, 100))
		Expect(p.Leaving()).NotTo(BeClosed())
		w.now += 2 * time.Second
		Expect(w.MissingCount()).To(Equal(1))
		Expect(p.Leaving()).NotTo(BeClosed())
		w.addEngine("e1", "dc1")
		w.now += time.Minute
		Expect(w.MissingCount()).To(BeZero())
		Expect(w.DropMissing()).To(BeEmpty())
		Expect(p.Leaving()).NotTo(BeClosed())
	})

	It("are dropped once DropMissing is called, and their runs are notified", func() {
		w := newFixture()
		w.addEngine("e1", "dc1")
		p := w.mustPlace(generation(1000, 100))
		w.Remove("e1", true)
		w.now += 2200 * time.Millisecond
		Expect(w.DropMissing()).To(Equal([]fleet.DroppedEndpoint{{ID: "e1", MissingFor: 2200 * time.Millisecond}}))
		Expect(p.Leaving()).To(BeClosed())
		Expect(w.mustRefuse(generation(1000, 100)).Reason).To(Equal(crocusreel.ReasonNoEndpoint))
	})

	It("are dropped at once if the removal is not tentative", func() {
		w := newFixture()
		w.addEngine("e1", "dc1")
		p := w.mustPlace(generation(1000, 100))
		w.Remove("e1", false)
		Expect(p.Leaving()).To(BeClosed())
	})
})

var _ = Describe("targets of moves", func() {
	// Guards against needless copies to another data centre: they take twice as long, and all other
	// runs of the leaving engine wait behind them. Near engines come first even if they are fuller.
	It("are in the same data centre unless no engine there has capacity", func() {
		w := newFixture()
		w.addEngine("source", "dc2")
		p := w.mustPlace(generation(3000, 500))
		w.addEngine("near", "dc2")
		w.addEngine("far", "dc1")
		w.SetRemote("node2", []fleet.Load{{Key: fleet.Incarnation{ID: "near"}.Key(), Count: 5, Tokens: 20_000}}, nil)
		t := w.ReserveMoveTarget(p, generation(3000, 500))
		Expect(t.Instance().ID).To(Equal("near"))
		t.EndCopy()
		t.Release(fleet.Neutral)
		w.SetRemote("node2", []fleet.Load{{Key: fleet.Incarnation{ID: "near"}.Key(), Count: 8, Tokens: 35_000}}, nil)
		Expect(w.ReserveMoveTarget(p, generation(3000, 500)).Instance().ID).To(Equal("far"))
	})

	It("exclude the engine of the run", func() {
		w := newFixture()
		w.addEngine("source", "dc1")
		p := w.mustPlace(generation(3000, 500))
		Expect(w.ReserveMoveTarget(p, generation(3000, 500))).To(BeNil())
	})
})
