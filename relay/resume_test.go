package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/relay"
	"github.com/crocusreel/crocusreel/routing"
)

// resumable returns a stream of a resumable route that may run the given number of times.
func (r *testRelay) resumable(maxRuns int) *relay.Request {
	req := r.request(routing.Streaming)
	req.Route = &routing.Route{Name: "r", Kind: routing.Streaming, MaxAttempts: maxRuns, Resumable: true}
	return req
}

// after makes the request one of a caller that has the events up to the given one.
func after(req *relay.Request, last int64) *relay.Request {
	req.Resumes, req.LastEvent = true, last
	return req
}

// firstRuns returns a fault function, shared by engines, that shows the faults in the given order,
// one each run, and none after that.
func firstRuns(faults ...worker.Fault) func(*worker.Run) worker.Fault {
	next := make(chan worker.Fault, len(faults))
	for _, f := range faults {
		next <- f
	}
	return func(*worker.Run) worker.Fault {
		select {
		case f := <-next:
			return f
		default:
			return worker.None
		}
	}
}

// enginesWith starts engines with streams of 20 events that share the fault function.
func (r *testRelay) enginesWith(count int, faultOf func(*worker.Run) worker.Fault) []*worker.Worker {
	GinkgoHelper()
	var engines []*worker.Worker
	for i := range count {
		engines = append(engines, r.engine(fmt.Sprintf("e%d", i), 20, faultOf))
	}
	return engines
}

// lastEventIDs returns the Last-Event-Id of each run, empty if it had none.
func lastEventIDs(engines []*worker.Worker) (ids []string) {
	for _, e := range engines {
		for _, run := range e.Runs() {
			ids = append(ids, run.Header.Get("Last-Event-Id"))
		}
	}
	return ids
}

