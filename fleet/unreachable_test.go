package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/fleet"
)

var plainCall = fleet.Work{Service: app}

// refusals is a node that learns of refused connections.
type refusals struct {
	*fixture
	suspensions []fleet.Suspension
	broadcasts  int
}

// newRefusals returns a node with plain endpoints ep0, ep1 and so on.
func newRefusals(endpoints int) *refusals {
	r := &refusals{fixture: newFixture()}
	r.OnUnreachable = func(s fleet.Suspension) { r.suspensions = append(r.suspensions, s) }
	r.Broadcast = func(string) { r.broadcasts++ }
	for i := range endpoints {
		r.addPlain(fmt.Sprintf("ep%d", i))
	}
	return r
}

func instanceOf(id string) fleet.Instance { return fleet.Instance{ID: id, Service: "app"} }

func keyOf(id string) fleet.EndpointKey { return fleet.Incarnation{ID: id}.Key() }

// reported applies the report of another node that the endpoint refused it this long ago.
func (r *refusals) reported(id string, age time.Duration) {
	r.SetRemoteUnreachable("other", []fleet.UnreachableReport{{Key: keyOf(id), Age: age}})
}

// uses reports whether the endpoint gets any of some new requests.
func (r *refusals) uses(id string) bool {
	used := false
	var placed []*fleet.Placement
	for range 6 {
		p := r.mustPlace(plainCall)
		used = used || p.Instance().ID == id
		placed = append(placed, p)
	}
	for _, p := range placed {
		p.Release(fleet.Neutral)
	}
	return used
}

