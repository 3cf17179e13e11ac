package tests

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

// bookAndAwaitClaim sends a booking and returns once the platform has applied its claim, while the
// platform's response to the claim is still delayed.
func bookAndAwaitClaim(ctx context.Context, r *rig.Rig, key string) <-chan response {
	GinkgoHelper()
	setPlatformFaults(ctx, r, admin.PlatformFaults{SlowAnswerMS: 800})
	result := sendAsync(ctx, bookingRequest(r.VMs[0].CallerAddress, key, 1))
	Eventually(func() bool { return claimed(ctx, r, key) }).Should(BeTrue())
	return result
}

// claimed reports whether the platform has applied a write to the run record of the key.
func claimed(ctx context.Context, r *rig.Rig, key string) bool {
	GinkgoHelper()
	history, err := r.Platform.Admin.History(ctx)
	Expect(err).NotTo(HaveOccurred())
	for _, op := range history {
		if op.Txn == nil || !op.Applied {
			continue
		}
		for _, w := range op.Txn.Writes {
			if w.Key == rig.DefaultWorkspace+"/"+key {
				return true
			}
		}
	}
	return false
}

// Each guarantee holds both with services that deduplicate repeated calls and with services that
// don't.
var _ = DescribeTableSubtree("Non-idempotent work", Ordered, ContinueOnFailure, func(serviceArgs ...string) {
	var r *rig.Rig
	var beds *rig.Endpoint

	BeforeAll(func() {
		r = startRig(withBookingService(serviceArgs...))
		beds = r.Services[0]
	})

	AfterEach(func(ctx SpecContext) { restore(ctx, r) }, NodeTimeout(startTimeout))

	// A caller sends the same booking through two gateways at the same time. Neither finds a run
	// record; if the record were not written by compare-and-set, both would book.
	It("runs once when two gateways race on one key", func(ctx SpecContext) {
		for i := range 10 {
			key := uuid.NewString()
			a := sendAsync(ctx, bookingRequest(r.VMs[0].CallerAddress, key, 0))
			b := sendAsync(ctx, bookingRequest(r.VMs[1].CallerAddress, key, 0))
			succeeded := 0
			for _, s := range []response{<-a, <-b} {
				if s.status == http.StatusOK {
					succeeded++
					continue
				}
				Expect(s.refusal).NotTo(BeNil(), "%+v", s)
				Expect(s.refusal.Outcome).To(Equal(crocusreel.OutcomeUnknown))
			}
			Expect(succeeded).To(BeNumerically(">=", 1), "round %d", i)
			Expect(runsWithKey(ctx, key, beds)).To(HaveLen(1))
		}
	}, SpecTimeout(time.Minute))

	// The gateway freezes right after its claim is applied, stays frozen past every lease and
	// resumes. If another gateway took over the run meanwhile, the resumed one would book the bed a
	// second time.
	It("runs once when the holder of the claim freezes and wakes", func(ctx SpecContext) {
		key := uuid.NewString()
		first := bookAndAwaitClaim(ctx, r, key)
		r.VMs[0].Gateway.Freeze()
		setPlatformFaults(ctx, r, admin.PlatformFaults{})
		for attempt := 2; attempt < 8; attempt++ {
			s := send(ctx, bookingRequest(r.VMs[1].CallerAddress, key, attempt))
			Expect(s.refusal).NotTo(BeNil(), "%+v", s)
			Expect(s.refusal.Outcome).To(Equal(crocusreel.OutcomeUnknown))
			time.Sleep(500 * time.Millisecond)
		}
		r.VMs[0].Gateway.Thaw()
		Expect((<-first).status).To(Equal(http.StatusOK))
		again := send(ctx, bookingRequest(r.VMs[1].CallerAddress, key, 9))
		Expect(again.status).To(Equal(http.StatusOK))
		Expect(runsWithKey(ctx, key, beds)).To(HaveLen(1))
	}, SpecTimeout(time.Minute))

	// The gateway is killed between its claim and its response. Nobody can know whether it sent the
	// work, so no gateway may send it again, including the restarted one.
	It("is not run again after the holder of its claim died", func(ctx SpecContext) {
		key := uuid.NewString()
		setFaults(ctx, admin.ServiceFaults{SlowAnswerMS: 2000}, beds)
		first := sendAsync(ctx, bookingRequest(r.VMs[0].CallerAddress, key, 1))
		Eventually(func() []admin.Run { return runsWithKey(ctx, key, beds) }).Should(HaveLen(1))
		r.VMs[0].Gateway.Kill()
		Expect((<-first).err).To(HaveOccurred())
		setFaults(ctx, admin.ServiceFaults{}, beds)
		Expect(r.VMs[0].Gateway.Start()).To(Succeed())
		Expect(r.WaitHealthy(ctx, r.VMs[0].CallerAddress)).To(Succeed())
		for attempt := 2; attempt < 6; attempt++ {
			s := send(ctx, bookingRequest(r.VMs[attempt%2].CallerAddress, key, attempt))
			Expect(s.refusal).NotTo(BeNil(), "%+v", s)
			Expect(s.refusal.Outcome).To(Equal(crocusreel.OutcomeUnknown))
		}
		Expect(runsWithKey(ctx, key, beds)).To(HaveLen(1))
	}, SpecTimeout(time.Minute))

	// The platform applies writes but loses responses, services lose responses too, and callers
	// retry everything through the other gateway. Treating a lost response as a failure books
	// twice; treating it as a success claims a run that belongs to another gateway.
	It("runs at most once under lost answers of platform and service", func(ctx SpecContext) {
		setPlatformFaults(ctx, r, admin.PlatformFaults{LoseAnswers: 0.3, LoseRequests: 0.1})
		setFaults(ctx, admin.ServiceFaults{LoseAnswers: 0.2}, beds)
		const bookings = 30
		results := make([]chan []response, bookings)
		keys := make([]string, bookings)
		for i := range bookings {
			keys[i], results[i] = uuid.NewString(), make(chan []response, 1)
			go func() { results[i] <- bookRepeatedly(ctx, r, keys[i], i) }()
		}
		for i := range bookings {
			expectTruthfulOutcomes(<-results[i], runsWithKey(ctx, keys[i], beds))
		}
		setPlatformFaults(ctx, r, admin.PlatformFaults{})
		expectLinearizable(ctx, r)
	}, SpecTimeout(time.Minute))

	// Guards against bookings that run again because the platform came back from a copy without their
	// records. Its history is not linearizable from here on, so this spec is the last one.
	It("runs at most once when the platform is restored from an older copy, three times in series", func(ctx SpecContext) {
		for round := range 3 {
			setPlatformFaults(ctx, r, admin.PlatformFaults{KeepCopy: true})
			setFaults(ctx, admin.ServiceFaults{SlowAnswerMS: 300, LoseAnswers: 0.5}, beds)
			const bookings = 20
			results := make([]chan []response, bookings)
			keys := make([]string, bookings)
			for i := range bookings {
				keys[i], results[i] = uuid.NewString(), make(chan []response, 1)
				go func() {
					time.Sleep(time.Duration(i) * 40 * time.Millisecond)
					results[i] <- bookUntilDone(ctx, r, keys[i], i)
				}()
			}
			time.Sleep(400 * time.Millisecond)
			setPlatformFaults(ctx, r, admin.PlatformFaults{Unreachable: true})
			time.Sleep(time.Duration(round) * 200 * time.Millisecond)
			setPlatformFaults(ctx, r, admin.PlatformFaults{Restore: true})
			for i := range bookings {
				expectTruthfulOutcomes(<-results[i], runsWithKey(ctx, keys[i], beds))
			}
		}
	}, SpecTimeout(2*time.Minute))
},
	Entry("at a service that drops repeats", "--drops-repeats"),
	Entry("at a service that does not"),
)

