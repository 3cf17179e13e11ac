package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/notice"
)

var _ = Describe("an endpoint whose entry is missing", func() {
	const service = "pool"
	var w *fixture
	missing := func(dataCentre string) fleet.Instance {
		in := fleet.Instance{ID: "e1", Service: service, Address: "10.0.0.1:80", DataCentre: dataCentre, Slots: 24}
		w.Update(in)
		w.Remove(in.ID, true)
		return in
	}
	ids := func(instances []fleet.Instance) (ids []string) {
		for _, in := range instances {
			ids = append(ids, in.ID)
		}
		return ids
	}
	BeforeEach(func() { w = newFixture() })

	// Guards against health checks without end of all endpoints whose entries an outage took.
	It("is asked for its health until it has said once that it goes on", func() {
		in := missing("dc1")
		Expect(ids(w.Unvouched(service, "dc1"))).To(Equal([]string{"e1"}))
		Expect(ids(w.Unvouched(service, "dc1"))).To(Equal([]string{"e1"}))
		w.Vouch(in.Incarnation().Key())
		Expect(w.Unvouched(service, "dc1")).To(BeEmpty())
		w.Update(in)
		w.Remove(in.ID, true)
		Expect(ids(w.Unvouched(service, "dc1"))).To(Equal([]string{"e1"}), "missing again")
	})

	// Guards against checks by the nodes of all data centres, and of endpoints whose entries are there.
	It("is asked in its own data centre and for its own service only", func() {
		in := missing("dc2")
		Expect(w.Unvouched(service, "dc1")).To(BeEmpty())
		Expect(w.Unvouched("other", "dc2")).To(BeEmpty())
		w.Update(in)
		Expect(w.Unvouched(service, "dc2")).To(BeEmpty())
	})

	// Guards against checks that break the pause which the endpoint asked for.
	It("is not asked while it wants a pause", func() {
		in := missing("dc1")
		w.Note(in, notice.Notice{Pause: time.Minute}, "r")
		Expect(w.Unvouched(service, "dc1")).To(BeEmpty())
	})

	// Guards against an endpoint that is taken back although it has withdrawn.
	It("gets nothing once it says that it leaves, and is dropped with the others", func() {
		in := missing("dc1")
		Expect(w.Unhealthy(in.Incarnation().Key())).To(BeTrue())
		w.now += time.Minute
		Expect(w.Reinstate(4 * time.Second)).To(BeEmpty())
		Expect(w.Unvouched(service, "dc1")).To(BeEmpty())
		Expect(w.DropMissing()).To(Equal([]fleet.Gone{{ID: "e1", Missing: time.Minute}}))
		Expect(w.Missing()).To(BeZero())
	})
})
