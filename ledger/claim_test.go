package ledger_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/ledger"
	"github.com/crocusreel/crocusreel/platform"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedPlatform is a platform whose next calls fail as listed; "" lets a call succeed.
type scriptedPlatform struct {
	*simulation
	mu     sync.Mutex
	faults []string
}

func (s *scriptedPlatform) fault() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return ""
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

func (s *scriptedPlatform) Get(_ context.Context, _, key string) (platform.Row, error) {
	if s.fault() != "" {
		return platform.Row{}, platform.ErrUnavailable
	}
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	return s.rows[key], nil
}

func (s *scriptedPlatform) Scan(context.Context, string, string, string, int) ([]platform.Row, error) {
	return nil, platform.ErrUnavailable
}

func (s *scriptedPlatform) Commit(_ context.Context, txn platform.Txn) (platform.Revision, error) {
	switch s.fault() {
	case "down":
		return platform.Revision{}, platform.ErrUnavailable
	case "lost":
		_, _ = s.apply(txn)
		return platform.Revision{}, platform.ErrUnknown
	case "dropped":
		return platform.Revision{}, platform.ErrUnknown
	}
	return s.apply(txn)
}

// testLedger is a Ledger on a scripted platform.
type testLedger struct {
	*ledger.Ledger
	platform *scriptedPlatform
	store    *objects
}

func newTestLedger(t *testing.T, faults ...string) testLedger {
	t.Helper()
	p := &scriptedPlatform{simulation: newSimulation(), faults: faults}
	o := &objects{}
	ids := 0
	l := ledger.New(p, o, ledger.Options{
		Gateway: "gw", Now: time.Now, RetryBase: time.Millisecond, Workers: 1, InlineBytes: 100,
		NewAttemptID: func() string { ids++; return fmt.Sprint("attempt-", ids) },
	})
	t.Cleanup(func() { l.Close(context.Background()) })
	return testLedger{Ledger: l, platform: p, store: o}
}

var key = ledger.Key{Workspace: "desk", IdempotencyKey: "print-7"}

// Guards against treating a lost answer of the platform as a failed claim: the gateway would refuse
// work that then no attempt could run any more, since the claim was recorded.
func TestLostAnswerIsReadBack(t *testing.T) {
	for _, faults := range [][]string{{"lost"}, {"dropped"}, {"lost", "down"}, {"dropped", "", "lost"}, {"dropped", "", "dropped"}} {
		g := NewWithT(t)
		b := newTestLedger(t, faults...)
		r := b.Claim(t.Context(), key, "h", true)
		g.Expect(r.Refusal).To(BeNil(), "%v", faults)
		g.Expect(r.Claim).NotTo(BeNil())
		g.Expect(b.RecordDone(t.Context(), r.Claim, ledger.Result{Status: 201, Body: []byte("printed")})).To(Succeed())
		again := b.Claim(t.Context(), key, "h", false)
		g.Expect(again.Done).To(HaveField("Body", []byte("printed")))
	}
}

// Guards against a false not_run while the platform is unavailable: the work of a caller that has
// sent the key before may have run, so only a first attempt may receive not_run.
func TestOutcomeDuringOutage(t *testing.T) {
	cases := []struct {
		faults  []string
		first   bool
		outcome crocusreel.Outcome
	}{
		{[]string{"down"}, true, crocusreel.OutcomeNotRun},
		{[]string{"down"}, false, crocusreel.OutcomeUnknown},
		{[]string{"lost", "down", "down", "down"}, true, crocusreel.OutcomeNotRun},
		{[]string{"lost", "down", "down", "down"}, false, crocusreel.OutcomeUnknown},
	}
	for _, c := range cases {
		g := NewWithT(t)
		b := newTestLedger(t, c.faults...)
		r := b.Claim(t.Context(), key, "h", c.first)
		g.Expect(r.Refusal).NotTo(BeNil(), "%+v", c)
		g.Expect(r.Refusal.Reason).To(Equal(crocusreel.ReasonLedgerUnavailable))
		g.Expect(r.Refusal.Outcome).To(Equal(c.outcome), "%+v", c)
		g.Expect(r.Refusal.RetryAfter).To(BeNumerically(">", 0))
	}
}

