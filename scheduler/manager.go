package scheduler

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/notice"
	"github.com/crocusreel/crocusreel/peer/peerv1"
)

// Options configure a Manager.
type Options struct {
	// VMID and Region identify this gateway.
	VMID   string
	Region string
	// EngineClient returns the client for an engine.
	EngineClient func(spec config.EndpointSpec) endpoint.Engine
	// Notice returns the latest notice of an engine. It may be nil if notices are not collected.
	Notice func(spec config.EndpointSpec) notice.Notice
	// Now is the clock and has to be monotonic; nil means time.Now.
	Now func() time.Time
	// Client sends requests to other gateways; nil means HTTP/2 without TLS.
	Client connect.HTTPClient
	// Scheme is the URL scheme of other gateways, "http" or "https"; empty means "http".
	Scheme string
	// Log may be nil.
	Log *zap.Logger
}

// Snapshot is the cluster membership and configuration that a Manager works with. It must not be
// modified after it has been passed to Apply.
type Snapshot struct {
	Members []*peerv1.Member
	Config  *config.Config
}

// Manager acquires permits for one gateway, and schedules the pools for which this gateway is the
// scheduler. It implements Permits.
type Manager struct {
	opts        Options
	startOffset time.Duration
	startedAt   time.Time
	ctx         context.Context
	stop        context.CancelFunc
	view        atomic.Pointer[view]
	// mu guards remotes and is held while view is replaced. Request goroutines read view without it.
	mu            sync.Mutex
	remotes       map[string]*remoteScheduler
	permits       *permitStore
	releasesDue   chan struct{}
	fullReportDue chan struct{}
}

// view is an immutable snapshot of pools and schedulers, read by request goroutines.
type view struct {
	cfg *config.Config
	// byModel holds the pool of each model.
	byModel map[string]*poolView
	byKey   map[string]*poolView
	// gateways is the number of gateways in the region.
	gateways int
	scope    string
}

// poolView is one pool and the connection to its scheduler.
type poolView struct {
	key string
	// primary schedules the pool while this gateway is its scheduler. fallback (the spare scheduler
	// in logs and metrics) schedules with a share of the engines while the chosen gateway is
	// unreachable.
	primary, fallback *pool
	// schedulerID is the VM ID of the gateway chosen as scheduler.
	schedulerID string
	// remote is the client of that gateway; nil if it is this one.
	remote *remoteScheduler
	// schedulerCtx is cancelled when the scheduler changes, that is, another gateway becomes the
	// scheduler or its address changes, and when the pool is removed.
	schedulerCtx       context.Context
	cancelSchedulerCtx context.CancelFunc
}

// NewManager returns a Manager without a snapshot. It refuses all requests with not_ready until
// Apply has set a configuration.
func NewManager(o Options) *Manager {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Client == nil {
		o.Client = newH2CClient()
	}
	if o.Scheme == "" {
		o.Scheme = "http"
	}
	m := &Manager{
		opts: o, startedAt: o.Now(), remotes: make(map[string]*remoteScheduler),
		permits: newPermitStore(), releasesDue: make(chan struct{}, 1), fullReportDue: make(chan struct{}, 1),
	}
	m.startOffset = m.startedAt.Sub(priorityEpoch)
	m.ctx, m.stop = context.WithCancel(context.Background())
	return m
}

// priorityEpoch is the same for all schedulers, so that the engine priorities assigned by different
// schedulers are comparable.
var priorityEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// now returns the time since priorityEpoch. It follows the monotonic clock from the start of the
// process.
func (m *Manager) now() time.Duration { return m.startOffset + m.opts.Now().Sub(m.startedAt) }

// newH2CClient returns a client for HTTP/2 without TLS, so that all requests to one gateway share a
// connection.
func newH2CClient() *http.Client {
	t := &http.Transport{Protocols: new(http.Protocols)}
	t.Protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: t}
}

// Apply replaces the view with one for the given members and configuration. A snapshot without a
// configuration is ignored.
func (m *Manager) Apply(s Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.Config == nil || m.ctx.Err() != nil {
		return
	}
	old := m.view.Load()
	gateways := gatewaysOf(s.Members, m.opts.Region)
	v := &view{
		cfg: s.Config, byModel: make(map[string]*poolView), byKey: make(map[string]*poolView),
		gateways: max(len(gateways), 1), scope: s.Config.Scheduling.Scope,
	}
	m.dropRemotes(gateways)
	for key, spec := range poolsOf(s.Config, m.opts.Region) {
		var before *poolView
		if old != nil {
			before = old.byKey[key]
		}
		pv := m.buildPoolView(before, spec, v, gateways)
		v.byKey[key] = pv
		for _, model := range spec.models {
			v.byModel[model] = pv
		}
	}
	m.view.Store(v)
	m.closeUnused(old, v)
	signal(m.fullReportDue)
}

