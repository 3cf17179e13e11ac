package relay_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/reach"
	"github.com/crocusreel/crocusreel/relay"
	"github.com/crocusreel/crocusreel/routing"
)

// fakeForwarder is a relay.Forwarder whose answers are given in advance.
type fakeForwarder struct {
	needed bool
	// results are the results of successive calls. An accepted one that is not lost answers 200.
	results []relay.ForwardResult
	// begins makes the calls begin the answer before they return.
	begins bool
	// requests are the forwarded requests as they were at the time of the call.
	requests []relay.Request
}

// Needed implements relay.Forwarder.
func (f *fakeForwarder) Needed(string) bool { return f.needed }

// Forward implements relay.Forwarder.
func (f *fakeForwarder) Forward(_ context.Context, r *relay.Request, sink relay.Sink) relay.ForwardResult {
	result := f.results[len(f.requests)]
	f.requests = append(f.requests, *r)
	if result.Accepted && (!result.Lost || f.begins) && result.Result.Refusal == nil {
		Expect(sink.Begin(http.StatusOK, http.Header{})).To(Succeed())
		result.Result.Status = http.StatusOK
	}
	return result
}

var (
	servedElsewhere = relay.ForwardResult{Accepted: true, Via: "10.0.0.2"}
	lostElsewhere   = relay.ForwardResult{Accepted: true, Lost: true, Via: "10.0.0.2"}
)

