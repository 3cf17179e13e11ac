package fleet_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/routing"
)

// start is the entry of an engine that says when it started.
func start(born int64) fleet.Instance {
	return fleet.Instance{ID: "e1", StartedAtMS: born, Service: "pool", Address: "10.0.0.1:80", DataCentre: "dc1", Slots: 24}
}

var _ = Describe("an endpoint that starts again under its ID", func() {
	// An engine crashes and is back within its heartbeat: no removal comes in between. What
	// ran there is lost. Callers would wait for it until the connection times out, and the
	// new engine would count as full, or as failing, for what the old one did.
	It("ends what ran there and begins with nothing", func() {
		w := newFixture()
		Expect(w.Update(start(1000))).To(Equal(fleet.Added))
		p := w.placeRunning(generation(20_000, 8000))
		p.RecordResult(fleet.Failed)
		p.RecordResult(fleet.Failed)
		p.RecordResult(fleet.Failed)
		Expect(w.Update(start(2000))).To(Equal(fleet.Restarted))
		Expect(context.Cause(p.EndpointContext())).To(MatchError(fleet.ErrRestarted))
		Expect(p.Leaving()).To(BeClosed())
		fresh := w.mustPlace(generation(20_000, 8000))
		Expect(fresh.Instance().StartedAtMS).To(BeEquivalentTo(2000))
		Expect(fresh.EndpointContext().Err()).NotTo(HaveOccurred())
		p.Release(fleet.Failed)
		Expect(w.OwnLoads()).To(HaveLen(1))
	})

	It("is not ended by what its earlier start still has to say", func() {
		w := newFixture()
		w.Update(start(2000))
		p := w.placeRunning(generation(1000, 100))
		late := start(1000)
		late.Leaving = true
		Expect(w.Update(late)).To(Equal(fleet.Outdated))
		Expect(w.Update(start(0))).To(Equal(fleet.Outdated))
		Expect(p.EndpointContext().Err()).NotTo(HaveOccurred())
		Expect(p.Leaving()).NotTo(BeClosed())
		Expect(w.Update(start(2000))).To(Equal(fleet.Known))
	})

	// A node tells of its work on the new start before the entry has come here. It counts
	// for that start, and what was told of the one before does not.
	It("takes the load that other nodes told of that start alone", func() {
		w := newFixture()
		w.Update(start(1000))
		w.SetRemote("node2", []fleet.Load{{Key: start(1000).Incarnation().Key(), Count: 20, Tokens: 30_000}}, nil)
		w.SetRemote("node3", []fleet.Load{{Key: start(2000).Incarnation().Key(), Count: 1, Tokens: 10_000}}, nil)
		w.Update(start(2000))
		w.mustPlace(generation(15_000, 5000)).SetProduced(1)
		w.mustRefuse(generation(10_000, 1000))
	})

	It("may come with another address, and leaves no place at the old one", func() {
		w := newFixture()
		w.Update(start(1000))
		moved := start(2000)
		moved.Address = "10.0.0.2:80"
		w.Update(moved)
		for range 5 {
			Expect(w.mustPlace(generation(100, 10)).Instance().Address).To(Equal("10.0.0.2:80"))
		}
	})

	// The store is away, entries expire, and the endpoint's entry comes back as that of a
	// new start.
	It("is no longer missing", func() {
		w := newFixture()
		w.Update(start(1000))
		w.Remove("e1", true)
		w.now += time.Second
		Expect(w.Update(start(2000))).To(Equal(fleet.Restarted))
		w.now += time.Minute
		Expect(w.DropMissing()).To(BeEmpty())
	})
})

var _ = Describe("an endpoint that leaves by its health check", func() {
	// A health check says that an engine leaves, and its entry never does: the answer was
	// false. The engine would get no work again for as long as it lives.
	It("is taken back after a while, unless its entry says so too", func() {
		w := newFixture()
		w.addEngine("e1", "dc1")
		w.addEngine("e2", "dc1")
		Expect(w.Unhealthy(fleet.Incarnation{ID: "e1"}.Key())).To(BeTrue())
		Expect(w.Unhealthy(fleet.Incarnation{ID: "e2"}.Key())).To(BeTrue())
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

var _ = Describe("the line of short answers", func() {
	// A caller expects ten tokens and may get two thousand. Taken for a short answer, its
	// stream would use the room that is kept for short ones, and nobody would keep a backup
	// of it: it would be lost with its engine.
	It("is for answers that must be short, not for those that a caller expects to be", func() {
		want := generation(1000, 10)
		Expect(want.Short()).To(BeTrue())
		want.MaxOutput = 2000
		Expect(want.Short()).To(BeFalse())
		want.MaxOutput, want.Demand.Output = 40, 400
		Expect(want.Short()).To(BeTrue())
	})
})

var _ = Describe("mechanisms that are left out", func() {
	It("are named as they are listed, and nothing else is", func() {
		w, err := fleet.ParseDisabledMechanisms([]string{"backups", "turns"})
		Expect(err).NotTo(HaveOccurred())
		Expect(w[fleet.Backups]).To(BeTrue())
		Expect(w[fleet.Moves]).To(BeFalse())
		_, err = fleet.ParseDisabledMechanisms([]string{"backup"})
		Expect(err).To(MatchError(ContainSubstring("short-line")))
	})

	It("keep no backups without backups, and the line of short answers is one with the others", func() {
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

var _ = Describe("room for backups", func() {
	backed := *pool.Engine
	backed.CanBackUp = true
	want := fleet.Work{Service: &routing.Service{Name: "pool", Engine: &backed}, Demand: fleet.Demand{Prompt: 3000, Output: 2000}}

	// Many long answers run, and each has a backup. What is kept for the case that an engine
	// dies must not keep new answers waiting.
	It("is given while an engine has three tenths of its memory to spare, and counts for what comes", func() {
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

	It("becomes the place of the run when its engine is gone", func() {
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
