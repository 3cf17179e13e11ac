package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/relay"
	"github.com/crocusreel/crocusreel/retry"
	"github.com/crocusreel/crocusreel/routing"
)

// rig is a relay with stand-ins behind it.
type rig struct {
	*relay.Relay
	memory *worker.Memory
	ids    int
	// backups is set where engines keep backups of long answers.
	backups bool
}

func newRig() *rig {
	client := h1.NewClient()
	r := &rig{memory: worker.NewMemory()}
	r.Relay = &relay.Relay{
		Fleet:    fleet.New("dc1", boottime.Now),
		Client:   client,
		Protocol: platform.Wire{},
		Mover:    platform.NewEngines(client),
		Budgets: &retry.Windows{
			Ratio: 0.2, Slack: 100, Length: 10 * time.Second, Now: boottime.Now, Nodes: func() int { return 1 },
		},
		Strikes: relay.NewStrikes(boottime.Now),
		Claims:  relay.NewClaims(),
		Vacated: relay.NewVacated(func() time.Duration { return time.Duration(time.Now().UnixNano()) }),
		Log:     zap.NewNop(),
		Admit:   func(*relay.Request) *crocusreel.Refusal { return nil },
	}
	return r
}

// service adds a plain service's worker that does the given fault each time.
func (r *rig) service(id string, fault worker.Fault) *worker.Worker {
	return r.start("app", worker.Options{ID: id, FaultOf: always(fault)})
}

// engine adds an engine whose streams have so many events, 5 ms apart.
func (r *rig) engine(id string, events int, faultOf func(*worker.Run) worker.Fault) *worker.Worker {
	return r.start("pool", worker.Options{ID: id, Events: events, Gap: 5 * time.Millisecond, Memory: r.memory, FaultOf: faultOf})
}

// runsAt counts what the workers began to work on.
func runsAt(workers []*worker.Worker) (runs int) {
	for _, w := range workers {
		runs += len(w.Runs())
	}
	return runs
}

func always(f worker.Fault) func(*worker.Run) worker.Fault {
	return func(*worker.Run) worker.Fault { return f }
}

// once does the fault with the first run of all engines.
func once(f worker.Fault) func(*worker.Run) worker.Fault {
	return func(run *worker.Run) worker.Fault {
		if run.Resumed {
			return worker.None
		}
		return f
	}
}