// Guards against a key that stays blocked forever: a claim is applied, but neither its answer nor
// the read of the row gets through, and the gateway gives it up.
func TestUnconfirmedClaimIsWithdrawn(t *testing.T) {
	for _, first := range []string{"lost", "dropped"} {
		g := NewWithT(t)
		b := newTestLedger(t, first, "down", "down", "down", "down", "down", "down", "down", "down")
		g.Expect(b.Claim(t.Context(), key, "h", true).Refusal).NotTo(BeNil())
		g.Eventually(func() *ledger.Claim { return b.Claim(t.Context(), key, "h", false).Claim }).
			WithTimeout(10 * time.Second).ShouldNot(BeNil())
	}
}

// Guards against losing the result of a run because the platform is unavailable when it is to be
// stored. Another attempt with the same key must receive it after the outage.
func TestResultIsStoredAfterOutage(t *testing.T) {
	g := NewWithT(t)
	b := newTestLedger(t, "", "down", "down", "lost", "down", "down", "down", "down")
	r := b.Claim(t.Context(), key, "h", true)
	body := []byte(strings.Repeat("x", 1000))
	g.Expect(b.RecordDone(t.Context(), r.Claim, ledger.Result{Status: 200, Body: body})).NotTo(Succeed())
	g.Expect(b.RecordDone(t.Context(), r.Claim, ledger.Result{})).To(MatchError(ledger.ErrClaimEnded))
	g.Eventually(func() *ledger.Result { return b.Claim(t.Context(), key, "h", false).Done }).
		WithTimeout(10 * time.Second).Should(HaveField("Body", body))
	g.Expect(b.store.data).To(HaveLen(1))
}

// Guards against running the work again, or reporting that it did not run, when a second attempt
// arrives while the first one runs or after its gateway died.
func TestRecordOfAnotherAttempt(t *testing.T) {
	g := NewWithT(t)
	b := newTestLedger(t)
	held := b.Claim(t.Context(), key, "h", true).Claim
	second := b.Claim(t.Context(), key, "h", true).Refusal
	g.Expect(second.Reason).To(Equal(crocusreel.ReasonRunInProgress))
	g.Expect(second.Outcome).To(Equal(crocusreel.OutcomeUnknown))
	g.Expect(b.Claim(t.Context(), key, "other", true).Refusal.Reason).To(Equal(crocusreel.ReasonKeyReused))

	g.Expect(b.RecordNotRun(t.Context(), held)).To(Equal(crocusreel.OutcomeNotRun))
	reclaimed := b.Claim(t.Context(), key, "h", false).Claim
	g.Expect(reclaimed).NotTo(BeNil())
	b.RecordUnknown(t.Context(), reclaimed)
	g.Expect(b.Claim(t.Context(), key, "h", false).Refusal.Outcome).To(Equal(crocusreel.OutcomeUnknown))
}

// Guards against reporting not_run to a later attempt that the endpoint refused while the first one
// is suspended in a frozen gateway: the caller would book again under a new key, and the first
// attempt would then resume and book too.
func TestLaterAttemptNeverReportsNotRun(t *testing.T) {
	g := NewWithT(t)
	b := newTestLedger(t)
	second := b.Claim(t.Context(), key, "h", false).Claim
	g.Expect(b.RecordNotRun(t.Context(), second)).To(Equal(crocusreel.OutcomeUnknown))
	g.Expect(b.Claim(t.Context(), key, "h", true).Claim).NotTo(BeNil())
}

// Guards against two keys that are equal when joined sharing a record: one workspace would receive
// the answer of the other.
func TestKeysDoNotCollide(t *testing.T) {
	g := NewWithT(t)
	b := newTestLedger(t)
	for _, k := range []ledger.Key{{Workspace: "a/b", IdempotencyKey: "c"}, {Workspace: "a", IdempotencyKey: "b/c"}, {Workspace: "a%2Fb", IdempotencyKey: "c"}} {
		g.Expect(b.Claim(t.Context(), k, "h", true).Claim).NotTo(BeNil(), "%+v", k)
	}
}
