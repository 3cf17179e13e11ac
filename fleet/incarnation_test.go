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
	return fleet.Instance{ID: "e1", StartedAtMS: born, Service: "pool", Address: "10.0.0.1:80", DataCentre: "dc1", Slots: 24}
}

var _ = Describe("an endpoint that starts again under its ID", func() {
	// Guards against an engine that crashes and restarts within its heartbeat, so that its entry is
	// never removed: callers would wait for the lost runs until the connection times out, and the
	// new engine would inherit the load and the failures of the old one.
	It("ends the runs of the previous incarnation and starts without load or failures", func() {
		w := newFixture()
		Expect(w.Update(incarnationEntry(1000))).To(Equal(fleet.Added))
		p := w.placeRunning(generation(20_000, 8000))
		p.RecordResult(fleet.Failed)
		p.RecordResult(fleet.Failed)
		p.RecordResult(fleet.Failed)
		Expect(w.Update(incarnationEntry(2000))).To(Equal(fleet.Restarted))
		Expect(context.Cause(p.EndpointContext())).To(MatchError(fleet.ErrRestarted))
		Expect(p.Leaving()).To(BeClosed())
		fresh := w.mustPlace(generation(20_000, 8000))
		Expect(fresh.Instance().StartedAtMS).To(BeEquivalentTo(2000))
		Expect(fresh.EndpointContext().Err()).NotTo(HaveOccurred())
		p.Release(fleet.Failed)
		Expect(w.OwnLoads()).To(HaveLen(1))
	})

	It("is not affected by late entries of an earlier incarnation", func() {
		w := newFixture()
		w.Update(incarnationEntry(2000))
		p := w.placeRunning(generation(1000, 100))
		late := incarnationEntry(1000)
		late.Leaving = true
		Expect(w.Update(late)).To(Equal(fleet.Outdated))
		Expect(w.Update(incarnationEntry(0))).To(Equal(fleet.Outdated))
		Expect(p.EndpointContext().Err()).NotTo(HaveOccurred())
		Expect(p.Leaving()).NotTo(BeClosed())
		Expect(w.Update(incarnationEntry(2000))).To(Equal(fleet.Known))
	})

	// Guards against wrong loads when another node reports its work on the new incarnation before
	// the entry arrives here: only loads of that incarnation count.
	It("counts only the load that other nodes reported for the new incarnation", func() {
		w := newFixture()
		w.Update(incarnationEntry(1000))
		w.SetRemote("node2", []fleet.Load{{Key: incarnationEntry(1000).Incarnation().Key(), Count: 20, Tokens: 30_000}}, nil)
		w.SetRemote("node3", []fleet.Load{{Key: incarnationEntry(2000).Incarnation().Key(), Count: 1, Tokens: 10_000}}, nil)
		w.Update(incarnationEntry(2000))
		w.mustPlace(generation(15_000, 5000)).SetProduced(1)
		w.mustRefuse(generation(10_000, 1000))
	})

	It("may have a new address, and gets no work at the old one", func() {
		w := newFixture()
		w.Update(incarnationEntry(1000))
		moved := incarnationEntry(2000)
		moved.Address = "10.0.0.2:80"
		w.Update(moved)
		for range 5 {
			Expect(w.mustPlace(generation(100, 10)).Instance().Address).To(Equal("10.0.0.2:80"))
		}
	})

	// Guards against dropping a live endpoint: entries expire during an outage of the store, and
	// the entry that returns is that of a new incarnation.
	It("is no longer missing", func() {
		w := newFixture()
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
		w := newFixture()
		w.addEngine("e1", "dc1")
		w.addEngine("e2", "dc1")
		Expect(w.MarkUnhealthy(fleet.Incarnation{ID: "e1"}.Key())).To(BeTrue())
		Expect(w.MarkUnhealthy(fleet.Incarnation{ID: "e2"}.Key())).To(BeTrue())
		leaving := fleet.Instance{ID: "e2", Service: "pool", Address: "e2", DataCentre: "dc1", Slots: 24, Leaving: true}
		w.Update(leaving)
		w.mustRefuse(generation(1000, 100))
		w.now += 3 * time.Second
		Expect(w.Reinstate(4 * time.Second)).To(BeEmpty())
		w.now += 2 * time.Second
		Expect(w.Reinstate(4 * time.Second)).To(Equal([]string{"e1"}))
		Expect(w.mustPlace(generation(1000, 100)).Instance().ID).To(Equal("e1"))
	})
})