func (r *rig) start(service string, o worker.Options) *worker.Worker {
	GinkgoHelper()
	w, err := worker.Start(o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(w.Stop)
	r.Fleet.Update(fleet.Instance{ID: o.ID, Service: service, Address: w.Address(), DataCentre: "dc1", Slots: 8})
	return w
}

func (r *rig) leaving(id string) {
	r.Fleet.Update(fleet.Instance{ID: id, Service: "pool", DataCentre: "dc1", Slots: 8, Leaving: true})
}

func (r *rig) request(kind routing.Kind) *relay.Request {
	r.ids++
	service := app
	if kind == routing.Streaming {
		service = pool
	}
	size := relay.Size{Prompt: 100, MaxOutput: 100}
	if r.backups {
		service, size.MaxOutput = backedPool, 1000
	}
	return &relay.Request{
		ID:       fmt.Sprintf("attempt-%d", r.ids),
		Method:   http.MethodPost,
		Target:   "/x/1?q=2",
		Host:     "a.example",
		Header:   http.Header{"Crocusreel-Attempt-Id": {fmt.Sprintf("attempt-%d", r.ids)}},
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

// answer is a Sink that keeps what it gets.
type answer struct {
	mu     sync.Mutex
	status int
	header http.Header
	body   bytes.Buffer
	fail   bool
}

func (a *answer) Begin(status int, h http.Header) error {
	a.status, a.header = status, h
	return nil
}

func (a *answer) Write(part []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fail {
		return fmt.Errorf("the caller is gone")
	}
	a.body.Write(part)
	return nil
}

func (a *answer) Begun() bool { return a.status != 0 }

func (a *answer) text() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.body.String()
}

func (r *rig) serve(req *relay.Request) (relay.Verdict, *answer) {
	a := &answer{}
	return r.Serve(context.Background(), req, a), a
}

var _ = Describe("a call to a plain service", func() {
	It("brings back the answer unchanged", func() {
		r := newRig()
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

	// Work that may have run is not sent again: a bed would be booked twice. Its caller
	// must not be told that it has not run either.
	DescribeTable("that may run once is not repeated after a fault that leaves its fate open",
		func(fault worker.Fault) {
			r := newRig()
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
		Entry("no answer", worker.Hang),
		Entry("crash", worker.Crash),
	)

	// The same faults cost a caller of idempotent work nothing while another endpoint
	// does its work.
	DescribeTable("that may be repeated is given to another endpoint",
		func(fault worker.Fault) {
			r := newRig()
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
			Fail("the endpoint at fault was never chosen")
		},
		Entry("failure of the endpoint", worker.Fail),
		Entry("lost answer", worker.LoseAnswer),
		Entry("truncated answer", worker.Truncate),
		Entry("answer without a length that was reset", worker.UnframedReset),
		Entry("no answer", worker.Hang),
	)

	It("is sent on when an endpoint says that it has not run, also if it may run once only", func() {
		r := newRig()
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
		r := newRig()
		r.service("full", worker.Shed)
		v, _ := r.serve(r.request(routing.NonIdempotent))
		Expect(v.Refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
		Expect(v.Refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	// The address of an endpoint that is gone was given to another service. The new
	// owner says that it is not the one that was meant.
	It("does not run at another endpoint that has the address now", func() {
		r := newRig()
		stranger := r.service("new", worker.None)
		r.Fleet.Remove("new", false)
		r.Fleet.Update(fleet.Instance{ID: "old", Service: "app", Address: stranger.Address(), DataCentre: "dc1", Slots: 8})
		v, _ := r.serve(r.request(routing.NonIdempotent))
		Expect(stranger.Runs()).To(BeEmpty())
		Expect(v.Refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
	})

	It("is not taken for run when nothing listens at the endpoint", func() {
		r := newRig()
		dead := r.service("dead", worker.None)
		dead.Stop()
		v, _ := r.serve(r.request(routing.NonIdempotent))
		Expect(v.Refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
	})

	// An answer to an earlier request comes late, just where the next is expected, or a
	// second one follows an answer. Its caller must not get somebody else's answer.
	It("skips answers that belong to another request", func() {
		r := newRig()
		r.service("i1", worker.Foreign)
		for range 5 {
			req := r.request(routing.NonIdempotent)
			v, a := r.serve(req)
			Expect(v.Refusal).To(BeNil())
			Expect(a.text()).To(Equal("answer to " + req.ID))
		}
	})

	It("drops what follows an answer", func() {
		r := newRig()
		r.service("i1", worker.Extra)
		for range 5 {
			req := r.request(routing.NonIdempotent)
			_, a := r.serve(req)
			Expect(a.text()).To(Equal("answer to " + req.ID))
		}
	})

	It("takes an answer without a length for whole when its connection ends well", func() {
		r := newRig()
		r.service("i1", worker.Unframed)
		req := r.request(routing.NonIdempotent)
		_, a := r.serve(req)
		Expect(a.text()).To(Equal("answer to " + req.ID))
		Expect(a.header.Get("Content-Length")).To(Equal(fmt.Sprint(len("answer to " + req.ID))))
	})

	It("passes on the failure of an endpoint with its seal when there is no other", func() {
		r := newRig()
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
	It("brings every event once and in order", func() {
		r := newRig()
		r.engine("e1", 20, nil)
		req := r.request(routing.Streaming)
		v, a := r.serve(req)
		Expect(v.Broken).To(BeFalse())
		Expect(a.text()).To(Equal(events(req.ID, 1, 20)))
		Expect(v.Events).To(Equal(20))
	})

	// Engines are reclaimed at short notice in the middle of long answers, and an answer
	// may not be run twice. Its caller sees one stream without a seam.
	It("goes on at another engine when its engine is about to leave", func() {
		r := newRig()
		first := r.engine("first", 100, nil)
		req := r.request(routing.Streaming)
		a := &answer{}
		done := make(chan relay.Verdict)
		go func() { done <- r.Serve(context.Background(), req, a) }()
		Eventually(a.text).Should(ContainSubstring("id: 10\n"))
		second := r.engine("second", 100, nil)
		r.leaving("first")
		Eventually(r.memory.Copies).Should(Equal(1))
		first.Stop()
		var v relay.Verdict
		Eventually(done, 3*time.Second).Should(Receive(&v))
		Expect(v.Broken).To(BeFalse())
		Expect(v.Moves).To(Equal(1))
		Expect(a.text()).To(Equal(events(req.ID, 1, 100)))
		Expect(first.Runs()).To(HaveLen(1))
		Expect(second.Runs()).To(HaveLen(1))
		Expect(second.Runs()[0].Resumed).To(BeTrue())
	})

	// An engine leaves and its process takes its time to end. The stream needs no other
	// place as long as it runs.
	It("stays at an engine that leaves until that is gone", func() {
		r := newRig()
		first := r.engine("first", 60, nil)
		req := r.request(routing.Streaming)
		a := &answer{}
		done := make(chan relay.Verdict)
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

	// The answer of a stream has no length, and its engine's process ends in the middle:
	// to the node that looks like the end of the answer. The caller must not take what it
	// has for the whole.
	It("is not taken for whole when its engine ends and it has no length", func() {
		r := newRig()
		first := r.engine("first", 100, always(worker.Unframed))
		req := r.request(routing.Streaming)
		a := &answer{}
		done := make(chan relay.Verdict)
		go func() { done <- r.Serve(context.Background(), req, a) }()
		Eventually(a.text).Should(ContainSubstring("id: 5\n"))
		first.Stop()
		Eventually(done, 3*time.Second).Should(Receive(HaveField("Broken", true)))
	})

	// An engine dies without a word in the middle of a long answer. Another engine has got
	// the run's memory as it grew.
	It("goes on from its backup when its engine dies", func() {
		r := newRig()
		r.backups = true
		engines := map[string]*worker.Worker{"e1": r.engine("e1", 100, nil), "e2": r.engine("e2", 100, nil)}
		req := r.request(routing.Streaming)
		a := &answer{}
		done := make(chan relay.Verdict)
		go func() { done <- r.Serve(context.Background(), req, a) }()
		Eventually(a.text).Should(ContainSubstring("id: 10\n"))
		first, second := engines["e1"], engines["e2"]
		if len(first.Runs()) == 0 {
			first, second = second, first
		}
		Expect(first.Runs()[0].Header.Get("Crocusreel-Kv-Backup")).To(Equal(second.Address()))
		first.Stop()
		var v relay.Verdict
		Eventually(done, 3*time.Second).Should(Receive(&v))
		Expect(v.Broken).To(BeFalse())
		Expect(v.Moves).To(Equal(1))
		Expect(a.text()).To(Equal(events(req.ID, 1, 100)))
		Expect(second.Runs()[0].Header.Get("Kv-From")).To(Equal(second.Address() + "/" + req.ID))
		Eventually(r.Fleet.OwnLoads, 3*time.Second).Should(BeEmpty())
	})

	// An answer breaks off, and its engine lives and works on. The run must be stopped there
	// before it goes on elsewhere, or two engines work on it and a caller's order is placed
	// twice.
	It("goes on elsewhere after its answer broke off only when the run is over", func() {
		r := newRig()
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

	// A request kills each engine that runs it. Its backup must not carry it on from one
	// engine to the next beyond the bound.
	It("does not go on from its backup beyond the bound of deaths", func() {
		r := newRig()
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

	// A stream ends, or its caller leaves, while its memory is copied away. A copy left
	// behind would hold memory that other requests then wait for.
	DescribeTable("leaves no copy and no place behind when it ends while it moves",
		func(callerLeaves bool) {
			r := newRig()
			r.start("pool", worker.Options{
				ID: "first", Events: 30, Gap: 5 * time.Millisecond, Memory: r.memory, MoveTime: 300 * time.Millisecond,
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			a := &answer{}
			done := make(chan relay.Verdict)
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

	// An engine leaves and no other has room: the stream goes on there to its end, which
	// may come before the engine's.
	It("stays where it is when there is no other engine", func() {
		r := newRig()
		r.engine("only", 60, nil)
		req := r.request(routing.Streaming)
		a := &answer{}
		done := make(chan relay.Verdict)
		go func() { done <- r.Serve(context.Background(), req, a) }()
		Eventually(a.text).Should(ContainSubstring("id: 5\n"))
		r.leaving("only")
		Eventually(done, 3*time.Second).Should(Receive(HaveField("Broken", false)))
		Expect(a.text()).To(Equal(events(req.ID, 1, 60)))
	})

	// An engine dies in the middle of an event. Nobody has the run's memory, and another
	// run may not take its place: the caller must see that the stream is not whole.
	DescribeTable("is broken off visibly when it cannot be whole, and never run again",
		func(fault worker.Fault) {
			r := newRig()
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

	// A caller leaves. Its engine would go on for seconds with work that nobody wants.
	It("ends at the engine when its caller leaves", func() {
		r := newRig()
		e := r.engine("e1", 400, nil)
		ctx, cancel := context.WithCancel(context.Background())
		req := r.request(routing.Streaming)
		a := &answer{}
		done := make(chan relay.Verdict)
		go func() { done <- r.Serve(ctx, req, a) }()
		Eventually(a.text).Should(ContainSubstring("id: 5\n"))
		cancel()
		Eventually(e.Closed, 500*time.Millisecond).Should(ConsistOf(req.ID))
		Eventually(done).Should(Receive())
	})

	It("is sent to another engine when one refuses it unrun", func() {
		r := newRig()
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
		r := newRig()
		var engines []*worker.Worker
		for i := range 6 {
			engines = append(engines, r.engine(fmt.Sprintf("e%d", i), 20, always(worker.Crash)))
		}
		for range 8 {
			r.serve(r.request(routing.Streaming))
		}
		Expect(runsAt(engines)).To(Equal(relay.StrikeLimit))
		v, _ := r.serve(r.request(routing.Streaming))
		Expect(v.Refusal.Reason).To(Equal(crocusreel.ReasonSuspect))
		Expect(v.Refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
	})

	// After its first death a request is sent several times at once. All these copies are under
	// way before their deaths are known, and each would kill an engine of its own.
	It("runs at no more engines at once than it may still kill", func() {
		r := newRig()
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

	// An engine dies of something else while it runs a prompt that many callers send alike.
	// They must not be refused, and wait no longer than for the first of them to be answered.
	It("is held back until its first whole answer if it is innocent", func() {
		r := newRig()
		r.engine("dying", 20, always(worker.Crash))
		r.serve(r.request(routing.Streaming))
		r.Fleet.Remove("dying", false)
		for i := range 4 {
			r.engine(fmt.Sprintf("e%d", i), 20, nil)
		}
		var copies sync.WaitGroup
		verdicts := make([]relay.Verdict, 8)
		for i := range verdicts {
			req := r.request(routing.Streaming)
			copies.Go(func() { verdicts[i], _ = r.serve(req) })
		}
		copies.Wait()
		for _, v := range verdicts {
			Expect(v.Refusal).To(BeNil())
			Expect(v.Broken).To(BeFalse())
			Expect(v.FirstEvent).To(BeNumerically("<", time.Second))
		}
	})

	// A call kills each plain endpoint that runs it, and its caller sends it again. Without
	// strikes it would take down the whole service, one endpoint after another.
	It("is stopped once three plain endpoints died of it", func() {
		r := newRig()
		var apps []*worker.Worker
		for i := range 6 {
			apps = append(apps, r.service(fmt.Sprintf("a%d", i), worker.Crash))
		}
		for range 4 {
			r.serve(r.request(routing.Idempotent))
		}
		Expect(runsAt(apps)).To(Equal(relay.StrikeLimit))
		v, _ := r.serve(r.request(routing.Idempotent))
		Expect(v.Refusal.Reason).To(Equal(crocusreel.ReasonSuspect))
	})

	// An endpoint loses the answers to many calls and lives. Their work is harmless: it must
	// not be refused as work that kills.
	It("is not held to kill endpoints that only lose its answers", func() {
		r := newRig()
		r.service("a1", worker.LoseAnswer)
		r.service("a2", worker.LoseAnswer)
		for range 4 {
			v, _ := r.serve(r.request(routing.Idempotent))
			Expect(v.Refusal.Reason).To(Equal(crocusreel.ReasonEndpointLost))
		}
	})

	// A link is bad and resets one stream after the other, all of them answers to the same
	// prompt. Their engines live and have done nothing wrong, and neither has the prompt: its
	// callers must not be refused as if it killed engines. In the logs "strike" came after
	// "stream cut" although the next request to the same engine was answered.
	DescribeTable("is not held to kill engines when only its connection breaks", func(fault worker.Fault) {
		r := newRig()
		var engines []*worker.Worker
		for i := range 6 {
			engines = append(engines, r.engine(fmt.Sprintf("e%d", i), 20, always(fault)))
		}
		for n := range 6 {
			v, _ := r.serve(r.request(routing.Streaming))
			Expect(v.Refusal == nil || v.Refusal.Reason != crocusreel.ReasonSuspect).To(BeTrue(), "request %d", n)
		}
		Expect(engines).To(HaveEach(WithTransform(func(e *worker.Worker) bool {
			return r.Client.Refuses(context.Background(), e.Address())
		}, BeFalse())))
	},
		Entry("in the middle", worker.Truncate),
		Entry("before the first event", worker.LoseAnswer),
	)

	// Engines that die of something else take a popular prompt with them, one today and one
	// some minutes later. In between it is answered again and again, so that it cannot be at
	// fault: were the deaths added up all the same, its callers would be refused one day.
	It("is forgiven its strikes once it has a whole answer", func() {
		r := newRig()
		for n := range 4 {
			dying := r.engine(fmt.Sprintf("dying%d", n), 20, always(worker.Crash))
			v, _ := r.serve(r.request(routing.Streaming))
			Expect(v.Refusal == nil || v.Refusal.Reason != crocusreel.ReasonSuspect).To(BeTrue(), "death %d", n)
			Expect(dying.Runs()).To(HaveLen(1))
			r.Fleet.Remove(fmt.Sprintf("dying%d", n), false)
			sound := fmt.Sprintf("sound%d", n)
			r.engine(sound, 20, nil)
			v, _ = r.serve(r.request(routing.Streaming))
			Expect(v.Refusal).To(BeNil(), "death %d", n)
			r.Fleet.Remove(sound, false)
		}
	})

	// The key of a waiting request is taken away while it waits, or its machine sleeps.
	It("does not run when it may no longer be admitted", func() {
		r := newRig()
		e := r.engine("e1", 10, nil)
		r.Admit = func(*relay.Request) *crocusreel.Refusal {
			return crocusreel.Refuse(crocusreel.ReasonNotReady, crocusreel.OutcomeNotRun, time.Second, "too old")
		}
		v, _ := r.serve(r.request(routing.Streaming))
		Expect(v.Refusal.Reason).To(Equal(crocusreel.ReasonNotReady))
		Expect(e.Runs()).To(BeEmpty())
	})
})
