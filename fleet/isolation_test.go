package fleet_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/routing"
)

var _ = Describe("work that may crash its engine", func() {
	service := &routing.Service{Name: "pool", Engine: &routing.EngineSpec{CacheTokens: 30000}}
	work := func(isolated bool) fleet.Work {
		return fleet.Work{Service: service, Demand: fleet.Demand{Prompt: 100, Output: 50}, Isolated: isolated}
	}
	place := func(f *fleet.Fleet, w fleet.Work) *fleet.Placement {
		p, refusal := f.Acquire(context.Background(), w, 0)
		if refusal != nil {
			return nil
		}
		return p
	}
	newFleet := func(engines int) *fleet.Fleet {
		f := fleet.New("dc1", func() time.Duration { return time.Hour })
		for i := range engines {
			f.Update(fleet.Instance{ID: fmt.Sprintf("e%d", i), Service: "pool", DataCentre: "dc1", Slots: 24})
		}
		return f
	}

	// Guards against an engine that takes the streams beside a suspected request with it.
	It("runs alone on an engine that is idle until it is proven", func() {
		f := newFleet(4)
		busy := map[string]bool{}
		for range 3 {
			busy[place(f, work(false)).Instance().ID] = true
		}
		suspect := place(f, work(true))
		Expect(busy).NotTo(HaveKey(suspect.Instance().ID))
		for range 20 {
			Expect(place(f, work(false)).Instance().ID).NotTo(Equal(suspect.Instance().ID))
		}
		suspect.EndIsolation()
		used := map[string]bool{}
		for range 8 {
			used[place(f, work(false)).Instance().ID] = true
		}
		Expect(used).To(HaveKey(suspect.Instance().ID))
		suspect.Release(fleet.Good)
		Expect(f.OwnLoads()).NotTo(ContainElement(HaveField("Tokens", BeNumerically("<", 0))))
	})

	It("runs beside the fewest others if no engine is idle, and keeps none of them off", func() {
		f := newFleet(2)
		for range 7 {
			place(f, work(false))
		}
		loads := map[string]int{}
		suspect := place(f, work(true))
		for _, l := range f.OwnLoads() {
			loads[fmt.Sprint(l.Key)] = l.Count
		}
		Expect(loads).To(HaveLen(2))
		for _, count := range loads {
			Expect(count).To(Equal(4))
		}
		Expect(place(f, work(false))).NotTo(BeNil())
		suspect.Release(fleet.Neutral)
	})
})