var _ = Describe("the queue for short answers", func() {
	// Guards against a caller that expects 10 tokens and may get 2000. If that counted as a short
	// answer, its stream would use the memory reserved for short ones, and would be lost with its
	// engine because it has no backup.
	It("holds answers whose maximum length is short, not answers that a caller expects to be short", func() {
		want := generation(1000, 10)
		Expect(want.Short()).To(BeTrue())
		want.MaxOutput = 2000
		Expect(want.Short()).To(BeFalse())
		want.MaxOutput, want.Demand.Output = 40, 400
		Expect(want.Short()).To(BeTrue())
	})
})

var _ = Describe("disabled mechanisms", func() {
	It("are accepted by their listed names only", func() {
		w, err := fleet.ParseDisabledMechanisms([]string{"backups", "turns"}, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(w[fleet.Backups]).To(BeTrue())
		Expect(w[fleet.Moves]).To(BeFalse())
		_, err = fleet.ParseDisabledMechanisms([]string{"backup"}, nil)
		Expect(err).To(MatchError(ContainSubstring("short-line")))
	})

	// Guards against an optional mechanism that takes effect where nobody asked for it.
	It("include the optional ones unless they are asked for", func() {
		disabled, err := fleet.ParseDisabledMechanisms(nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(disabled).To(Equal(fleet.DisabledMechanisms{fleet.WorkspaceShares: true}))
		disabled, err = fleet.ParseDisabledMechanisms(nil, []string{"workspace-shares"})
		Expect(err).NotTo(HaveOccurred())
		Expect(disabled).To(BeEmpty())
		_, err = fleet.ParseDisabledMechanisms(nil, []string{"moves"})
		Expect(err).To(MatchError(ContainSubstring("optional mechanisms are workspace-shares")))
		_, err = fleet.ParseDisabledMechanisms([]string{"workspace-shares"}, []string{"workspace-shares"})
		Expect(err).To(MatchError(ContainSubstring("both asked for and left out")))
	})

	It("include backups: without that mechanism, no backup is held", func() {
		backed := *pool.Engine
		backed.CanBackUp = true
		want := fleet.Work{Service: &routing.Service{Name: "pool", Engine: &backed}, Demand: fleet.Demand{Prompt: 1000, Output: 500}}
		for _, without := range []fleet.DisabledMechanisms{nil, {fleet.Backups: true}} {
			w := newFixture()
			w.Disabled = without
			w.addEngine("e1", "dc1")
			w.addEngine("e2", "dc1")
			Expect(w.ReserveBackup(w.mustPlace(want), want) == nil).To(Equal(without[fleet.Backups]))
		}
	})
})

var _ = Describe("memory for backups", func() {
	backed := *pool.Engine
	backed.CanBackUp = true
	want := fleet.Work{Service: &routing.Service{Name: "pool", Engine: &backed}, Demand: fleet.Demand{Prompt: 3000, Output: 2000}}

	// Guards against backups, of which each long answer has one, that keep new answers waiting for
	// memory.
	It("is granted while 30% of an engine's memory stays free, and counts against new work", func() {
		w := newFixture()
		w.addEngine("e1", "dc1")
		w.addEngine("e2", "dc2")
		p := w.mustPlace(want)
		var held []*fleet.BackupReservation
		for h := w.ReserveBackup(p, want); h != nil; h = w.ReserveBackup(p, want) {
			held = append(held, h)
		}
		Expect(held).To(HaveLen(4))
		w.Update(fleet.Instance{ID: "e1", Service: "pool", Leaving: true, Slots: 24})
		w.placeRunning(generation(7000, 7000))
		w.mustRefuse(generation(2000, 1000))
		for _, h := range held {
			h.Release(0)
			h.Release(0)
		}
		w.placeRunning(generation(2000, 1000))
		Expect(w.ReserveBackup(p, want)).NotTo(BeNil())
	})

	It("becomes the placement of the run when its engine is gone", func() {
		w := newFixture()
		w.addEngine("e1", "dc1")
		p := w.mustPlace(want)
		w.addEngine("e2", "dc1")
		h := w.ReserveBackup(p, want)
		place := h.Promote(400)
		Expect(place.Instance().ID).To(Equal("e2"))
		Expect(h.Promote(400)).To(BeNil())
		p.Release(fleet.Neutral)
		Expect(w.OwnLoads()).To(ConsistOf(fleet.Load{Key: fleet.Incarnation{ID: "e2"}.Key(), Count: 1, Tokens: 5000}))
		place.Release(fleet.Good)
		Expect(w.OwnLoads()).To(BeEmpty())
	})
})
