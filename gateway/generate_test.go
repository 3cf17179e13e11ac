package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/caller"
	"github.com/crocusreel/crocusreel/endpoint"
)

func breakOnceAt(index int) []int { return []int{index} }

// expectComplete checks that the answer is complete, in order and from one generation.
func expectComplete(g *gomega.WithT, sink *fakeSink, e *fakeEngine) {
	want := ""
	for i := range e.length {
		want += token(e.request.GenerationID, i)
	}
	g.Expect(sink.finished).NotTo(gomega.BeNil())
	g.Expect(sink.text()).To(gomega.Equal(want))
}

// Guards against incomplete answers when the connection to an engine breaks in the middle of an
// answer while the engine continues. The caller must get the rest of the same generation and see no
// error.
func TestBrokenStreamIsResumed(t *testing.T) {
	g := gomega.NewWithT(t)
	e := &fakeEngine{length: 20, breakAt: []int{5, 9}}
	tg := newTestGateway(t, map[string]*fakeEngine{"e1": e}, "e1")
	sink := &fakeSink{}
	g.Expect(tg.Generate(context.Background(), tg.generation(""), sink)).To(gomega.BeNil())
	expectComplete(g, sink, e)
	g.Expect(e.starts).To(gomega.HaveLen(1))
}

// Guards against answers mixed from two generations. When an engine dies after the caller has
// received some tokens, another engine would produce other tokens, so the stream must end with a
// typed error.
func TestLostGenerationIsNotSpliced(t *testing.T) {
	g := gomega.NewWithT(t)
	dying := &fakeEngine{length: 20, breakAt: breakOnceAt(5), forgetsGeneration: true}
	other := &fakeEngine{length: 20}
	tg := newTestGateway(t, map[string]*fakeEngine{"e1": dying, "e2": other}, "e1", "e2")
	sink := &fakeSink{}
	refusal := tg.Generate(context.Background(), tg.generation(""), sink)
	g.Expect(refusal).NotTo(gomega.BeNil())
	g.Expect(refusal.Reason).To(gomega.Equal(crocusreel.ReasonGenerationLost))
	g.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">", 0))
	g.Expect(sink.tokens).To(gomega.HaveLen(5))
	g.Expect(other.starts).To(gomega.BeEmpty())
}

// Guards against failed requests when an engine dies before the caller has received any token, or
// while the answer is still being collected. Another engine must deliver a complete answer.
func TestUnseenLossIsRetriedElsewhere(t *testing.T) {
	for name, restartable := range map[string]bool{"streamed, no token yet": false, "collected": true} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			at := 0
			if restartable {
				at = 7
			}
			dying := &fakeEngine{length: 20, breakAt: breakOnceAt(at), forgetsGeneration: true}
			other := &fakeEngine{length: 20}
			tg := newTestGateway(t, map[string]*fakeEngine{"e1": dying, "e2": other}, "e1", "e2")
			sink := &fakeSink{}
			gen := tg.generation("")
			gen.Restartable = restartable
			g.Expect(tg.Generate(context.Background(), gen, sink)).To(gomega.BeNil())
			expectComplete(g, sink, other)
		})
	}
}

// Guards against repeated stall timeouts when an engine freezes before its first token. It still
// accepts connections, so each resume would wait for a whole stall timeout without output to the
// caller.
func TestFrozenEngineIsAbandonedAtItsFirstStall(t *testing.T) {
	g := gomega.NewWithT(t)
	frozen := &fakeEngine{length: 20, frozen: true}
	other := &fakeEngine{length: 20}
	tg := newTestGateway(t, map[string]*fakeEngine{"e1": frozen, "e2": other}, "e1", "e2")
	sink := &fakeSink{}
	g.Expect(tg.Generate(context.Background(), tg.generation(""), sink)).To(gomega.BeNil())
	expectComplete(g, sink, other)
	g.Expect(frozen.stalls).To(gomega.Equal(1))
}