var _ = Describe("a stream of a resumable route", func() {
	// Guards against a caller that comes back and gets an event twice, or misses one.
	DescribeTable("continues after the last event of a caller that comes back",
		func(fault worker.Fault, last int64, first int) {
			r := newTestRelay()
			engines := r.enginesWith(1, firstRuns(fault))
			req := after(r.resumable(1), last)
			v, a := r.serve(req)
			Expect(v.Broken).To(BeFalse())
			Expect(a.text()).To(Equal(events(req.ID, first, 20)))
			Expect(lastEventIDs(engines)).To(Equal([]string{fmt.Sprint(last)}))
			Expect(*v.ResumedAt).To(Equal(last))
		},
		Entry("from the next event", worker.None, int64(9), 10),
		Entry("although the engine sends all events", worker.Restart, int64(9), 10),
		Entry("with no event yet", worker.None, int64(0), 1),
		Entry("with all events", worker.None, int64(20), 21),
		Entry("with all events, from an engine that sends them again", worker.Restart, int64(20), 21),
	)

	// Guards against streams that end although another engine could continue them, and against events that are lost or repeated at the seam.
	DescribeTable("continues with a new run on another engine",
		func(delivered string, faults ...worker.Fault) {
			r := newTestRelay()
			engines := r.enginesWith(4, firstRuns(faults...))
			req := r.resumable(3)
			v, a := r.serve(req)
			Expect(v.Refusal).To(BeNil())
			Expect(v.Broken).To(BeFalse())
			Expect(a.text()).To(Equal(events(req.ID, 1, 20)))
			Expect(v.Events).To(Equal(20))
			runs := len(faults) + 1
			if last := faults[len(faults)-1]; last == worker.Restart || last == worker.Shed {
				// A run that sends events again does not fail, and a refused one does not exist.
				runs--
			}
			Expect(v.Runs).To(Equal(runs))
			Expect(runsAt(engines)).To(Equal(runs))
			Expect(lastEventIDs(engines)).To(ContainElement(delivered))
			Expect(a.header.Get("Crocusreel-Response-Seal")).NotTo(BeEmpty())
			Eventually(r.Fleet.OwnLoads, 3*time.Second).Should(BeEmpty())
		},
		Entry("after a reset within an event", "9", worker.Truncate),
		Entry("after a crash", "9", worker.Crash),
		Entry("after a gap", "9", worker.SkipEvent),
		Entry("after a loss before the first event", "", worker.LoseAnswer),
		Entry("after an error status", "", worker.Fail),
		Entry("after a hang before the first event", "", worker.Hang),
		Entry("after a hang in the middle", "9", worker.HangMidway),
		Entry("that sends events again", "9", worker.Truncate, worker.Restart),
		Entry("after a refusal", "9", worker.Truncate, worker.Shed),
		Entry("after a gap at the seam", "9", worker.Truncate, worker.SkipFirst),
		Entry("after an event without an ID at the seam", "9", worker.Truncate, worker.Unnumbered),
		Entry("after a run that ended before the last event", "9", worker.Truncate, worker.StopShort),
		Entry("after an error status in the middle", "9", worker.Truncate, worker.Fail),
		Entry("after a hang of a new run", "9", worker.Truncate, worker.Hang),
	)

	// Guards against an engine that goes on with a run which nobody receives.
	DescribeTable("is ended on the engine that it leaves", func(fault worker.Fault) {
		r := newTestRelay()
		engines := r.enginesWith(2, firstRuns(fault))
		req := r.resumable(2)
		_, a := r.serve(req)
		Expect(a.text()).To(Equal(events(req.ID, 1, 20)))
		Eventually(func() []string { return append(engines[0].ClosedByCaller(), engines[1].ClosedByCaller()...) },
			500*time.Millisecond).Should(ConsistOf(req.ID))
	},
		Entry("gap", worker.SkipEvent),
		Entry("hang before the first event", worker.Hang),
		Entry("hang in the middle", worker.HangMidway),
	)

	// Guards against more runs than the route, the budget or the operator allows, and against a broken stream that looks complete.
	DescribeTable("ends as broken when it may not run again",
		func(runs int, prepare func(*testRelay, *relay.Request), faults ...worker.Fault) {
			r := newTestRelay()
			engines := r.enginesWith(4, firstRuns(faults...))
			req := r.resumable(2)
			prepare(r, req)
			v, a := r.serve(req)
			Expect(v.Broken).To(BeTrue())
			Expect(a.text()).To(Equal(events(req.ID, 1, 9)))
			Expect(runsAt(engines)).To(Equal(runs))
		},
		Entry("max_attempts reached", 2, func(*testRelay, *relay.Request) {}, worker.Truncate, worker.SkipFirst, worker.None),
		Entry("max_attempts of one", 1, func(_ *testRelay, q *relay.Request) { q.Route.MaxAttempts = 1 }, worker.Truncate),
		Entry("no retry budget", 1, func(r *testRelay, _ *relay.Request) { r.Budgets.Slack, r.Budgets.Ratio = 0, 0 }, worker.Truncate),
		Entry("retries switched off", 1, func(r *testRelay, _ *relay.Request) {
			r.Fleet.Disabled = fleet.DisabledMechanisms{fleet.Retries: true}
		}, worker.Truncate),
		Entry("resumption switched off", 1, func(r *testRelay, _ *relay.Request) {
			r.Fleet.Disabled = fleet.DisabledMechanisms{fleet.Resume: true}
		}, worker.Truncate),
		Entry("no other route setting", 1, func(_ *testRelay, q *relay.Request) { q.Route.Resumable = false }, worker.Truncate),
		Entry("deadline", 1, func(_ *testRelay, q *relay.Request) { q.Deadline = time.Now().Add(500 * time.Millisecond) }, worker.HangMidway),
	)

	// Guards against an event that is lost because a later one of the same batch is missing.
	It("delivers the events of a batch that come before a gap", func() {
		r := newTestRelay()
		r.start("pool", worker.Options{ID: "e1", Events: 20, KVStore: r.memory, FaultOf: always(worker.SkipEvent)})
		for range 20 {
			req := r.request(routing.Streaming)
			v, a := r.serve(req)
			Expect(v.Broken).To(BeTrue())
			Expect(a.text()).To(Equal(events(req.ID, 1, 9)))
			Expect(v.Events).To(Equal(9))
		}
	})

	// Guards against a hung run that is given up although nothing can replace it.
	It("waits for a hung engine if there is no other", func() {
		r := newTestRelay()
		e := r.engine("only", 20, always(worker.HangMidway))
		req := r.resumable(2)
		req.Deadline = time.Now().Add(1500 * time.Millisecond)
		began := time.Now()
		v, _ := r.serve(req)
		Expect(v.Broken).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically(">", 1400*time.Millisecond))
		Expect(e.Runs()).To(HaveLen(1))
	})

	// Guards against a caller that waits for a broken stream, or for a refusal, although no engine is left.
	DescribeTable("ends at once if there is no other engine", func(fault worker.Fault) {
		r := newTestRelay()
		r.enginesWith(1, always(fault))
		began := time.Now()
		v, a := r.serve(r.resumable(2))
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(v.Broken).To(Equal(a.Begun()))
		if !a.Begun() {
			Expect(v.Refusal.Outcome).To(Equal(crocusreel.OutcomeUnknown))
		}
	},
		Entry("in the middle", worker.Truncate),
		Entry("before the first event", worker.LoseAnswer),
	)

	// Guards against work at an engine for a caller that left while its stream was between two runs.
	It("is not run again for a caller that has left at the seam", func() {
		r := newTestRelay()
		ctx, leave := context.WithCancel(context.Background())
		first := firstRuns(worker.Truncate)
		engines := r.enginesWith(2, first)
		admitted := 0
		r.Admit = func(*relay.Request) *crocusreel.Refusal {
			if admitted++; admitted == 2 {
				leave()
			}
			return nil
		}
		v := r.Serve(ctx, r.resumable(2), &recordingSink{})
		Expect(v.Broken).To(BeTrue())
		Expect(runsAt(engines)).To(Equal(1))
	})

	// Guards against a new run where the copy of the lost one would be cheaper.
	It("continues from a copy rather than by a new run", func() {
		r := newTestRelay()
		r.backups = true
		engines := r.enginesWith(2, once(worker.Truncate))
		req := r.resumable(3)
		v, a := r.serve(req)
		Expect(v.Broken).To(BeFalse())
		Expect(a.text()).To(Equal(events(req.ID, 1, 20)))
		Expect(v.Moves).To(Equal(1))
		Expect(v.Runs).To(Equal(1))
		Expect(runsAt(engines)).To(Equal(2))
	})

	// Guards against a deadly request that new runs carry beyond the bound on deaths.
	It("is not run again beyond the strike limit", func() {
		r := newTestRelay()
		engines := r.enginesWith(6, always(worker.Crash))
		req := r.resumable(6)
		v, _ := r.serve(req)
		Expect(v.Broken).To(BeTrue())
		Expect(runsAt(engines)).To(Equal(relay.StrikeLimit))
	})

	// Guards against a join of two runs whose events cannot be told apart.
	It("is not run again once an event without an ID was delivered", func() {
		r := newTestRelay()
		engines := r.enginesWith(2, func(*worker.Run) worker.Fault { return worker.Unnumbered })
		req := r.resumable(2)
		v, a := r.serve(req)
		Expect(v.Broken).To(BeFalse())
		Expect(strings.Count(a.text(), "data:")).To(Equal(20))
		Expect(runsAt(engines)).To(Equal(1))
	})
})

