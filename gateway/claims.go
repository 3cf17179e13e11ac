package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/caller"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/ledger"
)

// ledgerTimeout bounds the wait for a write to the ledger. After it, the ledger retries in the
// background and the caller gets its answer.
const ledgerTimeout = time.Second

// claim claims the run of non-idempotent work. Exactly one of its results is set: the claim, the
// stored result of an earlier attempt, or a refusal.
func (g *Gateway) claim(ctx context.Context, a caller.Attempt) (*ledger.Claim, *ledger.Result, *crocusreel.Refusal) {
	key := ledger.Key{Workspace: a.Workspace.Name, IdempotencyKey: a.IdempotencyKey}
	res := g.ledger.Claim(ctx, key, a.BodySHA256, a.FirstAttempt)
	return res.Claim, res.Done, res.Refusal
}

// endClaim ends the claim of work that is given up. It returns the refusal with the outcome that
// holds for the idempotency key, since an earlier attempt may have run.
func (g *Gateway) endClaim(ctx context.Context, claim *ledger.Claim, refusal *crocusreel.Refusal) *crocusreel.Refusal {
	if claim == nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer cancel()
	if refusal.Outcome != crocusreel.OutcomeNotRun {
		g.ledger.RecordUnknown(ctx, claim)
		return refusal
	}
	final := *refusal
	final.Outcome = g.ledger.RecordNotRun(ctx, claim)
	return &final
}

func (g *Gateway) storeResult(claim *ledger.Claim, result ledger.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	if err := g.ledger.RecordDone(ctx, claim, result); err != nil {
		metrics.Count("result_kept_late")
		g.log.Warn("result of non-idempotent work not stored yet", zap.Error(err))
	}
}

// runUntilDetached runs f in the background and waits for its result. If ctx ends after claimed was
// closed, f continues in the background and detached is true. If ctx ends before that, f itself
// ends with ctx and the work has not run.
func runUntilDetached[T any](ctx context.Context, g *Gateway, claimed <-chan struct{}, f func() T) (result T, detached bool) {
	done := make(chan T, 1)
	g.background(func() { done <- f() })
	select {
	case result = <-done:
		return result, false
	case <-ctx.Done():
	}
	select {
	case result = <-done:
		return result, false
	case <-claimed:
		return result, true
	}
}

// storedAnswer is the form in which the answer of a finished generation is stored in the ledger.
type storedAnswer struct {
	Model    string        `json:"model"`
	Endpoint string        `json:"endpoint"`
	Texts    []string      `json:"texts"`
	Finish   caller.Finish `json:"finish"`
}

func encodeAnswer(model, endpoint string, texts []string, f caller.Finish) ledger.Result {
	body, err := json.Marshal(storedAnswer{Model: model, Endpoint: endpoint, Texts: texts, Finish: f})
	if err != nil {
		// Strings and integers can always be encoded.
		panic(err)
	}
	return ledger.Result{Status: http.StatusOK, ContentType: "application/json", Body: body}
}

// replay delivers the stored answer of an earlier attempt.
func replay(stored ledger.Result, sink caller.Sink) *crocusreel.Refusal {
	var a storedAnswer
	if err := json.Unmarshal(stored.Body, &a); err != nil {
		return crocusreel.Refuse(crocusreel.ReasonKeyReused, crocusreel.OutcomeRan, 0, "the key belongs to another kind of work")
	}
	err := sink.Begin(caller.Begin{Model: a.Model, Endpoint: a.Endpoint})
	for i := 0; err == nil && i < len(a.Texts); i++ {
		err = sink.Token(i, a.Texts[i])
	}
	if err == nil {
		err = sink.Finish(a.Finish)
	}
	if err != nil {
		return crocusreel.Refuse(crocusreel.ReasonCallerGone, crocusreel.OutcomeRan, defaultRetryAfter, "the caller closed its connection")
	}
	return nil
}
