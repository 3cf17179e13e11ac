package fleet_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/routing"
)

// incarnationEntry returns the entry of an engine that reports its start time.
func incarnationEntry(born int64) fleet.Instance {
	return fleet.Instance{ID: "e1", Born: born, Service: "pool", Address: "10.0.0.1:80", DataCentre: "dc1", Slots: 24}
}

var _ = Describe("an endpoint that starts again under its ID", func() {
	// Guards against an engine that crashes and restarts within its heartbeat, so that its entry is
	// never removed: callers would wait for the lost runs until the connection times out, and the
	// new engine would inherit the load and the failures of the old one.
	It("ends the runs of the previous incarnation and starts without load or failures", func() {
		w := newWorld()
		Expect(w.Update(incarnationEntry(1000))).To(Equal(fleet.Added))
		p := w.running(generation(20_000, 8000))
		p.Report(fleet.Failed)
		p.Report(fleet.Failed)
		p.Report(fleet.Failed)
		Expect(w.Update(incarnationEntry(2000))).To(Equal(fleet.Restarted))
		Expect(context.Cause(p.Life())).To(MatchError(fleet.ErrRestarted))
		Expect(p.Leaving()).To(BeClosed())
		fresh := w.place(generation(20_000, 8000))
		Expect(fresh.Instance().Born).To(BeEquivalentTo(2000))
		Expect(fresh.Life().Err()).NotTo(HaveOccurred())
		p.Release(fleet.Failed)
		Expect(w.OwnLoads()).To(HaveLen(1))
	})

	It("is not affected by late entries of an earlier incarnation", func() {
		w := newWorld()
		w.Update(incarnationEntry(2000))
		p := w.running(generation(1000, 100))
		late := incarnationEntry(1000)
		late.Leaving = true
		Expect(w.Update(late)).To(Equal(fleet.Outdated))
		Expect(w.Update(incarnationEntry(0))).To(Equal(fleet.Outdated))
		Expect(p.Life().Err()).NotTo(HaveOccurred())
		Expect(p.Leaving()).NotTo(BeClosed())
		Expect(w.Update(incarnationEntry(2000))).To(Equal(fleet.Known))
	})

	// Guards against wrong loads when another node reports its work on the new incarnation before
	// the entry arrives here: only loads of that incarnation count.
	It("takes only the load that other nodes reported for the new incarnation", func() {
		w := newWorld()
		w.Update(incarnationEntry(1000))
		w.SetRemote("node2", []fleet.Load{{Key: incarnationEntry(1000).Incarnation().Key(), Count: 20, Tokens: 30_000}}, nil)
		w.SetRemote("node3", []fleet.Load{{Key: incarnationEntry(2000).Incarnation().Key(), Count: 1, Tokens: 10_000}}, nil)
		w.Update(incarnationEntry(2000))
		w.place(generation(15_000, 5000)).Produced(1)
		w.refused(generation(10_000, 1000))
	})

	It("may have a new address, and gets no work at the old one", func() {
		w := newWorld()
		w.Update(incarnationEntry(1000))
		moved := incarnationEntry(2000)
		moved.Address = "10.0.0.2:80"
		w.Update(moved)
		for range 5 {
			Expect(w.place(generation(100, 10)).Instance().Address).To(Equal("10.0.0.2:80"))
		}
	})

	// Guards against dropping a live endpoint: entries expire during an outage of the store, and
	// the entry that returns is that of a new incarnation.
	It("is no longer missing", func() {
		w := newWorld()
		w.Update(incarnationEntry(1000))
		w.Remove("e1", true)
		w.now += time.Second
		Expect(w.Update(incarnationEntry(2000))).To(Equal(fleet.Restarted))
		w.now += time.Minute
		Expect(w.DropMissing()).To(BeEmpty())
	})
})