var _ = Describe("a relay that reaches no endpoint", func() {
	newRelay := func(results ...relay.ForwardResult) (*testRelay, *fakeForwarder, *worker.Worker) {
		r := newTestRelay()
		app := r.service("a", worker.None)
		f := &fakeForwarder{needed: true, results: results}
		r.Forwarder = f
		return r, f, app
	}

	It("has requests served by another node", func() {
		r, f, app := newRelay(servedElsewhere)
		result := r.Serve(context.Background(), r.request(routing.NonIdempotent), &recordingSink{})
		Expect(result.Status).To(Equal(http.StatusOK))
		Expect(result.Via).To(Equal("10.0.0.2"))
		Expect(f.requests).To(HaveLen(1))
		Expect(app.Runs()).To(BeEmpty())
	})

	// Guards against requests that are passed from node to node.
	It("forwards no request that was forwarded to it", func() {
		r, f, app := newRelay()
		request := r.request(routing.NonIdempotent)
		request.Forwarded = true
		Expect(r.Serve(context.Background(), request, &recordingSink{}).Status).To(Equal(http.StatusOK))
		Expect(f.requests).To(BeEmpty())
		Expect(app.Runs()).To(HaveLen(1))
	})

	// Guards against callers that are refused because no other node accepts their request.
	It("tries by itself if no other node accepts a request", func() {
		r, f, app := newRelay(relay.ForwardResult{})
		Expect(r.Serve(context.Background(), r.request(routing.NonIdempotent), &recordingSink{}).Status).To(Equal(http.StatusOK))
		Expect(f.requests).To(HaveLen(1))
		Expect(app.Runs()).To(HaveLen(1))
	})

	// Guards against a request that runs twice, or is said not to have run, because the node that
	// served it was lost.
	DescribeTable("does not send non-idempotent work again after the other node was lost",
		func(kind routing.Kind, begins bool) {
			r, f, app := newRelay(lostElsewhere, servedElsewhere)
			f.begins = begins
			out := &recordingSink{}
			result := r.Serve(context.Background(), r.request(kind), out)
			Expect(result.Refusal).NotTo(BeNil())
			Expect(result.Refusal.Outcome).To(Equal(crocusreel.OutcomeUnknown))
			Expect(result.Broken).To(Equal(begins))
			Expect(f.requests).To(HaveLen(1))
			Expect(app.Runs()).To(BeEmpty())
		},
		Entry("calls", routing.NonIdempotent, false),
		Entry("streams", routing.Streaming, false),
		Entry("streams that have begun", routing.Streaming, true),
	)

	// Guards against a retry that is not counted, and against one beyond the limits of the route.
	It("sends idempotent work to a further node, as a retry", func() {
		r, f, _ := newRelay(lostElsewhere, servedElsewhere)
		Expect(r.Serve(context.Background(), r.request(routing.Idempotent), &recordingSink{}).Status).To(Equal(http.StatusOK))
		Expect(f.requests).To(HaveLen(2))
		Expect(f.requests[0].Counted).To(BeFalse())
		Expect(f.requests[1].Counted).To(BeTrue())
		Expect(f.requests[1].Runs).To(Equal(1))
		r, f, _ = newRelay(lostElsewhere, lostElsewhere, servedElsewhere)
		result := r.Serve(context.Background(), r.request(routing.Idempotent), &recordingSink{})
		Expect(result.Refusal).NotTo(BeNil())
		Expect(result.Refusal.Outcome).To(Equal(crocusreel.OutcomeUnknown))
		Expect(f.requests).To(HaveLen(2))
	})

	// Guards against an answer that is joined from two runs because the node that served a large one was lost.
	It("does not send idempotent work again whose answer has begun", func() {
		r, f, app := newRelay(lostElsewhere, servedElsewhere)
		f.begins = true
		out := &recordingSink{}
		result := r.Serve(context.Background(), r.request(routing.Idempotent), out)
		Expect(result.Broken).To(BeTrue())
		Expect(f.requests).To(HaveLen(1))
		Expect(app.Runs()).To(BeEmpty())
	})

	// Guards against work for a key that was revoked while the request waited at the node that took it.
	It("forwards nothing that must not run any more", func() {
		r, f, _ := newRelay()
		r.Admit = func(*relay.Request) *crocusreel.Refusal {
			return crocusreel.Refuse(crocusreel.ReasonNotReady, crocusreel.OutcomeNotRun, time.Second, "outdated")
		}
		result := r.Serve(context.Background(), r.request(routing.NonIdempotent), &recordingSink{})
		Expect(result.Refusal.Reason).To(Equal(crocusreel.ReasonNotReady))
		Expect(f.requests).To(BeEmpty())
	})

	// Guards against a refusal that says not_run although an endpoint may have run the request before.
	DescribeTable("does not say that work has not run that was sent before",
		func(admit func(*relay.Request) *crocusreel.Refusal) {
			refused := crocusreel.Refuse(crocusreel.ReasonQueueFull, crocusreel.OutcomeNotRun, time.Second, "full")
			r, _, _ := newRelay(relay.ForwardResult{Accepted: true, Result: relay.Result{Refusal: refused}})
			r.Admit = admit
			request := r.request(routing.Idempotent)
			request.Runs, request.Counted = 1, true
			result := r.Serve(context.Background(), request, &recordingSink{})
			Expect(result.Refusal).NotTo(BeNil())
			Expect(result.Refusal.Outcome).To(Equal(crocusreel.OutcomeUnknown))
		},
		Entry("if the other node refuses it", func(*relay.Request) *crocusreel.Refusal { return nil }),
		Entry("if it must not run any more", func(*relay.Request) *crocusreel.Refusal {
			return crocusreel.Refuse(crocusreel.ReasonNotReady, crocusreel.OutcomeNotRun, time.Second, "outdated")
		}),
	)

	// Guards against a request that is refused because the cut is noticed only while it is tried.
	It("forwards a request whose endpoints turn out to be out of reach", func() {
		r, f, app := newRelay(servedElsewhere)
		f.needed = false
		app.Stop()
		r.Reach = failureRecorder(func() { f.needed = true })
		r.Budgets.Slack = 0
		Expect(r.Serve(context.Background(), r.request(routing.NonIdempotent), &recordingSink{}).Status).To(Equal(http.StatusOK))
		Expect(f.requests).To(HaveLen(1))
	})
})

// failureRecorder is a relay.ReachRecorder that calls the function for each failure.
type failureRecorder func()

// RecordAnswer implements relay.ReachRecorder.
func (failureRecorder) RecordAnswer(fleet.Instance, bool) {}

// RecordFailure implements relay.ReachRecorder.
func (f failureRecorder) RecordFailure(fleet.Instance, reach.Failure) { f() }
