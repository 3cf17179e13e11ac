package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/liveness"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/quarantine"
	"github.com/crocusreel/crocusreel/relay"
	"github.com/crocusreel/crocusreel/retry"
	"github.com/crocusreel/crocusreel/routing"
)

// testRelay is a relay with stand-in workers behind it.
type testRelay struct {
	*relay.Relay
	memory *worker.KVStore
	ids    atomic.Int64
	// backups is set where engines keep backups of long answers.
	backups bool
}

func newTestRelay() *testRelay {
	client := h1.NewClient()
	engines := platform.NewEngineClient(client)
	r := &testRelay{memory: worker.NewKVStore()}
	r.Relay = &relay.Relay{
		Fleet:      fleet.New("dc1", boottime.Now),
		Client:     client,
		Protocol:   platform.Protocol{},
		Mover:      engines,
		Budgets:    retry.NewLocal(0.2, 100, 10*time.Second, boottime.Now),
		Strikes:    relay.NewStrikes(boottime.Now),
		Claims:     relay.NewClaims(),
		Quarantine: quarantine.New(boottime.Now),
		Liveness: liveness.NewProber(h1.ToleratedSilence, func(ctx context.Context, in fleet.Instance) error {
			return engines.Running(ctx, in.Address, platform.PathReport)
		}),
		Vacated: relay.NewVacatedRuns(func() time.Duration { return time.Duration(time.Now().UnixNano()) }),
		Log:     zap.NewNop(),
		Admit:   func(*relay.Request) *crocusreel.Refusal { return nil },
	}
	return r
}

// service adds a worker of a plain service that shows the given fault each time.
func (r *testRelay) service(id string, fault worker.Fault) *worker.Worker {
	return r.start("app", worker.Options{ID: id, FaultOf: always(fault)})
}

// engine adds an engine whose streams have the given number of events, 5 ms apart.
func (r *testRelay) engine(id string, events int, faultOf func(*worker.Run) worker.Fault) *worker.Worker {
	return r.start("pool", worker.Options{ID: id, Events: events, EventInterval: 5 * time.Millisecond, KVStore: r.memory, FaultOf: faultOf})
}

// runsAt counts the runs that the workers started.
func runsAt(workers []*worker.Worker) (runs int) {
	for _, w := range workers {
		runs += len(w.Runs())
	}
	return runs
}

func always(f worker.Fault) func(*worker.Run) worker.Fault {
	return func(*worker.Run) worker.Fault { return f }
}

// once shows the fault on first runs only, not on resumed ones.
func once(f worker.Fault) func(*worker.Run) worker.Fault {
	return func(run *worker.Run) worker.Fault {
		if run.Resumed {
			return worker.None
		}
		return f
	}
}

func (r *testRelay) start(service string, o worker.Options) *worker.Worker {
	GinkgoHelper()
	w, err := worker.Start(o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(w.Stop)
	r.Fleet.Update(fleet.Instance{ID: o.ID, Service: service, Address: w.Address(), DataCentre: "dc1", Slots: 8})
	return w
}

func (r *testRelay) leaving(id string) {
	r.Fleet.Update(fleet.Instance{ID: id, Service: "pool", DataCentre: "dc1", Slots: 8, Leaving: true})
}

func (r *testRelay) request(kind routing.Kind) *relay.Request {
	id := r.ids.Add(1)
	service := app
	if kind == routing.Streaming {
		service = pool
	}
	size := relay.Size{Prompt: 100, MaxOutput: 100}
	if r.backups {
		service, size.MaxOutput = backedPool, 1000
	}
	return &relay.Request{
		ID:       fmt.Sprintf("attempt-%d", id),
		Method:   http.MethodPost,
		Target:   "/x/1?q=2",
		Host:     "a.example",
		Header:   http.Header{"Crocusreel-Attempt-Id": {fmt.Sprintf("attempt-%d", id)}},
		Body:     []byte("body"),
		Route:    &routing.Route{Name: "r", Kind: kind, MaxAttempts: 2, TargetLatency: time.Second},
		Service:  service,
		Received: time.Now(),
		Deadline: time.Now().Add(3 * time.Second),
		Size:     size,
	}
}

var (
	app  = &routing.Service{Name: "app"}
	pool = &routing.Service{Name: "pool", Engine: spec}
	// backedPool is the pool where engines keep backups.
	backedPool = func() *routing.Service {
		engine := *spec
		engine.CanBackUp, engine.CopyLifetime = true, 100*time.Millisecond
		return &routing.Service{Name: "pool", Engine: &engine}
	}()
)

// recordingSink is a Sink that records what it receives.
type recordingSink struct {
	mu     sync.Mutex
	status int
	header http.Header
	body   bytes.Buffer
	fail   bool
}

func (a *recordingSink) Begin(status int, h http.Header) error {
	a.status, a.header = status, h
	return nil
}

func (a *recordingSink) Write(part []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fail {
		return fmt.Errorf("the caller is gone")
	}
	a.body.Write(part)
	return nil
}

func (a *recordingSink) Begun() bool { return a.status != 0 }

func (a *recordingSink) text() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.body.String()
}

