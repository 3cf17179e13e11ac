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

// keepTimeout bounds the wait for a result to be kept; after it the ledger goes on
// in the background and the caller gets its answer.
const keepTimeout = time.Second

// claim claims the run of non-idempotent work. Exactly one of its results is set.
func (g *Gateway) claim(ctx context.Context, a caller.Attempt) (*ledger.Claim, *ledger.Result, *crocusreel.Refusal) {
	key := ledger.Key{Workspace: a.Workspace.Name, IdempotencyKey: a.IdempotencyKey}
	res := g.ledger.Claim(ctx, key, a.BodySHA256, a.First)
	return res.Claim, res.Done, res.Refusal
}

// endClaim ends the claim of work that is given up and returns the refusal with the
// outcome that is true for the key: an earlier attempt may have run.
func (g *Gateway) endClaim(ctx context.Context, claim *ledger.Claim, refusal *crocusreel.Refusal) *crocusreel.Refusal {
	if claim == nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keepTimeout)
	defer cancel()
	if refusal.Outcome != crocusreel.OutcomeNotRun {
		g.ledger.RecordUnknown(ctx, claim)
		return refusal
	}
	final := *refusal
	final.Outcome = g.ledger.RecordNotRun(ctx, claim)
	return &final
}

func (g *Gateway) keepResult(claim *ledger.Claim, result ledger.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), keepTimeout)
	defer cancel()
	if err := g.ledger.RecordDone(ctx, claim, result); err != nil {
		metrics.Count("result_kept_late")
		g.log.Warn("result not kept yet", zap.Error(err))
	}
}

// outlive runs f to its end even if ctx ends, once claimed is closed. It returns
// f's result, or left if ctx ended while claimed work goes on in the background.
// Before the claim f itself ends with ctx, and the work has not run.
func outlive[T any](ctx context.Context, g *Gateway, claimed <-chan struct{}, f func() T) (result T, left bool) {
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

// keptAnswer is the stored form of a finished generation.
type keptAnswer struct {
	Model    string        `json:"model"`
	Endpoint string        `json:"endpoint"`
	Texts    []string      `json:"texts"`
	Finish   caller.Finish `json:"finish"`
}

func answerResult(model, endpoint string, texts []string, f caller.Finish) ledger.Result {
	body, err := json.Marshal(keptAnswer{Model: model, Endpoint: endpoint, Texts: texts, Finish: f})
	if err != nil {
		// Strings and integers always encode.
		panic(err)
	}
	return ledger.Result{Status: http.StatusOK, ContentType: "application/json", Body: body}
}

// replay delivers the kept answer of an earlier attempt.
func replay(kept ledger.Result, sink caller.Sink) *crocusreel.Refusal {
	var a keptAnswer
	if err := json.Unmarshal(kept.Body, &a); err != nil {
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
		return crocusreel.Refuse(crocusreel.ReasonCallerGone, crocusreel.OutcomeRan, lostRetryAfter, "the caller closed its connection")
	}
	return nil
}