// eventForwarder is a relay.Forwarder whose answers are parts of streams.
type eventForwarder struct {
	// parts are the first and last event of successive answers; all but the last answer are lost.
	parts    [][2]int
	requests []relay.Request
}

// Needed implements relay.Forwarder.
func (f *eventForwarder) Needed(string) bool { return true }

// Forward implements relay.Forwarder.
func (f *eventForwarder) Forward(_ context.Context, r *relay.Request, sink relay.Sink) relay.ForwardResult {
	part := f.parts[len(f.requests)]
	f.requests = append(f.requests, *r)
	if sink.Begin(http.StatusOK, http.Header{}) != nil || sink.Write([]byte(events(r.ID, part[0], part[1]))) != nil {
		return relay.ForwardResult{Accepted: true, Via: "10.0.0.2", Result: relay.Result{Broken: true}}
	}
	if len(f.requests) < len(f.parts) {
		return relay.ForwardResult{Accepted: true, Lost: true, Via: "10.0.0.2"}
	}
	return relay.ForwardResult{Accepted: true, Via: "10.0.0.3", Result: relay.Result{Status: http.StatusOK, Runs: len(f.parts)}}
}

var _ = Describe("a forwarded stream of a resumable route", func() {
	// Guards against a stream that starts from its beginning, or has a gap, after the node that served it was lost.
	DescribeTable("continues at a further node",
		func(complete bool, runs int, parts ...[2]int) {
			r := newTestRelay()
			f := &eventForwarder{parts: parts}
			r.Forwarder = f
			req := r.resumable(2)
			v, a := r.serve(req)
			Expect(v.Broken).To(Equal(!complete))
			Expect(f.requests).To(HaveLen(runs))
			Expect(f.requests[0].Resumes).To(BeFalse())
			Expect(f.requests[1].Resumes).To(BeTrue())
			Expect(f.requests[1].LastEvent).To(Equal(int64(9)))
			if complete {
				Expect(a.text()).To(Equal(events(req.ID, 1, 20)))
				Expect(v.Events).To(Equal(20))
				Expect(v.Runs).To(Equal(2))
			} else {
				Expect(a.text()).To(Equal(events(req.ID, 1, 9)))
			}
		},
		Entry("that continues after the last event", true, 2, [2]int{1, 9}, [2]int{10, 20}),
		Entry("that sends all events, as an older one does", true, 2, [2]int{1, 9}, [2]int{1, 20}),
		Entry("but not over a gap", false, 2, [2]int{1, 9}, [2]int{11, 20}),
		Entry("but not if it ends before the last event", false, 2, [2]int{1, 9}, [2]int{1, 5}),
	)
})
