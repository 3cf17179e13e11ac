package scheduler

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/peer/peerv1"
)

func TestScheduler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scheduler")
}

// specTimeout bounds the waits of the specs. It is generous, since test machines may be busy.
const specTimeout = 20 * time.Second

// fakeEngine answers load polls and requests for cache events; other methods are not implemented.
type fakeEngine struct {
	endpoint.Engine
	mu     sync.Mutex
	report endpoint.LoadReport
	err    error
	polls  int
	cache  []endpoint.CacheEvent
}

func newFakeEngine(name string, capacity int) *fakeEngine {
	return &fakeEngine{report: endpoint.LoadReport{Endpoint: name, KVCapacity: capacity, Incarnation: name + "-1"}}
}

func (f *fakeEngine) Load(context.Context) (endpoint.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls++
	return f.report, f.err
}

func (f *fakeEngine) CacheEvents(_ context.Context, since uint64) ([]endpoint.CacheEvent, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, c := range f.cache {
		if c.Seq > since {
			return f.cache[i:], nil
		}
	}
	return nil, nil
}

func (f *fakeEngine) set(change func(*fakeEngine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// testRegion is a set of gateways, each with its own manager, that share engines.
type testRegion struct {
	engines  map[string]*fakeEngine
	cfg      *config.Config
	managers map[string]*Manager
	servers  map[string]*httptest.Server
	calls    *callCount
}

// callCount counts the RPC calls to managers by procedure.
type callCount struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *callCount) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		c.n[r.URL.Path]++
		c.mu.Unlock()
		h.ServeHTTP(w, r)
	})
}

func (c *callCount) get(procedure string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[procedure]
}

func baseConfig(engines map[string]*fakeEngine) *config.Config {
	cfg := &config.Config{
		Weights:    config.WeightSpec{Stall: 1, Preemption: 1},
		Limits:     config.LimitSpec{QueueLength: 64, QueueWaitMS: 30000, Strikes: 3, ShortReserve: 0.1},
		Scheduling: config.SchedulingSpec{Policy: config.PolicyReservation, Scope: config.ScopePool},
		Models:     []config.ModelSpec{{Name: "m"}},
		Workspaces: []config.WorkspaceSpec{{Name: "w", Weight: 1}},
	}
	for name := range engines {
		cfg.Endpoints = append(cfg.Endpoints, config.EndpointSpec{
			Name: name, Kind: config.KindEngine, Address: name, Region: "r", Models: []string{"m"},
		})
	}
	return cfg
}

func newTestRegion(gateways []string, engines ...*fakeEngine) *testRegion {
	r := &testRegion{
		engines: make(map[string]*fakeEngine), managers: make(map[string]*Manager),
		servers: make(map[string]*httptest.Server), calls: &callCount{n: make(map[string]int)},
	}
	for _, e := range engines {
		r.engines[e.report.Endpoint] = e
	}
	r.cfg = baseConfig(r.engines)
	for _, id := range gateways {
		r.start(id)
	}
	DeferCleanup(r.stop)
	r.apply()
	return r
}

func (r *testRegion) start(id string) {
	m := NewManager(Options{VMID: id, Region: "r", EngineClient: func(s config.EndpointSpec) endpoint.Engine {
		return r.engines[s.Name]
	}})
	mux := http.NewServeMux()
	path, h := m.Handler()
	mux.Handle(path, r.calls.wrap(h))
	s := httptest.NewUnstartedServer(mux)
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetHTTP1(true)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		<-done
	})
	r.managers[id], r.servers[id] = m, s
}

func (r *testRegion) stop() {
	for _, s := range r.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

// apply passes the remaining members and the configuration to all managers.
func (r *testRegion) apply() {
	var members []*peerv1.Member
	for id, s := range r.servers {
		members = append(members, &peerv1.Member{
			Id: id, Region: "r", GatewayAddress: s.Listener.Addr().String(),
			State: peerv1.MemberState_MEMBER_STATE_ALIVE,
		})
	}
	for _, m := range r.managers {
		m.Apply(Snapshot{Members: members, Config: r.cfg})
	}
}

// schedulerID returns the VM ID of the scheduler in the view of an arbitrary manager.
func (r *testRegion) schedulerID() string {
	for _, m := range r.managers {
		return m.view.Load().byModel["m"].schedulerID
	}
	return ""
}

// nonScheduler returns the manager of a gateway that is not the scheduler.
func (r *testRegion) nonScheduler() *Manager {
	chosen := r.schedulerID()
	for id, m := range r.managers {
		if id != chosen {
			return m
		}
	}
	return nil
}

func request(fingerprint uint64) Request {
	return Request{
		RequestID: "q", Model: "m", Workspace: "w", Class: crocusreel.ClassGeneration,
		PromptTokens: 100, MaxTokens: 1000, Fingerprint: fingerprint,
	}
}

// openPermits counts the open permits in a manager's primary pool.
func openPermits(m *Manager) func() int {
	return func() (n int) {
		pv := m.view.Load().byModel["m"]
		pv.primary.stats(func(c *core) { n = len(c.permits) })
		return n
	}
}

func acquire(m *Manager, req Request) (Permit, error) {
	ctx, cancel := context.WithTimeout(context.Background(), specTimeout)
	defer cancel()
	return m.Acquire(ctx, req)
}

// leave removes a gateway from the members that all managers see.
func (r *testRegion) leave(id string) {
	s := r.servers[id]
	delete(r.servers, id)
	DeferCleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	r.apply()
}

// acquireAsync requests a permit in the background.
func acquireAsync(m *Manager) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := acquire(m, request(1))
		done <- err
	}()
	return done
}

// queuedRequests counts the queued requests in a manager's primary pool.
func queuedRequests(m *Manager) func() int {
	return func() (n int) {
		m.view.Load().byModel["m"].primary.stats(func(c *core) {
			for _, q := range c.queues {
				n += q.Len()
			}
		})
		return n
	}
}
