package engine

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/internal/standin/engine/model"
)

// Engine is a stand-in for an inference engine. One mutex guards all mutable state; it is held for
// the short computation of a step, but not while the duration of the step passes.
type Engine struct {
	options     Options
	incarnation string
	runs        *admin.RunLog
	wake        chan struct{}

	mu             sync.Mutex
	model          *model.Engine
	generations    map[string]*generation
	byKey          map[idempotencyKey]*generation
	faults         admin.EngineFaults
	random         *rand.Rand
	dieAfterTokens int
	leavingAt      time.Time
	reports        reports
	cacheEvents    cacheEvents
	orderState     orderState
}

// idempotencyKey identifies a generation by its idempotency key within a workspace.
type idempotencyKey struct{ workspace, key string }

// New returns an engine. It makes no progress until Run is called.
func New(o Options) (*Engine, error) {
	o = o.withDefaults()
	incarnation := uuid.NewString()
	runs, err := admin.OpenRunLog(o.Journal, incarnation)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		options:     o,
		incarnation: incarnation,
		runs:        runs,
		wake:        make(chan struct{}, 1),
		model:       model.New(o.Params),
		generations: make(map[string]*generation),
		byKey:       make(map[idempotencyKey]*generation),
		random:      rand.New(rand.NewPCG(o.Seed, 1)),
		orderState:  newOrderState(o.Models, o.Role),
	}
	e.reports.add(time.Now(), e.report())
	return e, nil
}

// refusal is an error response with its HTTP status.
type refusal struct {
	status int
	body   endpoint.ErrorBody
}

func refuse(status int, kind endpoint.ErrorKind, outcome crocusreel.Outcome, message string) *refusal {
	return &refusal{status, endpoint.ErrorBody{Kind: kind, Outcome: outcome, Message: message}}
}

func refuseUnavailable(message string) *refusal {
	return refuse(503, endpoint.KindRefused, crocusreel.OutcomeNotRun, message)
}

// start accepts a generation or returns a refusal. lost reports that the response to an accepted
// generation must be dropped.
func (e *Engine) start(req endpoint.GenerateRequest) (g *generation, lost bool, refused *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refused := e.checkAdmission(req); refused != nil {
		return nil, false, refused
	}
	g = e.newGeneration(req)
	if err := e.model.Add(g.sequence()); err != nil {
		return nil, false, refuseUnavailable(err.Error())
	}
	index, err := e.runs.Start(admin.Run{
		RequestID: req.RequestID, GenerationID: req.GenerationID, IdempotencyKey: req.IdempotencyKey,
		Workspace: req.Workspace, Path: endpoint.PathGenerate, Model: req.Model,
		PromptHead: req.Prompt[:min(len(req.Prompt), admin.PromptHeadBytes)],
	})
	if err != nil {
		e.model.Cancel(req.GenerationID)
		return nil, false, refuseUnavailable(err.Error())
	}
	g.runIndex = index
	e.generations[req.GenerationID] = g
	if req.IdempotencyKey != "" {
		e.byKey[idempotencyKey{req.Workspace, req.IdempotencyKey}] = g
	}
	e.wakeUp()
	return g, e.loseAnswer(), nil
}

// checkAdmission checks whether a generation may start. A generation ID that is already known is
// refused, because a second run under the same ID would mix the frames of two runs. The caller
// holds the mutex.
func (e *Engine) checkAdmission(req endpoint.GenerateRequest) *refusal {
	if req.RequestID == "" || req.GenerationID == "" {
		return refuse(400, endpoint.KindRefused, crocusreel.OutcomeNotRun, "request_id and generation_id are required")
	}
	if _, ok := e.generations[req.GenerationID]; ok {
		return refuse(409, endpoint.KindRepeat, crocusreel.OutcomeRan, "generation exists")
	}
	if _, ok := e.byKey[idempotencyKey{req.Workspace, req.IdempotencyKey}]; ok && e.options.Deduplicate {
		return refuse(409, endpoint.KindRepeat, crocusreel.OutcomeRan, "idempotency key was used")
	}
	if e.faults.Refuse {
		return refuseUnavailable("refusing")
	}
	if !e.orderState.serves(req.Model, req.Adapter) {
		return refuseUnavailable("model not loaded")
	}
	if e.model.Usage().Waiting >= e.options.MaxWaiting {
		return refuseUnavailable("too many waiting")
	}
	return nil
}

func (e *Engine) newGeneration(req endpoint.GenerateRequest) *generation {
	limit := req.MaxTokens
	if limit <= 0 {
		limit = e.options.MaxTokens
	}
	length := outputLength(e.options, req.RequestID, req.Prompt)
	return &generation{
		request:      req,
		promptTokens: endpoint.PromptTokens(req.Prompt),
		targetTokens: min(length, limit),
		limited:      length > limit,
		crashMarked:  hasCrashMarker(req.Prompt),
		changed:      make(chan struct{}),
	}
}

func (g *generation) sequence() model.Sequence {
	return model.Sequence{
		ID:           g.request.GenerationID,
		PromptTokens: g.promptTokens,
		Prefixes:     endpoint.PrefixHashes(g.request.Model, g.request.Prompt),
		OutputTokens: g.targetTokens,
		Priority:     g.request.Priority,
	}
}

// loseAnswer decides whether the response to an accepted generation is dropped. The caller holds
// the mutex.
func (e *Engine) loseAnswer() bool {
	if e.faults.LoseNext > 0 {
		e.faults.LoseNext--
		return true
	}
	return e.chance(e.faults.LoseAnswers)
}

// chance returns true with probability p. The caller holds the mutex.
func (e *Engine) chance(p float64) bool { return p > 0 && e.random.Float64() < p }

// find returns the generation that is running or still retained, or nil.
func (e *Engine) find(id string) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generations[id]
}

// lookup returns the status of the run with an idempotency key.
func (e *Engine) lookup(key idempotencyKey) endpoint.RunStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := endpoint.RunStatus{State: endpoint.RunNone, Incarnation: e.incarnation}
	if g, ok := e.byKey[key]; ok {
		status.GenerationID = g.request.GenerationID
		status.State = endpoint.RunActive
		if g.done {
			status.State = endpoint.RunEnded
		}
	}
	return status
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
