package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/fleet"
)

var _ = Describe("load reports of other nodes", func() {
	// The sums are updated with each datagram. A sum that drifts makes an empty engine look full,
	// so that callers wait for capacity that is free, or a full one look empty.
	for seed := range uint64(20) {
		It(fmt.Sprintf("add up to the maintained sums in any order of events, seed %d", seed), func() {
			w, random := newFixture(), rand.New(rand.NewPCG(seed, 1))
			var runs []*fleet.Placement
			instance := func() fleet.Instance {
				id := fmt.Sprintf("e%d", random.IntN(8))
				return fleet.Instance{ID: id, Service: "pool", DataCentre: "dc1", Slots: 24, StartedAtMS: int64(random.IntN(2))}
			}
			steps := []func(){
				func() { w.Update(instance()) },
				func() { w.Remove(instance().ID, random.IntN(2) == 0) },
				func() { w.DropMissing() },
				func() { w.ForgetNode(fmt.Sprintf("n%d", random.IntN(5))) },
				func() { w.now += time.Second / 2 },
				func() {
					if p, refusal := w.Acquire(context.Background(), generation(100, 100), 0); refusal == nil {
						runs = append(runs, p)
					}
				},
				func() {
					if len(runs) > 0 {
						runs[0].Release(fleet.Good)
						runs = runs[1:]
					}
				},
			}
			report := func() {
				var loads []fleet.Load
				for range random.IntN(6) {
					loads = append(loads, fleet.Load{
						Key: instance().Incarnation().Key(), Count: random.IntN(3), Tokens: random.IntN(500),
						PendingPrefill: random.IntN(100), IncomingTokens: random.IntN(100), BackupTokens: random.IntN(100),
					})
				}
				w.SetRemote(fmt.Sprintf("n%d", random.IntN(5)), loads, nil)
			}
			for range 400 {
				if random.IntN(2) == 0 {
					report()
				} else {
					steps[random.IntN(len(steps))]()
				}
				maintained, recomputed := w.Totals()
				Expect(maintained).To(Equal(recomputed))
			}
		})
	}

	// Another node ends a run on an engine while a caller waits here and all engines are full. The
	// caller must be placed with that datagram.
	It("give freed capacity to waiting work", func() {
		w := newFixture()
		w.addEngine("e1", "dc1")
		key := fleet.Instance{ID: "e1"}.Incarnation().Key()
		w.SetRemote("n1", []fleet.Load{{Key: key, Count: 24, Tokens: 30_000}}, nil)
		granted := make(chan *fleet.Placement, 1)
		go func() {
			p, _ := w.Acquire(context.Background(), generation(1000, 100), time.Hour)
			granted <- p
		}()
		Eventually(func() int { return w.Waiting("pool") }).Should(Equal(1))
		w.SetRemote("n1", []fleet.Load{{Key: key, Count: 24, Tokens: 29_000}}, nil)
		Consistently(granted, 30*time.Millisecond).ShouldNot(Receive())
		w.SetRemote("n1", []fleet.Load{{Key: key, Count: 23, Tokens: 29_000}}, nil)
		Eventually(granted).Should(Receive(Not(BeNil())))
	})
})