// Guards against refused retries of idempotent requests. An engine drops repeats by key, so a retry
// after a loss would be refused if it carried the caller's key.
func TestOnlyNonIdempotentWorkCarriesItsKey(t *testing.T) {
	g := gomega.NewWithT(t)
	e := &fakeEngine{length: 1}
	tg := newTestGateway(t, map[string]*fakeEngine{"e1": e}, "e1", "e1")
	gen := tg.generation("key")
	g.Expect(tg.Generate(context.Background(), gen, &fakeSink{})).To(gomega.BeNil())
	gen.NonIdempotent = false
	g.Expect(tg.Generate(context.Background(), gen, &fakeSink{})).To(gomega.BeNil())
	g.Expect(e.starts[0].IdempotencyKey).To(gomega.Equal("key"))
	g.Expect(e.starts[1].IdempotencyKey).To(gomega.BeEmpty())
}

// Guards against a false not_run when an engine dies while it runs an idempotent request and no
// other has capacity. The last attempt did not run, but the request may have.
func TestLostThenRefusedHasUnknownOutcome(t *testing.T) {
	g := gomega.NewWithT(t)
	dying := &fakeEngine{length: 20, breakAt: breakOnceAt(0), forgetsGeneration: true}
	tg := newTestGateway(t, map[string]*fakeEngine{"e1": dying}, "e1")
	refusal := tg.Generate(context.Background(), tg.generation(""), &fakeSink{})
	g.Expect(refusal).NotTo(gomega.BeNil())
	g.Expect(refusal.Reason).To(gomega.Equal(crocusreel.ReasonNoEndpoint))
	g.Expect(refusal.Outcome).To(gomega.Equal(crocusreel.OutcomeUnknown))
}

// Guards against running non-idempotent work (such as a print job) twice when its engine dies. The
// caller must get the outcome unknown, also when it retries.
func TestNonIdempotentIsNeverRunTwice(t *testing.T) {
	g := gomega.NewWithT(t)
	dying := &fakeEngine{length: 20, breakAt: breakOnceAt(0), forgetsGeneration: true}
	other := &fakeEngine{length: 20}
	tg := newTestGateway(t, map[string]*fakeEngine{"e1": dying, "e2": other}, "e1", "e2", "e2")
	for range 2 {
		refusal := tg.Generate(context.Background(), tg.generation("key"), &fakeSink{})
		g.Expect(refusal).NotTo(gomega.BeNil())
		g.Expect(refusal.Outcome).To(gomega.Equal(crocusreel.OutcomeUnknown))
	}
	g.Expect(dying.starts).To(gomega.HaveLen(1))
	g.Expect(other.starts).To(gomega.BeEmpty())
}

// Guards against losing non-idempotent work that an engine refused before starting it. The gateway
// keeps the claim, and the refusal proves that a second engine may run the work.
func TestRefusedNonIdempotentRunsElsewhereOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	refusing := &fakeEngine{refuse: &endpoint.Error{Kind: endpoint.KindRefused, Outcome: crocusreel.OutcomeNotRun}}
	other := &fakeEngine{length: 3}
	tg := newTestGateway(t, map[string]*fakeEngine{"e1": refusing, "e2": other}, "e1", "e2", "e2")
	first, second := &fakeSink{}, &fakeSink{}
	g.Expect(tg.Generate(context.Background(), tg.generation("key"), first)).To(gomega.BeNil())
	g.Expect(tg.Generate(context.Background(), tg.generation("key"), second)).To(gomega.BeNil())
	g.Expect(second.text()).To(gomega.Equal(first.text()))
	g.Expect(other.starts).To(gomega.HaveLen(1))
}

