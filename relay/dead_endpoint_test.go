package relay_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/routing"
)

var _ = Describe("the death of an endpoint", func() {
	// Guards against requests that count as deadly because the node was cut off from the endpoints.
	It("is not counted while no other endpoint accepts connections", func() {
		r := newTestRelay()
		a, b := r.service("a", worker.Crash), r.service("b", worker.None)
		b.Stop()
		request := r.request(routing.NonIdempotent)
		for runsAt([]*worker.Worker{a}) == 0 {
			request = r.request(routing.NonIdempotent)
			r.Serve(context.Background(), request, &recordingSink{})
		}
		Expect(r.Strikes.Count(request.Fingerprint)).To(BeZero())
	})

	// Guards against requests that count as deadly because some endpoints refuse this node alone.
	DescribeTable("is counted by what another node finds",
		func(refuses, known bool, strikes int) {
			r := newTestRelay()
			r.service("a", worker.Crash)
			r.start("other", worker.Options{ID: "c"})
			r.Witness = func(_ context.Context, in fleet.Instance) (bool, bool) {
				Expect(in.ID).To(Equal("a"))
				return refuses, known
			}
			request := r.request(routing.NonIdempotent)
			r.Serve(context.Background(), request, &recordingSink{})
			Expect(r.Strikes.Count(request.Fingerprint)).To(Equal(strikes))
		},
		Entry("which is refused too", true, true, 1),
		Entry("which is accepted", false, true, 0),
		Entry("if no other node can be asked", false, false, 1),
	)

	// Guards against deadly requests that are not recognised.
	It("is counted if another endpoint accepts connections", func() {
		r := newTestRelay()
		a := r.service("a", worker.Crash)
		r.start("other", worker.Options{ID: "c"})
		request := r.request(routing.NonIdempotent)
		r.Serve(context.Background(), request, &recordingSink{})
		Expect(runsAt([]*worker.Worker{a})).To(Equal(1))
		Expect(r.Strikes.Count(request.Fingerprint)).To(Equal(1))
	})
})
