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

	// Guards against endless health checks of all endpoints whose entries were lost in an outage.
	It("gets health checks until one has confirmed that it remains in service", func() {
		in := missing("dc1")
		Expect(ids(w.UnconfirmedEndpoints(service, "dc1"))).To(Equal([]string{"e1"}))
		Expect(ids(w.UnconfirmedEndpoints(service, "dc1"))).To(Equal([]string{"e1"}))
		w.ConfirmHealthy(in.Incarnation().Key())
		Expect(w.UnconfirmedEndpoints(service, "dc1")).To(BeEmpty())
		w.Update(in)
		w.Remove(in.ID, true)
		Expect(ids(w.UnconfirmedEndpoints(service, "dc1"))).To(Equal([]string{"e1"}), "missing again")
	})

	// Guards against health checks by the nodes of all data centres, and of endpoints whose entries
	// exist.
	It("gets health checks only in its own data centre and for its own service", func() {
		in := missing("dc2")
		Expect(w.UnconfirmedEndpoints(service, "dc1")).To(BeEmpty())
		Expect(w.UnconfirmedEndpoints("other", "dc2")).To(BeEmpty())
		w.Update(in)
		Expect(w.UnconfirmedEndpoints(service, "dc2")).To(BeEmpty())
	})

	// Guards against health checks during a pause that the endpoint requested.
	It("gets no health check during its pause", func() {
		in := missing("dc1")
		w.RecordNotice(in, notice.Notice{Pause: time.Minute}, "r")
		Expect(w.UnconfirmedEndpoints(service, "dc1")).To(BeEmpty())
	})

	// Guards against reinstating a missing endpoint that has reported that it is leaving.
	It("is not reinstated once it reports that it is leaving, and is dropped with the other missing endpoints", func() {
		in := missing("dc1")
		Expect(w.MarkUnhealthy(in.Incarnation().Key())).To(BeTrue())
		w.now += time.Minute
		Expect(w.Reinstate(4 * time.Second)).To(BeEmpty())
		Expect(w.UnconfirmedEndpoints(service, "dc1")).To(BeEmpty())
		Expect(w.DropMissing()).To(Equal([]fleet.DroppedEndpoint{{ID: "e1", MissingFor: time.Minute}}))
		Expect(w.MissingCount()).To(BeZero())
	})
})