// Guards against lost results when a caller disconnects while its non-idempotent work runs, and
// retries with the same key. The first run must finish and its result must be stored.
func TestResultIsStoredAfterCallerDisconnects(t *testing.T) {
	g := gomega.NewWithT(t)
	e := &fakeEngine{length: 20, gate: make(chan struct{})}
	tg := newTestGateway(t, map[string]*fakeEngine{"e1": e}, "e1", "e1")
	ctx, hangUp := context.WithCancel(context.Background())
	ended := make(chan *crocusreel.Refusal)
	go func() { ended <- tg.Generate(ctx, tg.generation("key"), &fakeSink{}) }()
	e.gate <- struct{}{}
	hangUp()
	g.Eventually(ended).Should(gomega.Receive(gomega.HaveField("Outcome", crocusreel.OutcomeUnknown)))
	close(e.gate)
	tg.backgroundTasks.Wait()
	sink := &fakeSink{}
	g.Expect(tg.Generate(context.Background(), tg.generation("key"), sink)).To(gomega.BeNil())
	g.Expect(sink.tokens).To(gomega.HaveLen(20))
	g.Expect(e.starts).To(gomega.HaveLen(1))
}

// Guards against streams that cannot be continued after their gateway died. Another gateway must
// resume the same generation, and refuse the handle to another workspace.
func TestResumeElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	e := &fakeEngine{length: 20}
	tg := newTestGateway(t, map[string]*fakeEngine{"e1": e}, "e1")
	first := &fakeSink{failAt: 6}
	refusal := tg.Generate(context.Background(), tg.generation(""), first)
	g.Expect(refusal).NotTo(gomega.BeNil())
	req := caller.Resume{RequestID: "r2", Workspace: tg.ws, Handle: first.begins[0].Handle, NextIndex: 6}
	rest := &fakeSink{}
	g.Expect(tg.Resume(context.Background(), req, rest)).To(gomega.BeNil())
	first.tokens = append(first.tokens, rest.tokens...)
	first.finished = rest.finished
	expectComplete(g, first, e)

	stranger := *tg.ws
	stranger.Name = "other"
	req.Workspace = &stranger
	g.Expect(tg.Resume(context.Background(), req, rest)).To(gomega.HaveField("Reason", crocusreel.ReasonForbidden))
}

// Guards against unbounded retries when every engine fails. The caller must get a final answer with
// a retry delay.
func TestAttemptsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	e := &fakeEngine{refuse: &endpoint.Error{Kind: endpoint.KindUnreachable, Outcome: crocusreel.OutcomeNotRun}}
	tg := newTestGateway(t, map[string]*fakeEngine{"e1": e}, "e1", "e1", "e1", "e1", "e1")
	refusal := tg.Generate(context.Background(), tg.generation(""), &fakeSink{})
	g.Expect(refusal).NotTo(gomega.BeNil())
	g.Expect(refusal.Outcome).To(gomega.Equal(crocusreel.OutcomeNotRun))
	g.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">", 0))
	g.Expect(tg.permits.released).To(gomega.HaveLen(3))
}

// Guards against unclaimed runs and false outcomes while the platform is down. Nothing may be sent.
// The outcome is not_run if the caller states that this is its first attempt; otherwise, an earlier
// attempt may have run and the outcome is unknown.
func TestLedgerOutage(t *testing.T) {
	for first, outcome := range map[bool]crocusreel.Outcome{true: crocusreel.OutcomeNotRun, false: crocusreel.OutcomeUnknown} {
		g := gomega.NewWithT(t)
		e := &fakeEngine{length: 1}
		tg := newTestGateway(t, map[string]*fakeEngine{"e1": e}, "e1")
		tg.tables.down = true
		gen := tg.generation("key")
		gen.FirstAttempt = first
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		refusal := tg.Generate(ctx, gen, &fakeSink{})
		g.Expect(refusal).NotTo(gomega.BeNil())
		g.Expect(refusal.Outcome).To(gomega.Equal(outcome))
		g.Expect(e.starts).To(gomega.BeEmpty())
	}
}
