package tests

import (
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/api"
	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// withBookingService returns twoDataCentres with one plain service that books beds.
func withBookingService(serviceArgs ...string) rig.Spec {
	spec := twoDataCentres()
	spec.Services = []rig.ServiceSpec{{Name: "beds", DataCentre: "dc1", Prefix: "/beds", Args: serviceArgs}}
	return spec
}

var _ = Describe("A refusal with not_run", Ordered, ContinueOnFailure, func() {
	var r *rig.Rig
	var beds *rig.Endpoint

	BeforeAll(func() {
		r = startRig(withBookingService())
		beds = r.Services[0]
	})

	AfterEach(func(ctx SpecContext) { restore(ctx, r) }, NodeTimeout(startTimeout))

	// The platform is down when a caller books for the first time. The booking can't be recorded,
	// so it must not run, neither now nor once the platform is back.
	It("is given for a first attempt while the platform is down, and the work never runs", func(ctx SpecContext) {
		setPlatformFaults(ctx, r, admin.PlatformFaults{Down: true})
		key := uuid.NewString()
		s := send(ctx, bookingRequest(r.VMs[0].CallerAddress, key, 1))
		Expect(s.refusal).NotTo(BeNil(), "%+v", s)
		Expect(s.refusal.Reason).To(Equal(crocusreel.ReasonLedgerUnavailable))
		Expect(s.refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
		Expect(s.refusal.RetryAfterMS).To(BeNumerically(">", 0))
		setPlatformFaults(ctx, r, admin.PlatformFaults{})
		Consistently(func() []admin.Run { return runsWithKey(ctx, key, beds) }).
			WithTimeout(time.Second).Should(BeEmpty())
		Eventually(func() int { return send(ctx, bookingRequest(r.VMs[1].CallerAddress, key, 2)).status }).
			Should(Equal(http.StatusOK))
		Expect(runsWithKey(ctx, key, beds)).To(HaveLen(1))
	}, SpecTimeout(time.Minute))

	// The first attempt books the bed but its response is lost; then the platform goes down and the
	// caller retries through another gateway. If that attempt were refused with not_run, the caller
	// would book again under a new key and the bed would be booked twice.
	It("is never given to a later attempt whose first one ran", func(ctx SpecContext) {
		setFaults(ctx, admin.ServiceFaults{LoseNext: 1}, beds)
		key := uuid.NewString()
		first := send(ctx, bookingRequest(r.VMs[0].CallerAddress, key, 1))
		Expect(first.refusal).NotTo(BeNil(), "%+v", first)
		Expect(first.refusal.Outcome).To(Equal(crocusreel.OutcomeUnknown))
		Expect(runsWithKey(ctx, key, beds)).To(HaveLen(1))

		setPlatformFaults(ctx, r, admin.PlatformFaults{Down: true})
		for _, v := range r.VMs {
			s := send(ctx, bookingRequest(v.CallerAddress, key, 2))
			Expect(s.refusal).NotTo(BeNil(), "%+v", s)
			Expect(s.refusal.Outcome).To(Equal(crocusreel.OutcomeUnknown))
		}
		setPlatformFaults(ctx, r, admin.PlatformFaults{})
		s := send(ctx, bookingRequest(r.VMs[1].CallerAddress, key, 3))
		Expect(s.refusal).NotTo(BeNil(), "%+v", s)
		Expect(s.refusal.Outcome).To(Equal(crocusreel.OutcomeUnknown))
		Expect(runsWithKey(ctx, key, beds)).To(HaveLen(1))
	}, SpecTimeout(time.Minute))

	// As in the spec before, but the service has died before the second attempt, which therefore
	// fails before the run record is read.
	It("is never given to a later attempt that finds no endpoint", func(ctx SpecContext) {
		setFaults(ctx, admin.ServiceFaults{LoseNext: 1}, beds)
		key := uuid.NewString()
		Expect(send(ctx, bookingRequest(r.VMs[0].CallerAddress, key, 1)).status).NotTo(Equal(http.StatusOK))
		Expect(runsWithKey(ctx, key, beds)).To(HaveLen(1))
		beds.Kill()
		for range 5 {
			s := send(ctx, bookingRequest(r.VMs[1].CallerAddress, key, 2))
			Expect(s.refusal).NotTo(BeNil(), "%+v", s)
			Expect(s.refusal.Outcome).To(Equal(crocusreel.OutcomeUnknown))
		}
	}, SpecTimeout(time.Minute))

	// A generation is lost with its engine, and no other engine is available. The refusal comes
	// from the second try, which ran nothing, but the first one did run.
	It("is never given to a generation that an engine started", func(ctx SpecContext) {
		key := uuid.NewString()
		q := generationRequest(r.VMs[0].CallerAddress, "note [[crash]]", 200)
		q.key, q.attempt = key, 1
		q.body = completion{Model: "m", Prompt: key + " [[crash]] [[len=200]]"}
		s := send(ctx, q)
		Expect(s.refusal).NotTo(BeNil(), "%+v", s)
		var started []admin.Run
		for _, e := range r.Engines {
			restoreEndpoint(ctx, r, e)
			for _, run := range runsOf(ctx, e) {
				// Idempotent work is sent to engines without its key.
				if strings.HasPrefix(run.PromptHead, key) {
					started = append(started, run)
				}
			}
		}
		Expect(started).NotTo(BeEmpty())
		Expect(s.refusal.Outcome).NotTo(Equal(crocusreel.OutcomeNotRun))
	}, SpecTimeout(time.Minute))

	// A non-idempotent generation starts and its engine dies. At the second attempt no engine is
	// left, so the attempt is refused for lack of an endpoint before the run record of the first
	// one is read.
	It("is never given to a later attempt that gets no place in a queue", func(ctx SpecContext) {
		key := uuid.NewString()
		q := generationRequest(r.VMs[0].CallerAddress, "letter", 300)
		q.key, q.attempt, q.nonIdempotent = key, 1, true
		q.onToken = func(index int) bool {
			if index == 5 {
				for _, e := range r.Engines {
					e.Kill()
				}
			}
			return true
		}
		first := send(ctx, q)
		Expect(first.refusal).NotTo(BeNil(), "%+v", first)
		Expect(first.refusal.Outcome).NotTo(Equal(crocusreel.OutcomeNotRun))

		for _, v := range r.VMs {
			Eventually(func() *api.ErrorBody { return send(ctx, generationRequest(v.CallerAddress, "other", 1)).refusal }).
				Should(HaveField("Reason", crocusreel.ReasonNoEndpoint))
			again := generationRequest(v.CallerAddress, "letter", 300)
			again.key, again.attempt, again.nonIdempotent = key, 2, true
			s := send(ctx, again)
			Expect(s.refusal).NotTo(BeNil(), "%+v", s)
			Expect(s.refusal.Outcome).NotTo(Equal(crocusreel.OutcomeNotRun), "%+v", s.refusal)
		}
		for _, e := range r.Engines {
			restoreEndpoint(ctx, r, e)
		}
		Expect(runsWithKey(ctx, key, r.Engines...)).To(HaveLen(1))
	}, SpecTimeout(time.Minute))
})