var _ = Describe("an endpoint that refuses connections", func() {
	// Guards against nodes that send to a dead endpoint although another node has found it dead.
	It("gets no new work from any node after one report, until the suspension ends", func() {
		r := newRefusals(3)
		Expect(r.uses("ep0")).To(BeTrue())
		r.reported("ep0", 100*time.Millisecond)
		Expect(r.uses("ep0")).To(BeFalse())
		Expect(r.suspensions).To(HaveLen(1))
		Expect(r.suspensions[0].Duration).To(Equal(400 * time.Millisecond))
		Expect(r.suspensions[0].Node).To(Equal("other"))
		r.now += 400 * time.Millisecond
		Expect(r.uses("ep0")).To(BeTrue())
	})

	// Guards against a log line and a longer suspension for each repetition of a report.
	It("is suspended once by a report that is repeated", func() {
		r := newRefusals(3)
		for range 4 {
			r.reported("ep0", 10*time.Millisecond)
			r.reported("ep0", 11*time.Millisecond)
		}
		Expect(r.suspensions).To(HaveLen(1))
		r.now += 491 * time.Millisecond
		Expect(r.uses("ep0")).To(BeTrue())
		r.reported("ep0", 501*time.Millisecond)
		Expect(r.suspensions).To(HaveLen(1))
	})

	// Guards against suspensions by evidence that is no evidence.
	DescribeTable("is not suspended",
		func(prepare func(r *refusals)) {
			r := newRefusals(3)
			prepare(r)
			Expect(r.suspensions).To(BeEmpty())
			Expect(r.uses("ep0")).To(BeTrue())
		},
		Entry("by a report older than the suspension", func(r *refusals) { r.reported("ep0", 500*time.Millisecond) }),
		Entry("by a report with an impossible age", func(r *refusals) { r.reported("ep0", (1<<32-1)*time.Millisecond) }),
		Entry("by a report with a negative age", func(r *refusals) { r.reported("ep0", -time.Second) }),
		Entry("by a report about an unknown endpoint", func(r *refusals) { r.reported("unknown", 0) }),
		Entry("by a report about an earlier incarnation", func(r *refusals) {
			r.Update(fleet.Instance{ID: "ep0", StartedAtMS: 7, Service: "app", Address: "ep0", DataCentre: "dc1", Slots: 6})
			r.reported("ep0", 0)
		}),
		Entry("by a report from before its latest answer to this node", func(r *refusals) {
			var running []*fleet.Placement
			for range 18 {
				running = append(running, r.mustPlace(plainCall))
			}
			for _, p := range running {
				p.Release(fleet.Good)
			}
			r.reported("ep0", 10*time.Millisecond)
		}),
		Entry("when the mechanism is disabled", func(r *refusals) {
			r.Disabled = fleet.DisabledMechanisms{fleet.UnreachableReports: true}
			r.reported("ep0", 0)
			Expect(r.RecordRefused(instanceOf("ep0"))).To(BeZero())
			Expect(r.OwnUnreachable()).To(BeEmpty())
		}),
	)

	// Guards against a report that outweighs what this node has seen since.
	It("is used again once it has answered this node", func() {
		r := newRefusals(2)
		running := []*fleet.Placement{}
		for range 6 {
			running = append(running, r.mustPlace(plainCall))
		}
		r.reported("ep0", 0)
		Expect(r.uses("ep0")).To(BeFalse())
		r.now += time.Millisecond
		for _, p := range running {
			p.Release(fleet.Good)
		}
		Expect(r.uses("ep0")).To(BeTrue())
		r.now += 5 * time.Millisecond
		r.reported("ep0", 6*time.Millisecond)
		Expect(r.suspensions).To(HaveLen(1))
		Expect(r.uses("ep0")).To(BeTrue())
	})

	// Guards against a suspension by report of an engine that goes on streaming to this node.
	It("is used again once one of its streams continues, unless this node was refused itself", func() {
		r := &refusals{fixture: newFixture()}
		r.addEngine("e0", "dc1")
		r.addEngine("e1", "dc1")
		running := []*fleet.Placement{}
		for range 6 {
			running = append(running, r.placeRunning(generation(100, 100)))
		}
		place := func(id string) bool {
			for range 20 {
				p := r.mustPlace(generation(100, 100))
				p.Release(fleet.Neutral)
				if p.Instance().ID == id {
					return true
				}
			}
			return false
		}
		r.now += time.Second
		r.reported("e0", 0)
		Expect(place("e0")).To(BeFalse())
		r.now += time.Millisecond
		for _, p := range running {
			p.SetProduced(8)
		}
		Expect(place("e0")).To(BeTrue())
		r.now += time.Millisecond
		r.RecordRefused(fleet.Instance{ID: "e0"})
		for _, p := range running {
			p.SetProduced(12)
		}
		Expect(place("e0")).To(BeFalse())
	})

	// Guards against reports that leave a service without any endpoint.
	It("is used if all endpoints are suspended", func() {
		r := newRefusals(3)
		for i := range 3 {
			r.reported(fmt.Sprintf("ep%d", i), 0)
		}
		Expect(r.uses("ep0")).To(BeTrue())
	})

	// Guards against a dead endpoint that is tried every half second until its entry expires.
	It("is suspended twice as long each time, up to a bound, until it answers", func() {
		r := newRefusals(3)
		var waits []time.Duration
		for range 6 {
			waits = append(waits, r.RecordRefused(instanceOf("ep0")))
			Expect(r.RecordRefused(instanceOf("ep0"))).To(BeZero())
			r.now += waits[len(waits)-1]
		}
		Expect(waits).To(Equal([]time.Duration{
			500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second, 4 * time.Second,
		}))
		var running []*fleet.Placement
		for range 18 {
			running = append(running, r.mustPlace(plainCall))
		}
		for _, p := range running {
			p.Release(fleet.Good)
		}
		Expect(r.RecordRefused(instanceOf("ep0"))).To(Equal(500 * time.Millisecond))
	})

	// Guards against reports of a node that has not established that it reaches other endpoints.
	It("is reported only once the node has compared it, as long as the suspension lasts", func() {
		r := newRefusals(3)
		Expect(r.ReportRefused(instanceOf("ep0"))).To(BeFalse())
		r.RecordRefused(instanceOf("ep0"))
		Expect(r.OwnUnreachable()).To(BeEmpty())
		Expect(r.ReportRefused(instanceOf("ep0"))).To(BeTrue())
		Expect(r.broadcasts).To(Equal(1))
		r.now += 30 * time.Millisecond
		Expect(r.OwnUnreachable()).To(Equal([]fleet.UnreachableReport{{Key: keyOf("ep0"), Age: 30 * time.Millisecond, Service: "app"}}))
		r.now += 470 * time.Millisecond
		Expect(r.OwnUnreachable()).To(BeEmpty())
	})

	// Guards against reports that travel on from node to node after their cause is gone.
	It("is not reported by a node that knows it from a report", func() {
		r := newRefusals(3)
		r.reported("ep0", 0)
		Expect(r.OwnUnreachable()).To(BeEmpty())
	})

	// Guards against datagrams that are too large when many endpoints die.
	It("is reported with at most 23 others, the latest ones", func() {
		r := newRefusals(40)
		for i := range 40 {
			r.RecordRefused(instanceOf(fmt.Sprintf("ep%d", i)))
			r.ReportRefused(instanceOf(fmt.Sprintf("ep%d", i)))
			r.now += time.Millisecond
		}
		reports := r.OwnUnreachable()
		Expect(reports).To(HaveLen(24))
		Expect(reports[0].Key).To(Equal(keyOf("ep39")))
		Expect(reports[23].Key).To(Equal(keyOf("ep16")))
	})

	// Guards against a comparison with endpoints that a node reaches although it is cut off from a data centre.
	It("is compared with others of its data centre if there are any", func() {
		r := newRefusals(0)
		for i := range 12 {
			r.Update(fleet.Instance{ID: fmt.Sprintf("ep%d", i), Service: "app", DataCentre: fmt.Sprintf("dc%d", i%3), Slots: 6})
		}
		in := fleet.Instance{ID: "ep0", Service: "app", DataCentre: "dc0"}
		for _, other := range r.ComparableEndpoints(in, 3) {
			Expect(other.DataCentre).To(Equal("dc0"))
			Expect(other.ID).NotTo(Equal("ep0"))
			r.RecordRefused(other)
		}
		Expect(r.ComparableEndpoints(in, 3)).To(HaveLen(3))
		Expect(r.ComparableEndpoints(in, 3)[0].DataCentre).NotTo(Equal("dc0"))
	})
})
