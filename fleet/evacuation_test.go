package fleet_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/fleet"
)

var _ = Describe("an evacuated data centre", func() {
	var w *fixture

	BeforeEach(func() {
		w = newFixture()
		w.addEngine("near", "dc1")
		w.addEngine("far", "dc2")
	})

	// Guards against new work on endpoints that are being drained, even if no other endpoint has
	// capacity.
	It("gets no new work, however full the other data centres are", func() {
		w.Evacuate([]string{"dc1"})
		for range 8 {
			Expect(w.placeRunning(generation(3000, 500)).Instance().ID).To(Equal("far"))
		}
		Expect(w.mustRefuse(generation(30_000, 500)).Reason).To(Equal(crocusreel.ReasonQueueFull))
	})

	// Guards against copies, backups and resumed runs, which are requests too.
	It("gets neither copies nor backups, and no run resumes there", func() {
		backed := *pool
		engine := *pool.Engine
		engine.CanBackUp = true
		backed.Engine = &engine
		want := fleet.Work{Service: &backed, Demand: fleet.Demand{Prompt: 1000, Output: 400}, MaxOutput: 400}
		p := w.placeRunning(want)
		Expect(p.Instance().ID).To(Equal("near"))
		held := w.ReserveBackup(p, want)
		Expect(held.Instance().ID).To(Equal("far"))
		target := w.ReserveMoveTarget(p, want)
		Expect(target.Instance().ID).To(Equal("far"))

		w.Evacuate([]string{"dc2"})
		Expect(held.Unusable()).To(BeClosed())
		Expect(held.Promote(10)).To(BeNil())
		Expect(target.Usable()).To(BeFalse())
		Expect(w.ReserveMoveTarget(p, want)).To(BeNil())
		Expect(w.ReserveBackup(p, want)).To(BeNil())

		w.Evacuate(nil)
		Expect(target.Usable()).To(BeTrue())
		Expect(held.Unusable()).NotTo(BeClosed())
		Expect(held.Promote(10)).NotTo(BeNil())
	})

	// Guards against callers that wait for capacity that cannot become available.
	It("refuses waiting work at once if it cannot run elsewhere", func() {
		w.mustPlace(generation(33_000, 500))
		w.mustPlace(generation(33_000, 500))
		refusals := make(chan *crocusreel.Refusal, 1)
		go func() {
			defer GinkgoRecover()
			_, refusal := w.Acquire(context.Background(), generation(3000, 500), time.Minute)
			refusals <- refusal
		}()
		Eventually(func() int { return w.Waiting("pool") }).Should(Equal(1))
		w.Evacuate([]string{"dc1"})
		Consistently(refusals, "50ms").ShouldNot(Receive())
		w.Evacuate([]string{"dc1", "dc2"})
		var refusal *crocusreel.Refusal
		Eventually(refusals).Should(Receive(&refusal))
		Expect(refusal.Reason).To(Equal(crocusreel.ReasonEvacuated))
		Expect(refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		Expect(w.Waiting("pool")).To(BeZero())
		Expect(w.mustRefuse(generation(3000, 500)).Reason).To(Equal(crocusreel.ReasonEvacuated))
	})

	It("includes endpoints that register during the evacuation, and is reported with the work that runs there", func() {
		running := w.mustPlace(generation(3000, 500))
		w.Evacuate([]string{"dc1", "dc3"})
		w.now += 2 * time.Second
		w.addEngine("new", "dc3")
		Expect(w.mustPlace(generation(3000, 500)).Instance().ID).To(Equal("far"))
		Expect(w.Evacuations()).To(Equal([]fleet.Evacuation{
			{DataCentre: "dc1", Since: 2 * time.Second, Endpoints: 1, Running: 1},
			{DataCentre: "dc3", Since: 2 * time.Second, Endpoints: 1},
		}))
		running.Release(fleet.Good)
	})
})

var _ = Describe("work that is bound to regions", func() {
	var w *fixture

	bound := func(regions ...string) fleet.Work {
		want := generation(3000, 500)
		want.RegionBound, want.Regions = true, regions
		return want
	}

	BeforeEach(func() {
		w = newFixture()
		w.Regions = map[string]string{"dc1": "north", "dc2": "south", "dc3": "south"}
		w.addEngine("e1", "dc1")
		w.addEngine("e2", "dc2")
		w.addEngine("elsewhere", "unknown")
	})

	// Guards against data that leaves the regions to which its owner has restricted it.
	It("runs only there, however full they are", func() {
		for range 8 {
			Expect(w.placeRunning(bound("south")).Instance().ID).To(Equal("e2"))
		}
		large := bound("south")
		large.Demand = fleet.Demand{Prompt: 30_000, Output: 500}
		Expect(w.mustRefuse(large).Reason).To(Equal(crocusreel.ReasonQueueFull))
	})

	It("is not copied to other regions", func() {
		p := w.placeRunning(bound("north"))
		Expect(w.ReserveMoveTarget(p, bound("north"))).To(BeNil())
		Expect(w.ReserveMoveTarget(p, bound("north", "south")).Instance().ID).To(Equal("e2"))
	})

	It("is refused if its regions are empty, unknown or without endpoints in service", func() {
		for _, regions := range [][]string{nil, {"west"}} {
			refusal := w.mustRefuse(bound(regions...))
			Expect(refusal.Reason).To(Equal(crocusreel.ReasonNoEndpoint))
			Expect(refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
		}
		w.Remove("e2", false)
		Expect(w.mustRefuse(bound("south")).Reason).To(Equal(crocusreel.ReasonNoEndpoint))
	})

	// Guards against work that is sent to another region because its own is evacuated.
	It("is refused at once while its regions are evacuated", func() {
		w.Evacuate([]string{"dc2"})
		Expect(w.mustRefuse(bound("south")).Reason).To(Equal(crocusreel.ReasonEvacuated))
		w.addEngine("e3", "dc3")
		Expect(w.mustPlace(bound("south")).Instance().ID).To(Equal("e3"))
	})
})
