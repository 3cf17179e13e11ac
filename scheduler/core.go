package scheduler

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/notice"
	"github.com/crocusreel/crocusreel/policy"
	"github.com/crocusreel/crocusreel/quarantine"
)

const (
	// takeoverGracePeriod is how long admission is conservative after a pool becomes active, while
	// gateways still report permits that an earlier scheduler granted.
	takeoverGracePeriod = 2 * time.Second
	// takeoverGraceShare is the fraction of the engines' memory that is used during that period.
	takeoverGraceShare = 0.7
	// unreportedPermitGrace is the age from which a permit that its gateway does not report is
	// dropped, because the response with the grant was lost. It is longer than the time during
	// which a grant and a report can cross in transit.
	unreportedPermitGrace = 3 * time.Second
	// tombstoneTTL is how long an ended permit is remembered, so that a late report does not
	// restore it.
	tombstoneTTL = 15 * time.Second
)

// poolConfig is the part of the configuration and of the region's state that a pool needs.
type poolConfig struct {
	spec *poolSpec
	cfg  *config.Config
	// share is the fraction of the engines' memory that this scheduler may use.
	share float64
	// gateways is the number of gateways that send reports.
	gateways int
	// fallback is set for the pool that a gateway uses for itself alone.
	fallback bool
}

// queuedRequest is a request that waits for a permit or a refusal.
type queuedRequest struct {
	req Request
	// deadline is the caller's deadline on the pool's clock; 0 means none.
	deadline       time.Duration
	item           *policy.Item[*queuedRequest]
	placement      policy.Request
	expectedTokens float64
	reply          chan result
	done           bool
	permitID       string
	// probing is set if the request runs to find out whether quarantined prefixes still crash engines.
	probing bool
	// holdLogged is set once the first log entry about holding the request back has been written;
	// no further ones are.
	holdLogged bool
}

// result is the response to a queued request: a permit or a refusal.
type result struct {
	permit  Permit
	refusal *crocusreel.Refusal
}

// grant is the scheduler's record of an open permit.
type grant struct {
	Permit
	gateway        string
	grantedAt      time.Duration
	reportedAt     time.Duration
	expectedTokens float64
}

// core is the state of a pool. It is owned by the pool's goroutine and does no I/O itself: effects
// are requested through return values and hooks.
type core struct {
	vm        string
	pc        poolConfig
	hooks     hooks
	estimator *policy.Estimator
	prefix    *policy.PrefixIndex
	queues    map[crocusreel.Class]*policy.Queue[*queuedRequest]
	// backlogs holds the service rate of each class.
	backlogs map[crocusreel.Class]*backlog
	suspects *policy.Suspects
	// parts holds what is known of prompt prefixes that crash engines, as of partsNow.
	parts             *quarantine.Tracker
	partsNow          time.Duration
	riskController    *policy.RiskController
	picker            policy.Picker
	reservation       *policy.Reservation
	engines           map[string]*engine
	sortedEngines     []*engine
	endpointsByModel  map[string][]*policy.Endpoint
	workspaces        map[string]config.WorkspaceSpec
	permits           map[string]*grant
	tombstones        map[string]time.Duration
	lastReports       map[string]time.Duration
	activatedAt       time.Duration
	sequence          uint64
	ejector           policy.Ejector
	ejectionCheckedAt time.Duration
	runningSampledAt  time.Duration
	refreshCursor     int
	blockedModels     []string
}

// hooks connect a core to its environment.
type hooks struct {
	// poll requests an immediate load report from an engine.
	poll func(engine string)
	// notice returns the latest notice of an engine. The hook may be nil if notices are not
	// collected.
	notice func(config.EndpointSpec) notice.Notice
	// log receives an entry for each decision on a request and for each change in what is known
	// about engines and strikes.
	log *zap.Logger
	// count adds n to a named event counter.
	count func(event string, n int64)
	// id is the prefix of permit IDs, unique for each core of each process.
	id string
}

func newCore(vm string, h hooks) *core {
	if h.notice == nil {
		h.notice = func(config.EndpointSpec) notice.Notice { return notice.Notice{} }
	}
	if h.log == nil {
		h.log = zap.NewNop()
	}
	c := &core{
		vm: vm, hooks: h,
		estimator: policy.NewEstimator(),
		prefix:    policy.NewPrefixIndex(),
		queues: map[crocusreel.Class]*policy.Queue[*queuedRequest]{
			crocusreel.ClassShort:      policy.NewQueue[*queuedRequest](),
			crocusreel.ClassGeneration: policy.NewQueue[*queuedRequest](),
		},
		backlogs: map[crocusreel.Class]*backlog{
			crocusreel.ClassShort:      {},
			crocusreel.ClassGeneration: {},
		},
		suspects:       policy.NewSuspects(policy.StrikeTTL),
		riskController: policy.NewRiskController(1, 1),
		engines:        make(map[string]*engine),
		permits:        make(map[string]*grant),
		tombstones:     make(map[string]time.Duration),
		lastReports:    make(map[string]time.Duration),
	}
	c.parts = c.newParts()
	return c
}

// configure applies a configuration.
func (c *core) configure(pc poolConfig, now time.Duration) {
	old := c.pc
	c.pc = pc
	c.riskController.SetWeights(pc.cfg.Weights.Stall, pc.cfg.Weights.Preemption)
	c.workspaces = make(map[string]config.WorkspaceSpec, len(pc.cfg.Workspaces))
	for _, w := range pc.cfg.Workspaces {
		c.workspaces[w.Name] = w
	}
	c.configureEngines(now)
	if old.cfg == nil || old.cfg.Scheduling != pc.cfg.Scheduling || c.picker == nil {
		c.picker, c.reservation = newPicker(pc.cfg.Scheduling)
	}
	if c.reservation != nil {
		c.reservation.ShortReserve = pc.cfg.Limits.ShortReserve
	}
}

