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

func lostBefore(index int) []int { return []int{index} }

// expectWhole checks that the answer is whole, in order and from one generation.
func expectWhole(g *gomega.WithT, sink *fakeSink, e *fakeEngine) {
	want := ""
	for i := range e.length {
		want += token(e.request.GenerationID, i)
	}
	g.Expect(sink.finished).NotTo(gomega.BeNil())
	g.Expect(sink.text()).To(gomega.Equal(want))
}

// The link to an engine breaks in mid-answer while the engine goes on. The caller
// must get the rest of the same generation and notice nothing.
func TestBrokenStreamIsResumed(t *testing.T) {
	g := gomega.NewWithT(t)
	e := &fakeEngine{length: 20, breakAfter: []int{5, 9}}
	tg := newTestGateway(t, map[string]*fakeEngine{"e1": e}, "e1")
	sink := &fakeSink{}
	g.Expect(tg.Generate(context.Background(), tg.generation(""), sink)).To(gomega.BeNil())
	expectWhole(g, sink, e)
	g.Expect(e.starts).To(gomega.HaveLen(1))
}

// An engine dies after the caller has seen some tokens. Another engine would give
// other tokens, so the stream ends with a typed error instead of a mixed answer.
func TestLostGenerationIsNotSpliced(t *testing.T) {
	g := gomega.NewWithT(t)
	dying := &fakeEngine{length: 20, breakAfter: lostBefore(5), forgets: true}
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

// An engine dies before the caller has seen anything, or while the answer is still
// collected. The caller gets a whole answer from another engine.
func TestUnseenLossIsRetriedElsewhere(t *testing.T) {
	for name, restartable := range map[string]bool{"streamed, no token yet": false, "collected": true} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			at := 0
			if restartable {
				at = 7
			}
			dying := &fakeEngine{length: 20, breakAfter: lostBefore(at), forgets: true}
			other := &fakeEngine{length: 20}
			tg := newTestGateway(t, map[string]*fakeEngine{"e1": dying, "e2": other}, "e1", "e2")
			sink := &fakeSink{}
			gen := tg.generation("")
			gen.Restartable = restartable
			g.Expect(tg.Generate(context.Background(), gen, sink)).To(gomega.BeNil())
			expectWhole(g, sink, other)
		})
	}
}

// An engine freezes before its first token. It still accepts connections, so each
// resume would wait for a whole stall timeout while the caller sees nothing.
func TestFrozenEngineIsLeftAtItsFirstStall(t *testing.T) {
	g := gomega.NewWithT(t)
	frozen := &fakeEngine{length: 20, frozen: true}
	other := &fakeEngine{length: 20}
	tg := newTestGateway(t, map[string]*fakeEngine{"e1": frozen, "e2": other}, "e1", "e2")
	sink := &fakeSink{}
	g.Expect(tg.Generate(context.Background(), tg.generation(""), sink)).To(gomega.BeNil())
	expectWhole(g, sink, other)
	g.Expect(frozen.stalls).To(gomega.Equal(1))
}

// An engine drops repeats by key, and the gateway tries an idempotent request again
// after a loss. With the caller's key on it, the second try would be refused.
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

// An engine dies while it runs an idempotent request, and no other has room. The
// last refusal says that this try did not run, but the request as a whole may have.
func TestLostThenRefusedIsNotNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	dying := &fakeEngine{length: 20, breakAfter: lostBefore(0), forgets: true}
	tg := newTestGateway(t, map[string]*fakeEngine{"e1": dying}, "e1")
	refusal := tg.Generate(context.Background(), tg.generation(""), &fakeSink{})
	g.Expect(refusal).NotTo(gomega.BeNil())
	g.Expect(refusal.Reason).To(gomega.Equal(crocusreel.ReasonNoEndpoint))
	g.Expect(refusal.Outcome).To(gomega.Equal(crocusreel.OutcomeUnknown))
}

// A draft is sent to print and its engine dies. Running it elsewhere would print it
// twice, so the caller is told that the outcome is unknown, also when it asks again.
func TestNonIdempotentIsNeverRunTwice(t *testing.T) {
	g := gomega.NewWithT(t)
	dying := &fakeEngine{length: 20, breakAfter: lostBefore(0), forgets: true}
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

// An engine refuses the work before starting it. The claim stays with the gateway,
// which proves by the refusal that a second engine may run it.
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

// A caller hangs up while its non-idempotent work runs and asks again with the same
// key. The first run must end and its result be kept, or the caller never learns it.
func TestGoneCallerFindsItsResult(t *testing.T) {
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
	tg.tasks.Wait()
	sink := &fakeSink{}
	g.Expect(tg.Generate(context.Background(), tg.generation("key"), sink)).To(gomega.BeNil())
	g.Expect(sink.tokens).To(gomega.HaveLen(20))
	g.Expect(e.starts).To(gomega.HaveLen(1))
}

// A gateway dies and the caller resumes at another one, which must continue the
// same generation and refuse the handle of another workspace.
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
	expectWhole(g, first, e)

	stranger := *tg.ws
	stranger.Name = "other"
	req.Workspace = &stranger
	g.Expect(tg.Resume(context.Background(), req, rest)).To(gomega.HaveField("Reason", crocusreel.ReasonForbidden))
}

// Every engine fails. Retries stop at the bound and the caller gets its final answer
// with a time to come back.
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

// The platform is down and the caller says that this is its first attempt. Nothing
// may be sent, and not_run is true. Without that statement an earlier attempt may
// have run, so only unknown is true.
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