func (m *Manager) buildPoolView(before *poolView, spec *poolSpec, v *view, gateways []*peerv1.Member) *poolView {
	pv := &poolView{key: spec.key, schedulerID: m.opts.VMID}
	if chosen := schedulerOf(gateways, spec.key); chosen != nil && v.scope != config.ScopeGateway {
		pv.schedulerID = chosen.GetId()
		if pv.schedulerID != m.opts.VMID {
			pv.remote = m.remoteTo(chosen)
		}
	}
	primaryConfig := poolConfig{spec: spec, cfg: v.cfg, share: 1, gateways: v.gateways}
	fallbackConfig := primaryConfig
	fallbackConfig.share = 1 / float64(v.gateways)
	fallbackConfig.fallback = true
	if before == nil {
		pv.primary = m.newPool(spec.key, primaryConfig)
		pv.fallback = m.newPool(spec.key+"-spare", fallbackConfig)
	} else {
		pv.primary, pv.fallback = before.primary, before.fallback
		pv.primary.send(configEvent{primaryConfig})
		pv.fallback.send(configEvent{fallbackConfig})
	}
	pv.primary.chosen.Store(pv.remote == nil)
	if before != nil && before.schedulerID == pv.schedulerID && before.remote == pv.remote {
		pv.schedulerCtx, pv.cancelSchedulerCtx = before.schedulerCtx, before.cancelSchedulerCtx
	} else {
		m.logChosen(before, pv, v)
		pv.schedulerCtx, pv.cancelSchedulerCtx = context.WithCancel(m.ctx)
	}
	return pv
}

func (m *Manager) logChosen(before, pv *poolView, v *view) {
	fields := []zap.Field{
		zap.String("pool", pv.key), zap.String("scheduler", pv.schedulerID), zap.Bool("here", pv.remote == nil),
		zap.Int("gateways", v.gateways),
	}
	if before != nil {
		fields = append(fields, zap.String("before", before.schedulerID))
	}
	m.opts.Log.Info("scheduler chosen", fields...)
}

func (m *Manager) newPool(name string, pc poolConfig) *pool {
	return newPool(m.ctx, poolOptions{vm: m.opts.VMID, name: name, now: m.now, log: m.opts.Log, engineClient: m.opts.EngineClient, notice: m.opts.Notice}, pc)
}

// closeUnused cancels the scheduler contexts and closes the pools of the old view that the new one
// no longer uses.
func (m *Manager) closeUnused(old, v *view) {
	if old == nil {
		return
	}
	for key, pv := range old.byKey {
		next, kept := v.byKey[key]
		if !kept || next.schedulerCtx != pv.schedulerCtx {
			pv.cancelSchedulerCtx()
		}
		if !kept {
			pv.primary.close()
			pv.fallback.close()
		}
	}
}

// remoteTo returns the client for a gateway. A gateway whose address changed gets a new client. The
// caller holds mu.
func (m *Manager) remoteTo(g *peerv1.Member) *remoteScheduler {
	r, ok := m.remotes[g.GetId()]
	if !ok || r.address != g.GetGatewayAddress() {
		r = newRemoteScheduler(g, m.opts)
		m.remotes[g.GetId()] = r
	}
	return r
}

func (m *Manager) dropRemotes(gateways []*peerv1.Member) {
	live := make(map[string]bool, len(gateways))
	for _, g := range gateways {
		live[g.GetId()] = true
	}
	for id := range m.remotes {
		if !live[id] {
			delete(m.remotes, id)
		}
	}
}

// Run sends reports on open permits to the schedulers until ctx ends, and then closes all pools.
func (m *Manager) Run(ctx context.Context) error {
	defer m.Close()
	m.reportLoop(ctx)
	return ctx.Err()
}

// Close closes all pools and waits for their goroutines.
func (m *Manager) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stop()
	if v := m.view.Load(); v != nil {
		for _, pv := range v.byKey {
			pv.primary.close()
			pv.fallback.close()
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