var _ = Describe("an endpoint that is leaving according to its health check", func() {
	// Guards against an engine that never gets work again because one health check wrongly reported
	// that it is leaving, which its entry never confirms.
	It("is reinstated after a while, unless its entry says that it is leaving too", func() {
		w := newWorld()
		w.engine("e1", "dc1")
		w.engine("e2", "dc1")
		Expect(w.MarkUnhealthy(fleet.Incarnation{ID: "e1"}.Key())).To(BeTrue())
		Expect(w.MarkUnhealthy(fleet.Incarnation{ID: "e2"}.Key())).To(BeTrue())
		leaving := fleet.Instance{ID: "e2", Service: "pool", Address: "e2", DataCentre: "dc1", Slots: 24, Leaving: true}
		w.Update(leaving)
		w.refused(generation(1000, 100))
		w.now += 3 * time.Second
		Expect(w.Reinstate(4 * time.Second)).To(BeEmpty())
		w.now += 2 * time.Second
		Expect(w.Reinstate(4 * time.Second)).To(Equal([]string{"e1"}))
		Expect(w.place(generation(1000, 100)).Instance().ID).To(Equal("e1"))
	})
})

var _ = Describe("the queue for short answers", func() {
	// Guards against a caller that expects 10 tokens and may get 2000. If that counted as a short
	// answer, its stream would use the memory reserved for short ones, and would be lost with its
	// engine because it has no backup.
	It("takes answers whose maximum length is short, not answers that a caller expects to be short", func() {
		want := generation(1000, 10)
		Expect(want.Short()).To(BeTrue())
		want.Longest = 2000
		Expect(want.Short()).To(BeFalse())
		want.Longest, want.Demand.Output = 40, 400
		Expect(want.Short()).To(BeTrue())
	})
})

var _ = Describe("disabled mechanisms", func() {
	It("are accepted by their listed names only", func() {
		w, err := fleet.ParseWithout([]string{"backups", "turns"})
		Expect(err).NotTo(HaveOccurred())
		Expect(w[fleet.Backups]).To(BeTrue())
		Expect(w[fleet.Moves]).To(BeFalse())
		_, err = fleet.ParseWithout([]string{"backup"})
		Expect(err).To(MatchError(ContainSubstring("short-line")))
	})

	It("include backups: without that mechanism, no backup is held", func() {
		backed := *pool.Engine
		backed.CanBackUp = true
		want := fleet.Want{Service: &routing.Service{Name: "pool", Engine: &backed}, Demand: fleet.Demand{Prompt: 1000, Output: 500}}
		for _, without := range []fleet.Without{nil, {fleet.Backups: true}} {
			w := newWorld()
			w.Without = without
			w.engine("e1", "dc1")
			w.engine("e2", "dc1")
			Expect(w.Hold(w.place(want), want) == nil).To(Equal(without[fleet.Backups]))
		}
	})
})

var _ = Describe("room for backups", func() {
	backed := *pool.Engine
	backed.CanBackUp = true
	want := fleet.Want{Service: &routing.Service{Name: "pool", Engine: &backed}, Demand: fleet.Demand{Prompt: 3000, Output: 2000}}

	// Guards against backups, of which each long answer has one, that keep new answers waiting for
	// memory.
	It("is granted while 30% of an engine's memory stays free, and counts against new work", func() {
		w := newWorld()
		w.engine("e1", "dc1")
		w.engine("e2", "dc2")
		p := w.place(want)
		var held []*fleet.Holding
		for h := w.Hold(p, want); h != nil; h = w.Hold(p, want) {
			held = append(held, h)
		}
		Expect(held).To(HaveLen(4))
		w.Update(fleet.Instance{ID: "e1", Service: "pool", Leaving: true, Slots: 24})
		w.running(generation(7000, 7000))
		w.refused(generation(2000, 1000))
		for _, h := range held {
			h.Release(0)
			h.Release(0)
		}
		w.running(generation(2000, 1000))
		Expect(w.Hold(p, want)).NotTo(BeNil())
	})

	It("becomes the placement of the run when its engine is gone", func() {
		w := newWorld()
		w.engine("e1", "dc1")
		p := w.place(want)
		w.engine("e2", "dc1")
		h := w.Hold(p, want)
		place := h.Take(400)
		Expect(place.Instance().ID).To(Equal("e2"))
		Expect(h.Take(400)).To(BeNil())
		p.Release(fleet.Neutral)
		Expect(w.OwnLoads()).To(ConsistOf(fleet.Load{Key: fleet.Incarnation{ID: "e2"}.Key(), Count: 1, Tokens: 5000}))
		place.Release(fleet.Good)
		Expect(w.OwnLoads()).To(BeEmpty())
	})
})
