package gateway

import (
	"context"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/caller"
	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/handle"
	"github.com/crocusreel/crocusreel/ledger"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/scheduler"
)

// fakePermits grants permits for the engines in the given order.
type fakePermits struct {
	mu       sync.Mutex
	order    []string
	released []scheduler.Release
}

func (p *fakePermits) Acquire(_ context.Context, req scheduler.Request) (scheduler.Permit, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.order) == 0 {
		return scheduler.Permit{}, crocusreel.Refuse(crocusreel.ReasonNoEndpoint, crocusreel.OutcomeNotRun, time.Second, "none left")
	}
	name := p.order[0]
	p.order = p.order[1:]
	return scheduler.Permit{ID: uuid.NewString(), Endpoint: name, Model: req.Model, Workspace: req.Workspace}, nil
}

func (p *fakePermits) Update(string, int) {}

func (p *fakePermits) Release(r scheduler.Release) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = append(p.released, r)
}

func (p *fakePermits) Apply(scheduler.Snapshot) {}

// fakeEngine yields the tokens of one answer.
type fakeEngine struct {
	endpoint.Engine
	mu                sync.Mutex
	refuse            *endpoint.Error
	breakAt           []int // index at which each stream breaks, in order; further streams are complete
	forgetsGeneration bool
	// frozen makes every stream stall at once; stalls counts them.
	frozen  bool
	stalls  int
	length  int
	gate    chan struct{}
	starts  []endpoint.GenerateRequest
	request endpoint.GenerateRequest
}

func (e *fakeEngine) Generate(_ context.Context, req endpoint.GenerateRequest) (endpoint.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuse != nil {
		return nil, e.refuse
	}
	e.starts = append(e.starts, req)
	e.request = req
	return e.stream(0), nil
}

func (e *fakeEngine) Resume(_ context.Context, id string, next int) (endpoint.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.forgetsGeneration || id != e.request.GenerationID {
		return nil, &endpoint.Error{Kind: endpoint.KindUnknownGeneration, Outcome: crocusreel.OutcomeUnknown}
	}
	return e.stream(next), nil
}

func (e *fakeEngine) Cancel(context.Context, string, bool) error { return nil }

func (e *fakeEngine) stream(next int) endpoint.Stream {
	s := &fakeStream{e: e, next: next, end: -1}
	if len(e.breakAt) > 0 {
		s.end = e.breakAt[0]
		e.breakAt = e.breakAt[1:]
	}
	return s
}

type fakeStream struct {
	e         *fakeEngine
	next, end int
}

func (s *fakeStream) Next() (endpoint.Frame, error) {
	if s.e.gate != nil {
		<-s.e.gate
	}
	if s.e.frozen {
		s.e.stalls++
		return endpoint.Frame{}, &endpoint.Error{Kind: endpoint.KindStalled, Outcome: crocusreel.OutcomeUnknown}
	}
	f := endpoint.Frame{RequestID: s.e.request.RequestID, GenerationID: s.e.request.GenerationID, Index: s.next}
	if s.next == s.end {
		return endpoint.Frame{}, &endpoint.Error{Kind: endpoint.KindLost, Outcome: crocusreel.OutcomeUnknown, Cause: io.ErrUnexpectedEOF}
	}
	if s.next >= s.e.length {
		f.Done = true
		f.FinishReason = "stop"
		return f, nil
	}
	f.Text = token(f.GenerationID, s.next)
	s.next++
	return f, nil
}

func (s *fakeStream) Close() error { return nil }

func token(generation string, index int) string {
	return generation[:8] + "." + strconv.Itoa(index) + " "
}

// fakeTables keeps rows in memory. If down is set, every call fails before it has an effect.
type fakeTables struct {
	version int64
	mu      sync.Mutex
	rows    map[string]platform.Row
	down    bool
}

func (t *fakeTables) Get(_ context.Context, table, key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return platform.Row{}, platform.ErrUnavailable
	}
	return t.rows[table+"/"+key], nil
}

func (t *fakeTables) Scan(context.Context, string, string, string, int) ([]platform.Row, error) {
	return nil, nil
}

func (t *fakeTables) Commit(_ context.Context, txn platform.Txn) (platform.Revision, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return platform.Revision{}, platform.ErrUnavailable
	}
	for _, c := range txn.Conditions {
		if t.rows[c.Table+"/"+c.Key].Version != c.Version {
			return platform.Revision{}, platform.ErrConflict
		}
	}
	t.version++
	for _, w := range txn.Writes {
		id := w.Table + "/" + w.Key
		t.rows[id] = platform.Row{Table: w.Table, Key: w.Key, Value: w.Value, Version: t.version}
	}
	return platform.Revision{Version: t.version}, nil
}

// fakeSink keeps the answer. If failAt is set, it fails after that many tokens.
type fakeSink struct {
	begins   []caller.Begin
	tokens   []string
	finished *caller.Finish
	failAt   int
}

func (s *fakeSink) Begin(b caller.Begin) error {
	s.begins = append(s.begins, b)
	s.tokens = nil
	return nil
}

func (s *fakeSink) Token(_ int, text string) error {
	if s.failAt > 0 && len(s.tokens) == s.failAt {
		return io.ErrClosedPipe
	}
	s.tokens = append(s.tokens, text)
	return nil
}

func (s *fakeSink) Finish(f caller.Finish) error {
	s.finished = &f
	return nil
}

func (s *fakeSink) text() string { return strings.Join(s.tokens, "") }

// testGateway is a gateway with fake dependencies.
type testGateway struct {
	*Gateway
	permits *fakePermits
	tables  *fakeTables
	engines map[string]*fakeEngine
	ws      *config.WorkspaceSpec
}

func newTestGateway(t *testing.T, engines map[string]*fakeEngine, order ...string) *testGateway {
	signer, err := handle.NewSigner([]string{"k:" + strings.Repeat("ab", handle.MinKeyBytes)})
	if err != nil {
		t.Fatal(err)
	}
	cfg := &config.Config{
		Models:     []config.ModelSpec{{Name: "m", MaxTokens: 1000}},
		Workspaces: []config.WorkspaceSpec{{Name: "w", MaxStreams: 10}},
		Limits:     config.LimitSpec{Attempts: 3, RetryRatio: 0.1},
	}
	clients := newEndpoints(newNotices("vm", time.Now, zap.NewNop()))
	for name, e := range engines {
		cfg.Endpoints = append(cfg.Endpoints, config.EndpointSpec{Name: name, Kind: config.KindEngine, Address: name})
		clients.engines[name] = e
	}
	tables := &fakeTables{rows: map[string]platform.Row{}}
	tg := &testGateway{permits: &fakePermits{order: order}, tables: tables, engines: engines}
	resultLedger := ledger.New(tables, nil, ledger.Options{Gateway: "vm", Now: time.Now, NewAttemptID: uuid.NewString})
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		resultLedger.Close(ctx)
	})
	g := newGateway(processSettings{}, dependencies{permits: tg.permits, ledger: resultLedger, signer: signer, endpoints: clients}, zap.NewNop())
	g.state.Store(newSnapshot(1, cfg, nil))
	tg.Gateway = g
	tg.ws = &cfg.Workspaces[0]
	return tg
}

func (g *testGateway) generation(key string) caller.Generation {
	return caller.Generation{
		Attempt: caller.Attempt{RequestID: uuid.NewString(), Workspace: g.ws, IdempotencyKey: key, NonIdempotent: key != "", BodySHA256: "b"},
		Model:   "m", Prompt: "p", Class: crocusreel.ClassGeneration,
	}
}
