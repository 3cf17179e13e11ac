package tests

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/api"
	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

const (
	// retryRatio is the number of retries that each request of a workspace adds to its budget.
	retryRatio = 0.1
	// retryBurst is the maximum number of retries that a workspace can accumulate at a gateway.
	retryBurst = 20
)

var _ = Describe("Retries", Ordered, ContinueOnFailure, func() {
	var r *rig.Rig

	BeforeAll(func() {
		spec := twoDataCentres()
		spec.Base = fmt.Sprintf("[limits]\nretry_ratio = %g\n", retryRatio)
		for i := range 3 {
			spec.Services = append(spec.Services,
				rig.ServiceSpec{Name: fmt.Sprint("beds", i+1), DataCentre: "dc1", Prefix: "/beds"},
				rig.ServiceSpec{Name: fmt.Sprint("notes", i+1), DataCentre: "dc2", Prefix: "/notes", NonIdempotentMethods: []string{http.MethodDelete}})
		}
		r = startRig(spec)
	})

	AfterEach(func(ctx SpecContext) { restore(ctx, r) }, NodeTimeout(startTimeout))

	// sendCalls sends n idempotent calls and returns the number of runs that they started at the
	// services and the number of calls that were answered.
	sendCalls := func(ctx SpecContext, name string, n int) (started, answered int) {
		before := 0
		for _, s := range r.Services {
			before += len(runsOf(ctx, s))
		}
		for i := range n {
			q := bookingRequest(r.VMs[i%2].CallerAddress, fmt.Sprint(name, i), 1)
			q.path, q.body = "/services/notes/add", fmt.Sprint(name, i)
			q.header = map[string]string{api.HeaderIdempotent: "true"}
			if send(ctx, q).status == http.StatusOK {
				answered++
			}
		}
		for _, s := range r.Services {
			started += len(runsOf(ctx, s))
		}
		return started - before, answered
	}

	// retries returns the gateways' retry counters by reason, summed over all gateways.
	retries := func(ctx SpecContext) map[string]int {
		all := make(map[string]int)
		for _, vm := range r.VMs {
			vars, err := r.Vars(ctx, vm.GatewayVarsAddress)
			Expect(err).NotTo(HaveOccurred())
			for reason, n := range vars["retries"] {
				all[reason] += int(n)
			}
		}
		return all
	}

	// Every service loses all of its responses for a while. Without a budget each gateway could try
	// each request at every service, which triples the load on services that already struggle, and
	// could go on doing so after they recover.
	It("are bounded by the budget during an outage and cease after it", func(ctx SpecContext) {
		const calls = 300
		setFaults(ctx, admin.ServiceFaults{LoseAnswers: 1}, r.Services...)
		begun := time.Now()
		started, answered := sendCalls(ctx, "outage-", calls)
		during := time.Since(begun)
		Expect(answered).To(BeZero())
		Expect(started).To(BeNumerically("<=", calls+calls*retryRatio+2*retryBurst))
		Expect(started).To(BeNumerically(">", calls), "nothing was retried")
		AddReportEntry("during the outage", fmt.Sprintf("%d calls started %d runs: factor %.2f, %s each",
			calls, started, float64(started)/calls, during/calls))

		setFaults(ctx, admin.ServiceFaults{}, r.Services...)
		Eventually(func() int {
			_, ok := sendCalls(ctx, fmt.Sprint("heal-", time.Now().UnixNano()), 4)
			return ok
		}).Should(Equal(4))
		before := retries(ctx)
		started, answered = sendCalls(ctx, "after-", calls)
		after := retries(ctx)
		AddReportEntry("retry counters", fmt.Sprintf("before the calls: %v; after the calls: %v", before, after))
		Expect(answered).To(Equal(calls))
		// A call that is late on a busy machine is hedged at a second service. That is not a retry,
		// and it is the only reason for which there may be more runs than calls.
		hedged := after["hedge"] - before["hedge"]
		Expect(hedged).To(BeNumerically("<=", calls*retryRatio))
		Expect(started).To(And(BeNumerically(">=", calls), BeNumerically("<=", calls+hedged)))
		before["hedge"], after["hedge"] = 0, 0
		Expect(after).To(Equal(before))
		AddReportEntry("after the outage", fmt.Sprintf("%d calls started %d runs", calls, started))
	}, SpecTimeout(time.Minute))

	// The platform is down and callers go on booking. What can't be recorded can't run, so the
	// refusal must come at once; otherwise each caller would wait for a timeout to learn that.
	It("do not delay refusals: bookings during a platform outage are refused at once", func(ctx SpecContext) {
		setPlatformFaults(ctx, r, admin.PlatformFaults{Down: true})
		for i := range 20 {
			begun := time.Now()
			s := send(ctx, bookingRequest(r.VMs[i%2].CallerAddress, fmt.Sprint("down-", i), 1))
			Expect(s.refusal).NotTo(BeNil(), "%+v", s)
			Expect(s.refusal.RetryAfterMS).To(BeNumerically(">", 0))
			Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
		}
	}, SpecTimeout(time.Minute))
})