func (c *core) configureEngines(now time.Duration) {
	engines := make(map[string]*engine, len(c.pc.spec.engines))
	c.sortedEngines = c.sortedEngines[:0]
	c.endpointsByModel = make(map[string][]*policy.Endpoint)
	for _, s := range c.pc.spec.engines {
		e, ok := c.engines[s.Name]
		if !ok || e.spec.Address != s.Address {
			e = newEngine(s)
		}
		e.spec = s
		e.updateState(now)
		engines[s.Name] = e
		c.sortedEngines = append(c.sortedEngines, e)
		for _, m := range s.Models {
			c.endpointsByModel[m] = append(c.endpointsByModel[m], e.view)
		}
	}
	for name := range c.engines {
		if _, ok := engines[name]; !ok {
			c.prefix.RemoveEndpoint(name)
		}
	}
	c.engines = engines
	sort.Slice(c.sortedEngines, func(i, j int) bool { return c.sortedEngines[i].spec.Name < c.sortedEngines[j].spec.Name })
}

// newPicker returns the picker of a scheduling policy. If that is a reservation, it is returned a
// second time under its concrete type; otherwise the second result is nil.
func newPicker(s config.SchedulingSpec) (policy.Picker, *policy.Reservation) {
	w := policy.Watermark(s.Watermark)
	switch s.Policy {
	case config.PolicyRoundRobin:
		return &policy.RoundRobin{Watermark: w}, nil
	case config.PolicyLeastOutstanding:
		return &policy.LeastOutstanding{Watermark: w}, nil
	case config.PolicyPowerOfTwo:
		return policy.NewPowerOfTwo(w, powerOfTwoSeed), nil
	case config.PolicyWatermark:
		if w == 0 {
			w = defaultWatermark
		}
		return &policy.LeastOutstanding{Watermark: w}, nil
	}
	r := &policy.Reservation{Share: 1}
	return r, r
}

const (
	// defaultWatermark applies to the policy "watermark" if the configuration sets no fraction.
	defaultWatermark = 0.9
	powerOfTwoSeed   = 1
)

func (c *core) isOraclePolicy() bool { return c.pc.cfg.Scheduling.Policy == config.PolicyOracle }

// activate resets the pool when it begins to schedule: permits, report times and engine states from
// an earlier active period are stale.
func (c *core) activate(now time.Duration) {
	c.hooks.log.Info("pool active", zap.Int("permits_dropped", len(c.permits)))
	c.activatedAt = now
	for id := range c.permits {
		c.dropPermit(id)
	}
	clear(c.lastReports)
	for _, e := range c.sortedEngines {
		e.view.State = policy.StateUnknown
	}
}

func (c *core) workspaceWeight(workspace string) float64 {
	if w, ok := c.workspaces[workspace]; ok && w.Weight > 0 {
		return w.Weight
	}
	return 1
}

// tick does the periodic work: samples running requests, refreshes demand, ejects slow engines,
// refuses requests that can no longer be served, and deletes expired tombstones. It is called every
// tickInterval while the pool is active.
func (c *core) tick(now time.Duration) {
	c.sampleRunning(now)
	c.refreshNextEngines(now)
	c.ejectSlowEngines(now)
	c.sweep(now)
	for id, at := range c.tombstones {
		if now-at > tombstoneTTL {
			delete(c.tombstones, id)
		}
	}
}

// runningSampleInterval is the time between two samples of the running requests, which the
// estimator of answer lengths uses.
const runningSampleInterval = 200 * time.Millisecond

func (c *core) sampleRunning(now time.Duration) {
	if now-c.runningSampledAt < runningSampleInterval {
		return
	}
	c.runningSampledAt = now
	c.estimator.BeginListing()
	for _, e := range c.sortedEngines {
		e.view.EachRunning(now, c.estimator.AddRunning)
	}
	c.estimator.EndListing()
}

// ejectionInterval is the time between two checks for slow engines.
const ejectionInterval = time.Second

// ejectSlowEngines checks for slow engines and ejects them. The baseline policies do not eject, to
// keep them simple.
func (c *core) ejectSlowEngines(now time.Duration) {
	if c.reservation == nil || now-c.ejectionCheckedAt < ejectionInterval {
		return
	}
	c.ejectionCheckedAt = now
	views := make([]*policy.Endpoint, len(c.sortedEngines))
	for i, e := range c.sortedEngines {
		views[i] = e.view
	}
	if n := c.ejector.Update(views, now); n > 0 {
		c.hooks.count("engines_ejected", int64(n))
	}
}

// rampShare returns the fraction of an engine's memory that may be used while the engine ramps up.
// Engines that became healthy within takeoverGracePeriod of the pool's activation count as already
// serving and do not ramp up.
func (c *core) rampShare(e *engine, now time.Duration) float64 {
	if e.view.HealthySince-c.activatedAt < takeoverGracePeriod {
		return 1
	}
	return policy.Ramp(now - e.view.HealthySince)
}

// refreshBatchSize bounds the number of engines refreshed in one tick.
const refreshBatchSize = 32

// refreshNextEngines refreshes the demand of the next engines in round-robin order.
func (c *core) refreshNextEngines(now time.Duration) {
	for range min(refreshBatchSize, len(c.sortedEngines)) {
		c.refreshCursor++
		e := c.sortedEngines[c.refreshCursor%len(c.sortedEngines)]
		e.view.Share = c.rampShare(e, now)
		e.view.Refresh(c.estimator, now, c.isOraclePolicy())
	}
}
