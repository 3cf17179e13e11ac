package relay_test

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/routing"
)

// noRetries takes all retries out of the relay's budget.
func (r *testRelay) noRetries() { r.Budgets.Ratio, r.Budgets.Slack = 0, 0 }

// refusing adds endpoints at which nothing listens. A low load makes them more attractive than the
// endpoints that work.
func (r *testRelay) refusing(service string, ids ...string) {
	GinkgoHelper()
	for _, id := range ids {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		r.Fleet.Update(fleet.Instance{ID: id, Service: service, Address: address, DataCentre: "dc1", Slots: 8})
	}
}

var _ = Describe("a request whose connections are refused", func() {
	// Guards against refusals for lack of retry budget although no attempt arrived anywhere.
	DescribeTable("is sent to another endpoint without a retry budget",
		func(kind routing.Kind) {
			for range 10 {
				r := newTestRelay()
				r.noRetries()
				r.refusing("app", "a", "b", "c")
				r.refusing("pool", "d", "e", "f")
				r.service("i1", worker.None)
				r.engine("e1", 3, nil)
				v, _ := r.serve(r.request(kind))
				Expect(v.Refusal).To(BeNil())
				Expect(v.Attempts).To(BeNumerically("<=", 4))
			}
		},
		Entry("call that may run only once", routing.NonIdempotent),
		Entry("repeatable call", routing.Idempotent),
		Entry("stream", routing.Streaming),
	)

	// Guards against a request that gives up at maxSends while an endpoint with capacity is left.
	It("reaches the one endpoint of ten that is left", func() {
		r := newTestRelay()
		r.refusing("pool", "a", "b", "c", "d", "e", "f", "g", "h")
		r.engine("e1", 3, nil)
		for range 10 {
			v, _ := r.serve(r.request(routing.Streaming))
			Expect(v.Refusal).To(BeNil())
			Expect(v.Attempts).To(BeNumerically("<=", 9))
		}
	})

	// Guards against free attempts after one that arrived: they are retries.
	It("needs the budget once an attempt has arrived", func() {
		r := newTestRelay()
		r.noRetries()
		full := r.service("full", worker.Shed)
		r.refusing("app", "a")
		denied := 0
		for range 20 {
			v, _ := r.serve(r.request(routing.NonIdempotent))
			Expect(v.Refusal).NotTo(BeNil())
			Expect(v.Refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
			Expect(v.Attempts).To(BeNumerically("<=", 2))
			denied++
		}
		Expect(denied).To(Equal(20))
		Expect(full.Runs()).To(BeEmpty())
	})

	// Guards against connection attempts without end, and beyond the deadline, when all endpoints refuse.
	It("ends before its deadline when all endpoints refuse", func() {
		r := newTestRelay()
		r.noRetries()
		ids := make([]string, 40)
		for i := range ids {
			ids[i] = string(rune('A' + i))
		}
		r.refusing("app", ids...)
		req := r.request(routing.NonIdempotent)
		req.Deadline = time.Now().Add(400 * time.Millisecond)
		v, _ := r.serve(req)
		Expect(v.Refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
		Expect(v.Attempts).To(BeNumerically("<=", 9))
		Expect(time.Now()).To(BeTemporally("<", req.Deadline.Add(100*time.Millisecond)))
	})

	// Guards against an effect of the mechanism when it is disabled.
	It("is refused for lack of budget when the mechanism is disabled", func() {
		r := newTestRelay()
		r.noRetries()
		r.Fleet.Disabled = fleet.DisabledMechanisms{fleet.UnreachableReports: true}
		r.refusing("app", "a", "b", "c")
		v, _ := r.serve(r.request(routing.NonIdempotent))
		Expect(v.Refusal.Reason).To(Equal(crocusreel.ReasonEndpointRefused))
		Expect(v.Attempts).To(Equal(1))
	})

	// Guards against a dead endpoint that the other nodes do not learn of.
	It("has the endpoint reported to the other nodes", func() {
		r := newTestRelay()
		r.refusing("app", "a")
		r.service("i1", worker.None)
		Eventually(func() []fleet.UnreachableReport {
			r.serve(r.request(routing.NonIdempotent))
			return r.Fleet.OwnUnreachable()
		}).Should(ConsistOf(HaveField("Key", fleet.Incarnation{ID: "a"}.Key())))
	})

	// Guards against a node that is cut off from a service and makes the others suspend its endpoints.
	It("has no endpoint reported while no other endpoint of the service accepts connections", func() {
		r := newTestRelay()
		r.refusing("app", "a", "b", "c")
		r.engine("e1", 3, nil)
		for range 3 {
			req := r.request(routing.NonIdempotent)
			req.Deadline = time.Now().Add(100 * time.Millisecond)
			r.serve(req)
			Expect(r.Fleet.OwnUnreachable()).To(BeEmpty())
		}
		Consistently(r.Fleet.OwnUnreachable, "200ms").Should(BeEmpty())
	})

	// Guards against a dead engine that is reported only once new work meets it.
	It("has an endpoint reported that broke a connection and refuses another one", func() {
		r := newTestRelay()
		r.service("i1", worker.None)
		dying := r.service("a", worker.Crash)
		for len(dying.Runs()) == 0 {
			r.serve(r.request(routing.NonIdempotent))
		}
		Eventually(r.Fleet.OwnUnreachable).Should(ConsistOf(HaveField("Key", fleet.Incarnation{ID: "a"}.Key())))
	})
})
