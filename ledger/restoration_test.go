package ledger_test

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/ledger"
	"github.com/crocusreel/crocusreel/platform"
	. "github.com/onsi/gomega"
)

// restorable is an in-memory platform that can be restored from a copy.
type restorable struct {
	mu      sync.Mutex
	at      platform.Revision
	rows    map[string]platform.Row
	version int64
	copied  map[string]platform.Row
}

func newRestorable() *restorable {
	return &restorable{at: platform.Revision{Era: 1}, rows: make(map[string]platform.Row)}
}

func (r *restorable) keepCopy() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.copied, r.version = maps.Clone(r.rows), r.at.Version
}

func (r *restorable) restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows, r.at = maps.Clone(r.copied), platform.Revision{Era: r.at.Era + 1, Version: r.version}
}

func (r *restorable) Get(_ context.Context, _, key string) (platform.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.rows[key]
	row.Era = r.at.Era
	return row, nil
}

func (r *restorable) Scan(context.Context, string, string, string, int) ([]platform.Row, error) {
	return nil, platform.ErrUnavailable
}

func (r *restorable) Commit(_ context.Context, txn platform.Txn) (platform.Revision, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range txn.Conditions {
		if r.rows[c.Key].Version != c.Version || (c.Era != 0 && c.Era != r.at.Era) {
			return platform.Revision{}, platform.ErrConflict
		}
	}
	r.at.Version++
	for _, w := range txn.Writes {
		r.rows[w.Key] = platform.Row{Table: w.Table, Key: w.Key, Value: w.Value, Version: r.at.Version}
	}
	return r.at, nil
}

// newGateway returns the ledger of a gateway.
func (r *restorable) newGateway(t *testing.T, name string) *ledger.Ledger {
	t.Helper()
	ids := 0
	l := ledger.New(r, &objects{}, ledger.Options{
		Gateway: name, Now: time.Now, InlineBytes: 100,
		NewAttemptID: func() string { ids++; return fmt.Sprint(name, "-", ids) },
	})
	t.Cleanup(func() { l.Close(context.Background()) })
	return l
}

// Guards against work that runs twice because the platform was restored from a copy without the
// record of its first run.
func TestRestoredPlatformRunsNothingTwice(t *testing.T) {
	for _, c := range []struct {
		name string
		// before is what the first gateway does before the platform is restored, after what it does then.
		before, after func(l *ledger.Ledger, claim *ledger.Claim)
		// done is set if a repeat gets the result, and runs if it may run.
		done, runs bool
	}{
		{name: "running"},
		{name: "done before", before: recordDone, done: true},
		{name: "done after", after: recordDone, done: true},
		{name: "unknown before", before: recordUnknown},
		{name: "not run before", before: recordNotRun, runs: true},
		{name: "not run after", after: recordNotRun, runs: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				p := newRestorable()
				first, second := p.newGateway(t, "first"), p.newGateway(t, "second")
				g.Expect(second.Claim(t.Context(), ledger.Key{Workspace: "desk", IdempotencyKey: "other"}, "h", true).Claim).NotTo(BeNil())
				p.keepCopy()
				claim := first.Claim(t.Context(), key, "h", true).Claim
				g.Expect(claim).NotTo(BeNil())
				if c.before != nil {
					c.before(first, claim)
				}
				p.restore()
				repeat := second.Claim(t.Context(), key, "h", false)
				g.Expect(repeat.Claim).To(BeNil(), "a repeat is granted before the first gateway has written its record again")
				g.Expect(repeat.Refusal.Reason).To(Equal(crocusreel.ReasonLedgerUnavailable))
				g.Expect(repeat.Refusal.RetryAfter).To(BeNumerically(">", 0))
				if c.after != nil {
					c.after(first, claim)
				}
				time.Sleep(30 * time.Second) // until the first gateway has ended its claim in the background
				repeat = second.Claim(t.Context(), key, "h", false)
				g.Expect(repeat.Claim != nil).To(Equal(c.runs))
				g.Expect(repeat.Done != nil).To(Equal(c.done))
				if c.done {
					g.Expect(repeat.Done.Body).To(Equal([]byte("printed")))
				}
			})
		})
	}
}

func recordDone(l *ledger.Ledger, claim *ledger.Claim) {
	// An error is retried in the background.
	_ = l.RecordDone(context.Background(), claim, ledger.Result{Status: 201, Body: []byte("printed")})
}

func recordUnknown(l *ledger.Ledger, claim *ledger.Claim) {
	l.RecordUnknown(context.Background(), claim)
}

func recordNotRun(l *ledger.Ledger, claim *ledger.Claim) { l.RecordNotRun(context.Background(), claim) }

// Guards against claims that are refused for longer than the records need to be written again.
func TestRestoredPlatformGrantsClaimsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newRestorable()
		l := p.newGateway(t, "gw")
		p.keepCopy()
		g.Expect(l.Claim(t.Context(), key, "h", true).Claim).NotTo(BeNil())
		p.restore()
		other := ledger.Key{Workspace: "desk", IdempotencyKey: "print-8"}
		refusal := l.Claim(t.Context(), other, "h", true).Refusal
		g.Expect(refusal).NotTo(BeNil())
		g.Expect(refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
		time.Sleep(refusal.RetryAfter)
		g.Expect(l.Claim(t.Context(), other, "h", false).Claim).NotTo(BeNil())
	})
}
