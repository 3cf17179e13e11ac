package drain_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/drain"
)

// sized, unsized and unknown are estimates of the longest run.
func sized(t time.Duration) drain.LongestRun {
	return drain.LongestRun{Time: t, Known: true, Sized: true}
}
func unsized(t time.Duration) drain.LongestRun { return drain.LongestRun{Time: t, Known: true} }

var unknown drain.LongestRun

// admit returns a request that ends within timeout, 0 for never, and whose runs take up to longest.
func admit(g *drain.Gate, timeout time.Duration, longest drain.LongestRun) *drain.Request {
	GinkgoHelper()
	_, r := g.Admit(context.Background())
	Expect(r).NotTo(BeNil())
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	r.Bound(deadline, func() drain.LongestRun { return longest })
	return r
}

// schedule returns the plan of a process that has been leaving for some time, of eight seconds in all.
// Its addresses expire after five of them.
func schedule(since time.Duration) drain.Schedule {
	leavesAt := time.Now().Add(-since)
	return drain.Schedule{LeavesAt: leavesAt, AddressesExpire: leavesAt.Add(5 * time.Second), StopsAt: leavesAt.Add(8 * time.Second)}
}

var _ = Describe("A gate", func() {
	// Guards against requests that are cut off at the stop, and against needless refusals before it.
	DescribeTable("bounds the start of requests", func(since, timeout time.Duration, longest drain.LongestRun, late bool) {
		g := drain.NewGate()
		r := admit(g, timeout, longest)
		Expect(r.RefuseLate()).To(BeNil())
		g.Leave(schedule(since))
		if late {
			Expect(r.RefuseLate()).To(HaveField("Outcome", crocusreel.OutcomeNotRun))
			return
		}
		Expect(r.RefuseLate()).To(BeNil())
	},
		Entry("that end before the stop", 7*time.Second, 900*time.Millisecond, unknown, false),
		Entry("that may end after it", 7*time.Second, 1100*time.Millisecond, unsized(time.Millisecond), true),
		Entry("that end before it as others do, while addresses are valid", 4900*time.Millisecond, time.Minute, unsized(3*time.Second), false),
		Entry("without a timeout, while addresses are valid", 4900*time.Millisecond, time.Duration(0), unsized(3*time.Second), false),
		Entry("without a timeout later", 5100*time.Millisecond, time.Duration(0), unsized(time.Millisecond), true),
		Entry("that others of their kind outlast", 4900*time.Millisecond, time.Minute, unsized(3200*time.Millisecond), true),
		Entry("of which nothing is known", 100*time.Millisecond, time.Minute, unknown, true),
		Entry("without a timeout of which nothing is known", 100*time.Millisecond, time.Duration(0), unknown, true),
		Entry("whose run may be too long", time.Duration(0), time.Minute, sized(9*time.Second), true),
		Entry("whose run is short enough", time.Duration(0), time.Minute, sized(7*time.Second), false),
		Entry("whose run may be too long, but not its deadline", time.Duration(0), 7*time.Second, sized(9*time.Second), false),
	)

	// Guards against a grace period that is shorter than the time for which addresses are valid.
	It("keeps a third of a short grace period for requests that certainly end", func() {
		g := drain.NewGate()
		r := admit(g, 0, unsized(time.Millisecond))
		now := time.Now()
		g.Leave(drain.Schedule{LeavesAt: now.Add(-2100 * time.Millisecond), AddressesExpire: now.Add(time.Minute), StopsAt: now.Add(900 * time.Millisecond)})
		Expect(r.RefuseLate()).NotTo(BeNil())
	})

	// Guards against requests that wait only to be refused.
	It("ends a wait at the latest start, also if the process leaves during the wait", func() {
		g := drain.NewGate()
		r := admit(g, time.Minute, sized(7500*time.Millisecond))
		ctx, done := r.WhileUnsent(context.Background())
		defer done()
		Expect(ctx.Err()).To(BeNil())
		g.Leave(schedule(300 * time.Millisecond))
		Expect(drain.RefuseInterrupted(ctx)).To(BeNil())
		Eventually(ctx.Done(), 250*time.Millisecond).Should(BeClosed())
		Expect(drain.RefuseInterrupted(ctx)).To(HaveField("Reason", crocusreel.ReasonShuttingDown))
	})

	// Guards against a request that is sent by what was known when it was admitted.
	It("asks for the longest run again when the request might be sent", func() {
		g := drain.NewGate()
		_, r := g.Admit(context.Background())
		longest := sized(time.Second)
		r.Bound(time.Now().Add(time.Minute), func() drain.LongestRun { return longest })
		g.Leave(schedule(2 * time.Second))
		Expect(r.RefuseLate()).To(BeNil())
		longest = sized(7 * time.Second)
		Expect(r.RefuseLate()).To(HaveField("Reason", crocusreel.ReasonShuttingDown))
	})

	// Guards against requests that are in flight at the stop and get no answer.
	It("cancels the requests in flight when it closes, and admits no more", func() {
		g := drain.NewGate()
		ctx, r := g.Admit(context.Background())
		Expect(g.CloseIfIdle()).To(BeFalse())
		Expect(g.Close()).To(ConsistOf(r))
		Expect(context.Cause(ctx)).To(MatchError(drain.ErrStopped))
		_, refused := g.Admit(context.Background())
		Expect(refused).To(BeNil())
		r.End()
		Expect(g.InFlight()).To(BeZero())
	})
})