// bookRepeatedly sends four attempts through alternating gateways, whatever their results.
func bookRepeatedly(ctx context.Context, r *rig.Rig, key string, offset int) []response {
	var all []response
	for attempt := 1; attempt <= 4; attempt++ {
		all = append(all, send(ctx, bookingRequest(r.VMs[(offset+attempt)%2].CallerAddress, key, attempt)))
	}
	return all
}

// bookUntilDone sends attempts through alternating gateways until one succeeds, at most 16.
func bookUntilDone(ctx context.Context, r *rig.Rig, key string, offset int) []response {
	var all []response
	for attempt := 1; attempt <= 16; attempt++ {
		s := send(ctx, bookingRequest(r.VMs[(offset+attempt)%2].CallerAddress, key, attempt))
		all = append(all, s)
		if s.status == http.StatusOK {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	return all
}

// expectTruthfulOutcomes compares the responses that a caller received, in order of attempts, with
// the runs at the endpoint.
func expectTruthfulOutcomes(responses []response, runs []admin.Run) {
	GinkgoHelper()
	Expect(len(runs)).To(BeNumerically("<=", 1))
	for i, s := range responses {
		what := fmt.Sprintf("attempt %d: %+v", i+1, s)
		switch {
		case s.status == http.StatusOK:
			Expect(runs).To(HaveLen(1), what)
		case s.refusal != nil && s.refusal.Outcome == crocusreel.OutcomeNotRun:
			Expect(i).To(BeZero(), "not_run returned to a later attempt; %s", what)
		default:
			Expect(s.refusal).NotTo(BeNil(), what)
		}
	}
}