func (r *testRelay) serve(req *relay.Request) (relay.Result, *recordingSink) {
	a := &recordingSink{}
	return r.Serve(context.Background(), req, a), a
}

var _ = Describe("a call to a plain service", func() {
	It("returns the answer unchanged", func() {
		r := newTestRelay()
		w := r.service("i1", worker.None)
		req := r.request(routing.NonIdempotent)
		v, a := r.serve(req)
		Expect(v.Refusal).To(BeNil())
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(a.text()).To(Equal("answer to " + req.ID))
		Expect(a.header.Get("Crocusreel-Response-Seal")).To(Equal(worker.Seal("i1", req.ID)))
		Expect(w.Runs()).To(HaveLen(1))
		run := w.Runs()[0]
		Expect(run.Target).To(Equal("/x/1?q=2"))
		Expect(string(run.Body)).To(Equal("body"))
		Expect(run.Header.Get("Crocusreel-Deadline-Ms")).To(MatchRegexp(`^2\d\d\d$`))
	})

	// Work that may have run must not be sent again, or a bed is booked twice. The refusal must not
	// claim that the work has not run either.
	DescribeTable("that may run only once is not retried after a fault that leaves its outcome unknown",
		func(fault worker.Fault) {
			r := newTestRelay()
			one, two := r.service("i1", fault), r.service("i2", fault)
			req := r.request(routing.NonIdempotent)
			req.Deadline = time.Now().Add(300 * time.Millisecond)
			v, a := r.serve(req)
			Expect(len(one.Runs()) + len(two.Runs())).To(Equal(1))
			Expect(v.Refusal).NotTo(BeNil())
			Expect(v.Refusal.Outcome).To(Equal(crocusreel.OutcomeUnknown))
			Expect(a.Begun()).To(BeFalse())
		},
		Entry("lost answer", worker.LoseAnswer),
		Entry("truncated answer", worker.Truncate),
		Entry("answer without a length that was reset", worker.UnframedReset),
		Entry("answer without a length whose endpoint died", worker.UnframedCrash),
		Entry("no answer", worker.Hang),
		Entry("crash", worker.Crash),
	)

	// Idempotent work must succeed despite the same faults as long as another endpoint can run it.
	DescribeTable("that may be repeated is retried on another endpoint",
		func(fault worker.Fault) {
			r := newTestRelay()
			bad := r.service("bad", fault)
			r.service("good", worker.None)
			for range 20 {
				req := r.request(routing.Idempotent)
				v, a := r.serve(req)
				Expect(v.Refusal).To(BeNil())
				Expect(a.text()).To(Equal("answer to " + req.ID))
				if len(bad.Runs()) > 0 {
					return
				}
			}
			Fail("the faulty endpoint was not chosen in 20 requests")
		},
		Entry("failure of the endpoint", worker.Fail),
		Entry("lost answer", worker.LoseAnswer),
		Entry("truncated answer", worker.Truncate),
		Entry("answer without a length that was reset", worker.UnframedReset),
		Entry("answer without a length whose endpoint died", worker.UnframedCrash),
		Entry("no answer", worker.Hang),
	)

	It("is sent to another endpoint when one reports that it has not run, also if it may run only once", func() {
		r := newTestRelay()
		full := r.service("full", worker.Shed)
		good := r.service("good", worker.None)
		for range 6 {
			v, _ := r.serve(r.request(routing.NonIdempotent))
			Expect(v.Refusal).To(BeNil())
		}
		Expect(full.Runs()).To(BeEmpty())
		Expect(good.Runs()).To(HaveLen(6))
	})

	It("is refused as not run when every endpoint says so", func() {
		r := newTestRelay()
		r.service("full", worker.Shed)
		v, _ := r.serve(r.request(routing.NonIdempotent))
		Expect(v.Refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
		Expect(v.Refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	// The address of an endpoint that is gone was given to another service, which answers that it
	// is not the intended endpoint.
	It("does not run at another endpoint that has the address now", func() {
		r := newTestRelay()
		other := r.service("new", worker.None)
		r.Fleet.Remove("new", false)
		r.Fleet.Update(fleet.Instance{ID: "old", Service: "app", Address: other.Address(), DataCentre: "dc1", Slots: 8})
		v, _ := r.serve(r.request(routing.NonIdempotent))
		Expect(other.Runs()).To(BeEmpty())
		Expect(v.Refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
	})

	It("counts as not run when nothing listens at the endpoint", func() {
		r := newTestRelay()
		dead := r.service("dead", worker.None)
		dead.Stop()
		v, _ := r.serve(r.request(routing.NonIdempotent))
		Expect(v.Refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
	})

	// A late answer to an earlier request arrives where the next answer is expected, or a second
	// answer follows one. A caller must not get the answer to somebody else's request.
	It("skips answers that belong to another request", func() {
		r := newTestRelay()
		r.service("i1", worker.ForeignAnswer)
		for range 5 {
			req := r.request(routing.NonIdempotent)
			v, a := r.serve(req)
			Expect(v.Refusal).To(BeNil())
			Expect(a.text()).To(Equal("answer to " + req.ID))
		}
	})

	It("drops what follows an answer", func() {
		r := newTestRelay()
		r.service("i1", worker.ExtraAnswer)
		for range 5 {
			req := r.request(routing.NonIdempotent)
			_, a := r.serve(req)
			Expect(a.text()).To(Equal("answer to " + req.ID))
		}
	})

	It("accepts an answer without a length as complete when its connection ends cleanly", func() {
		r := newTestRelay()
		r.service("i1", worker.Unframed)
		req := r.request(routing.NonIdempotent)
		_, a := r.serve(req)
		Expect(a.text()).To(Equal("answer to " + req.ID))
		Expect(a.header.Get("Content-Length")).To(Equal(fmt.Sprint(len("answer to " + req.ID))))
	})

	It("passes on the failure of an endpoint with its seal when there is no other", func() {
		r := newTestRelay()
		r.service("i1", worker.Fail)
		req := r.request(routing.Idempotent)
		v, a := r.serve(req)
		Expect(v.Refusal).To(BeNil())
		Expect(a.status).To(Equal(http.StatusInternalServerError))
		Expect(a.header.Get("Crocusreel-Response-Seal")).To(Equal(worker.Seal("i1", req.ID)))
	})
})

func events(id string, from, to int) string {
	var b bytes.Buffer
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d of %s\n\n", i, i, id)
	}
	return b.String()
}

var _ = Describe("a stream", func() {
	It("delivers every event once and in order", func() {
		r := newTestRelay()
		r.engine("e1", 20, nil)
		req := r.request(routing.Streaming)
		v, a := r.serve(req)
		Expect(v.Broken).To(BeFalse())
		Expect(a.text()).To(Equal(events(req.ID, 1, 20)))
		Expect(v.Events).To(Equal(20))
	})

	// Engines are reclaimed at short notice in the middle of long answers, and an answer must not
	// be run twice. The caller sees one uninterrupted stream.
	It("continues on another engine when its engine is about to stop", func() {
		r := newTestRelay()
		first := r.engine("first", 100, nil)
		req := r.request(routing.Streaming)
		a := &recordingSink{}
		done := make(chan relay.Result)
		go func() { done <- r.Serve(context.Background(), req, a) }()
		Eventually(a.text).Should(ContainSubstring("id: 10\n"))
		second := r.engine("second", 100, nil)
		r.leaving("first")
		Eventually(r.memory.Copies).Should(Equal(1))
		first.Stop()
		var v relay.Result
		Eventually(done, 3*time.Second).Should(Receive(&v))
		Expect(v.Broken).To(BeFalse())
		Expect(v.Moves).To(Equal(1))
		Expect(a.text()).To(Equal(events(req.ID, 1, 100)))
		Expect(first.Runs()).To(HaveLen(1))
		Expect(second.Runs()).To(HaveLen(1))
		Expect(second.Runs()[0].Resumed).To(BeTrue())
	})

	// A leaving engine may run for some time before it exits. The stream needs no other engine
	// during that time.
	It("stays on a leaving engine until the engine exits", func() {
		r := newTestRelay()
		first := r.engine("first", 60, nil)
		req := r.request(routing.Streaming)
		a := &recordingSink{}
		done := make(chan relay.Result)
		go func() { done <- r.Serve(context.Background(), req, a) }()
		Eventually(a.text).Should(ContainSubstring("id: 5\n"))
		second := r.engine("second", 60, nil)
		r.leaving("first")
		Eventually(done, 3*time.Second).Should(Receive(HaveField("Moves", 0)))
		Expect(a.text()).To(Equal(events(req.ID, 1, 60)))
		Expect(first.Runs()).To(HaveLen(1))
		Expect(second.Runs()).To(BeEmpty())
		Eventually(r.memory.Copies, 3*time.Second).Should(BeZero())
		Eventually(r.Fleet.OwnLoads, 3*time.Second).Should(BeEmpty())
	})

	// The engine's process exits in the middle of a stream without a length, which looks like the
	// end of the answer to the node. The caller must not mistake the partial answer for a complete
	// one.
	It("is reported as broken when its engine exits and the answer has no length", func() {
		r := newTestRelay()
		first := r.engine("first", 100, always(worker.Unframed))
		req := r.request(routing.Streaming)
		a := &recordingSink{}
		done := make(chan relay.Result)
		go func() { done <- r.Serve(context.Background(), req, a) }()
		Eventually(a.text).Should(ContainSubstring("id: 5\n"))
		first.Stop()
		Eventually(done, 3*time.Second).Should(Receive(HaveField("Broken", true)))
	})

	// An engine dies without notice in the middle of a long answer. Another engine has received the
	// run's memory as it grew.
	It("continues from its backup when its engine dies", func() {
		r := newTestRelay()
		r.backups = true
		engines := map[string]*worker.Worker{"e1": r.engine("e1", 100, nil), "e2": r.engine("e2", 100, nil)}
		req := r.request(routing.Streaming)
		a := &recordingSink{}
		done := make(chan relay.Result)
		go func() { done <- r.Serve(context.Background(), req, a) }()
		Eventually(a.text).Should(ContainSubstring("id: 10\n"))
		first, second := engines["e1"], engines["e2"]
		if len(first.Runs()) == 0 {
			first, second = second, first
		}
		Expect(first.Runs()[0].Header.Get("Crocusreel-Kv-Backup")).To(Equal(second.Address()))
		first.Stop()
		var v relay.Result
		Eventually(done, 3*time.Second).Should(Receive(&v))
		Expect(v.Broken).To(BeFalse())
		Expect(v.Moves).To(Equal(1))
		Expect(a.text()).To(Equal(events(req.ID, 1, 100)))
		Expect(second.Runs()[0].Header.Get("Kv-From")).To(Equal(second.Address() + "/" + req.ID))
		Eventually(r.Fleet.OwnLoads, 3*time.Second).Should(BeEmpty())
	})

	// An answer breaks off while its engine keeps working. The run must be stopped there before it
	// is resumed elsewhere, or two engines work on it and a caller's order is placed twice.
	It("is resumed elsewhere after its answer broke off only once the run has ended", func() {
		r := newTestRelay()
		r.backups = true
		engines := []*worker.Worker{
			r.engine("e1", 40, once(worker.Truncate)), r.engine("e2", 40, once(worker.Truncate)),
		}
		req := r.request(routing.Streaming)
		v, a := r.serve(req)
		Expect(v.Broken).To(BeFalse())
		Expect(a.text()).To(Equal(events(req.ID, 1, 40)))
		runs := append(engines[0].Runs(), engines[1].Runs()...)
		Expect(runs).To(HaveLen(2))
		Expect(runs[0].Resumed != runs[1].Resumed).To(BeTrue())
	})

	// A deadly request must not be carried by its backups from engine to engine beyond the strike
	// limit.
	It("is not resumed from its backup beyond the strike limit", func() {
		r := newTestRelay()
		r.backups = true
		var engines []*worker.Worker
		for i := range 6 {
			engines = append(engines, r.engine(fmt.Sprintf("e%d", i), 20, always(worker.Crash)))
		}
		for range 4 {
			r.serve(r.request(routing.Streaming))
		}
		Expect(runsAt(engines)).To(Equal(relay.StrikeLimit))
	})

	// A stream ends, or its caller leaves, while its memory is copied. A leaked copy would hold
	// memory that other requests wait for.
	DescribeTable("leaves no copy and no placement behind when it ends while it moves",
		func(callerLeaves bool) {
			r := newTestRelay()
			r.start("pool", worker.Options{
				ID: "first", Events: 30, EventInterval: 5 * time.Millisecond, KVStore: r.memory, MoveTime: 300 * time.Millisecond,
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			a := &recordingSink{}
			done := make(chan relay.Result)
			go func() { done <- r.Serve(ctx, r.request(routing.Streaming), a) }()
			Eventually(a.text).Should(ContainSubstring("id: 5\n"))
			r.engine("second", 30, nil)
			r.leaving("first")
			if callerLeaves {
				time.Sleep(30 * time.Millisecond)
				cancel()
			}
			Eventually(done, 3*time.Second).Should(Receive())
			Eventually(r.Fleet.OwnLoads, 3*time.Second).Should(BeEmpty())
			Expect(r.memory.Copies()).To(BeZero())
		},
		Entry("end of the stream", false),
		Entry("caller gone", true),
	)

	// An engine leaves and no other has capacity. The stream continues there and may end before the
	// engine exits.
	It("stays on its engine when there is no other engine", func() {
		r := newTestRelay()
		r.engine("only", 60, nil)
		req := r.request(routing.Streaming)
		a := &recordingSink{}
		done := make(chan relay.Result)
		go func() { done <- r.Serve(context.Background(), req, a) }()
		Eventually(a.text).Should(ContainSubstring("id: 5\n"))
		r.leaving("only")
		Eventually(done, 3*time.Second).Should(Receive(HaveField("Broken", false)))
		Expect(a.text()).To(Equal(events(req.ID, 1, 60)))
	})

	// An engine dies in the middle of an event. There is no copy of the run's memory and it must
	// not be run again, so the caller must see that the stream is not complete.
	DescribeTable("is reported as broken when it cannot be completed, and is never run again",
		func(fault worker.Fault) {
			r := newTestRelay()
			one, two := r.engine("e1", 20, always(fault)), r.engine("e2", 20, always(fault))
			req := r.request(routing.Streaming)
			v, a := r.serve(req)
			Expect(v.Broken).To(BeTrue())
			Expect(a.text()).To(Equal(events(req.ID, 1, 9)))
			Expect(len(one.Runs()) + len(two.Runs())).To(Equal(1))
		},
		Entry("cut within an event", worker.Truncate),
		Entry("crash of the engine", worker.Crash),
		Entry("an event that is missing", worker.SkipEvent),
	)

	// A caller leaves. Without cancellation its engine would spend seconds on unwanted work.
	It("is stopped on its engine when its caller leaves", func() {
		r := newTestRelay()
		e := r.engine("e1", 400, nil)
		ctx, cancel := context.WithCancel(context.Background())
		req := r.request(routing.Streaming)
		a := &recordingSink{}
		done := make(chan relay.Result)
		go func() { done <- r.Serve(ctx, req, a) }()
		Eventually(a.text).Should(ContainSubstring("id: 5\n"))
		cancel()
		Eventually(e.ClosedByCaller, 500*time.Millisecond).Should(ConsistOf(req.ID))
		Eventually(done).Should(Receive())
	})

	It("is sent to another engine when one refuses it without running it", func() {
		r := newTestRelay()
		full := r.engine("full", 10, always(worker.Shed))
		r.engine("good", 10, nil)
		for range 5 {
			req := r.request(routing.Streaming)
			v, a := r.serve(req)
			Expect(v.Broken).To(BeFalse())
			Expect(a.text()).To(Equal(events(req.ID, 1, 10)))
		}
		Expect(full.Runs()).To(BeEmpty())
	})

	// A request kills each engine that runs it, and its caller sends it again and again.
	It("is stopped once three engines died of it", func() {
		r := newTestRelay()
		var engines []*worker.Worker
		for i := range 6 {
			engines = append(engines, r.engine(fmt.Sprintf("e%d", i), 20, always(worker.Crash)))
		}
		for range 8 {
			r.serve(r.request(routing.Streaming))
		}
		Expect(runsAt(engines)).To(Equal(relay.StrikeLimit))
		v, _ := r.serve(r.request(routing.Streaming))
		Expect(v.Refusal.Reason).To(Equal(crocusreel.ReasonSuspectRequest))
		Expect(v.Refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
	})

	// After its first death a request is sent several times at once. All copies run before their
	// deaths are known, and each would kill an engine of its own.
	It("runs on no more engines at once than it may still kill", func() {
		r := newTestRelay()
		var engines []*worker.Worker
		for i := range 8 {
			engines = append(engines, r.engine(fmt.Sprintf("e%d", i), 20, always(worker.Crash)))
		}
		r.serve(r.request(routing.Streaming))
		var copies sync.WaitGroup
		for range 6 {
			req := r.request(routing.Streaming)
			copies.Go(func() { r.serve(req) })
		}
		copies.Wait()
		Expect(runsAt(engines)).To(Equal(relay.StrikeLimit))
		Expect(r.Claims.Own()).To(BeEmpty())
	})

	// An engine dies of something else while it runs a prompt that many callers send. They must not
	// be refused, and must wait only until the first of them is answered.
	It("is held back only until its first complete answer if it is harmless", func() {
		r := newTestRelay()
		r.engine("dying", 20, always(worker.Crash))
		r.serve(r.request(routing.Streaming))
		r.Fleet.Remove("dying", false)
		for i := range 4 {
			r.engine(fmt.Sprintf("e%d", i), 20, nil)
		}
		var copies sync.WaitGroup
		results := make([]relay.Result, 8)
		for i := range results {
			req := r.request(routing.Streaming)
			copies.Go(func() { results[i], _ = r.serve(req) })
		}
		copies.Wait()
		for _, v := range results {
			Expect(v.Refusal).To(BeNil())
			Expect(v.Broken).To(BeFalse())
			Expect(v.FirstEvent).To(BeNumerically("<", time.Second))
		}
	})

	// A call kills each plain endpoint that runs it, and its caller sends it again. Without strikes
	// it would take down the whole service, one endpoint after another.
	It("is stopped once three plain endpoints died of it", func() {
		r := newTestRelay()
		var apps []*worker.Worker
		for i := range 6 {
			apps = append(apps, r.service(fmt.Sprintf("a%d", i), worker.Crash))
		}
		for range 4 {
			r.serve(r.request(routing.Idempotent))
		}
		Expect(runsAt(apps)).To(Equal(relay.StrikeLimit))
		v, _ := r.serve(r.request(routing.Idempotent))
		Expect(v.Refusal.Reason).To(Equal(crocusreel.ReasonSuspectRequest))
	})

	// An endpoint loses the answers to many calls and stays alive. Their work is harmless and must
	// not be refused as deadly.
	It("is not refused as deadly when endpoints only lose its answers", func() {
		r := newTestRelay()
		r.service("a1", worker.LoseAnswer)
		r.service("a2", worker.LoseAnswer)
		for range 4 {
			v, _ := r.serve(r.request(routing.Idempotent))
			Expect(v.Refusal.Reason).To(Equal(crocusreel.ReasonEndpointLost))
		}
	})

	// A bad link resets several streams that answer the same prompt, while their engines stay
	// alive. Callers of that prompt must not be refused as if it killed engines. In the logs,
	// "strike" followed "stream cut" although the same engine answered the next request.
	DescribeTable("is not refused as deadly when only its connection breaks", func(fault worker.Fault) {
		r := newTestRelay()
		var engines []*worker.Worker
		for i := range 6 {
			engines = append(engines, r.engine(fmt.Sprintf("e%d", i), 20, always(fault)))
		}
		for n := range 6 {
			v, _ := r.serve(r.request(routing.Streaming))
			Expect(v.Refusal == nil || v.Refusal.Reason != crocusreel.ReasonSuspectRequest).To(BeTrue(), "request %d", n)
		}
		Expect(engines).To(HaveEach(WithTransform(func(e *worker.Worker) bool {
			return h1.Refused(r.Client.Dial(context.Background(), e.Address()))
		}, BeFalse())))
	},
		Entry("in the middle", worker.Truncate),
		Entry("before the first event", worker.LoseAnswer),
	)

	// Engines die of something else, minutes apart, while they run a popular prompt that is
	// answered many times in between. If those deaths were added up, its callers would be refused
	// eventually.
	It("loses its strikes once it has a complete answer", func() {
		r := newTestRelay()
		for n := range 4 {
			dying := r.engine(fmt.Sprintf("dying%d", n), 20, always(worker.Crash))
			v, _ := r.serve(r.request(routing.Streaming))
			Expect(v.Refusal == nil || v.Refusal.Reason != crocusreel.ReasonSuspectRequest).To(BeTrue(), "death %d", n)
			Expect(dying.Runs()).To(HaveLen(1))
			r.Fleet.Remove(fmt.Sprintf("dying%d", n), false)
			sound := fmt.Sprintf("sound%d", n)
			r.engine(sound, 20, nil)
			v, _ = r.serve(r.request(routing.Streaming))
			Expect(v.Refusal).To(BeNil(), "death %d", n)
			r.Fleet.Remove(sound, false)
		}
	})

	// The key of a request is revoked while it waits, or its machine is suspended.
	It("does not run when it may no longer be admitted", func() {
		r := newTestRelay()
		e := r.engine("e1", 10, nil)
		r.Admit = func(*relay.Request) *crocusreel.Refusal {
			return crocusreel.Refuse(crocusreel.ReasonNotReady, crocusreel.OutcomeNotRun, time.Second, "too old")
		}
		v, _ := r.serve(r.request(routing.Streaming))
		Expect(v.Refusal.Reason).To(Equal(crocusreel.ReasonNotReady))
		Expect(e.Runs()).To(BeEmpty())
	})
})
