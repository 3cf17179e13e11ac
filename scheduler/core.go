package scheduler

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/notice"
	"github.com/crocusreel/crocusreel/policy"
)

const (
	// graceAfterTakeover is how long admission is conservative after a pool became
	// active: permits of an earlier scheduler are still being reported.
	graceAfterTakeover = 2 * time.Second
	// graceShare is the part of the engines' memory used meanwhile.
	graceShare = 0.7
	// reportGrace is the age over which a permit that its gateway does not report
	// is dropped: the answer with the grant was lost. It is longer than a grant and
	// a report can pass each other on the way.
	reportGrace = 3 * time.Second
	// tombstoneLife is how long an ended permit is remembered, so that a late
	// report does not revive it.
	tombstoneLife = 15 * time.Second
)

// poolConfig is what a pool needs to know of the configuration and of the region.
type poolConfig struct {
	spec *poolSpec
	cfg  *config.Config
	// share is the part of the engines' memory that this scheduler may use.
	share float64
	// gateways is the number of gateways that report.
	gateways int
}

// waiting is a request in the queue.
type waiting struct {
	req Request
	// deadline is when the caller gives up; 0 if it told none.
	deadline time.Duration
	item     *policy.Item[*waiting]
	place    policy.Request
	expected float64
	reply    chan result
	done     bool
	granted  string
	// held tells that the request was held back, so that this is logged once.
	held bool
}

// result is the answer to a waiting request: a permit or a refusal.
type result struct {
	permit  Permit
	refusal *crocusreel.Refusal
}

// grant is an open permit as the scheduler sees it.
type grant struct {
	Permit
	gateway    string
	grantedAt  time.Duration
	reportedAt time.Duration
	expected   float64
}

// core is the state of a pool. It is owned by the pool's goroutine, and does no
// input or output: what it wants done is in its return values and hooks.
type core struct {
	vm     string
	pc     poolConfig
	hooks  hooks
	est    *policy.Estimator
	prefix *policy.PrefixIndex
	queues map[crocusreel.Class]*policy.Queue[*waiting]
	// backlogs holds the service rate of each class.
	backlogs  map[crocusreel.Class]*backlog
	suspects  *policy.Suspects
	feedback  *policy.RiskController
	picker    policy.Picker
	reserve   *policy.Reservation
	engines   map[string]*engine
	order     []*engine
	byModel   map[string][]*policy.Endpoint
	weights   map[string]config.WorkspaceSpec
	permits   map[string]*grant
	ended     map[string]time.Duration
	reporters map[string]time.Duration
	activeAt  time.Duration
	sequence  uint64
	ejector   policy.Ejector
	judgedAt  time.Duration
	listedAt  time.Duration
	refreshed int
	blocked   []string
}

// hooks connect a core with its surroundings.
type hooks struct {
	// poll asks for a load report of an engine at once.
	poll func(engine string)
	// notice returns what an engine last said of itself; nil if nobody listens.
	notice func(config.EndpointSpec) notice.Notice
	// log gets a line for each decision on a request and each change of belief.
	log *zap.Logger
	// count adds to a named event counter.
	count func(event string, n int64)
	// id returns the prefix of permit IDs, unique for the process.
	id string
}

func newCore(vm string, h hooks) *core {
	if h.notice == nil {
		h.notice = func(config.EndpointSpec) notice.Notice { return notice.Notice{} }
	}
	if h.log == nil {
		h.log = zap.NewNop()
	}
	return &core{
		vm: vm, hooks: h,
		est:    policy.NewEstimator(),
		prefix: policy.NewPrefixIndex(),
		queues: map[crocusreel.Class]*policy.Queue[*waiting]{
			crocusreel.ClassShort:      policy.NewQueue[*waiting](),
			crocusreel.ClassGeneration: policy.NewQueue[*waiting](),
		},
		backlogs: map[crocusreel.Class]*backlog{
			crocusreel.ClassShort:      {},
			crocusreel.ClassGeneration: {},
		},
		suspects:  policy.NewSuspects(policy.StrikeTTL),
		feedback:  policy.NewRiskController(1, 1),
		engines:   make(map[string]*engine),
		permits:   make(map[string]*grant),
		ended:     make(map[string]time.Duration),
		reporters: make(map[string]time.Duration),
	}
}

// configure takes over a configuration.
func (c *core) configure(pc poolConfig, now time.Duration) {
	old := c.pc
	c.pc = pc
	c.feedback.SetWeights(pc.cfg.Weights.Stall, pc.cfg.Weights.Preemption)
	c.weights = make(map[string]config.WorkspaceSpec, len(pc.cfg.Workspaces))
	for _, w := range pc.cfg.Workspaces {
		c.weights[w.Name] = w
	}
	c.configureEngines(now)
	if old.cfg == nil || old.cfg.Scheduling != pc.cfg.Scheduling || c.picker == nil {
		c.picker, c.reserve = newPicker(pc.cfg.Scheduling)
	}
	if c.reserve != nil {
		c.reserve.ShortReserve = pc.cfg.Limits.ShortReserve
	}
}

func (c *core) configureEngines(now time.Duration) {
	engines := make(map[string]*engine, len(c.pc.spec.engines))
	c.order = c.order[:0]
	c.byModel = make(map[string][]*policy.Endpoint)
	for _, s := range c.pc.spec.engines {
		e, ok := c.engines[s.Name]
		if !ok || e.spec.Address != s.Address {
			e = newEngine(s)
		}
		e.spec = s
		e.settle(now)
		engines[s.Name] = e
		c.order = append(c.order, e)
		for _, m := range s.Models {
			c.byModel[m] = append(c.byModel[m], e.view)
		}
	}
	for name := range c.engines {
		if _, ok := engines[name]; !ok {
			c.prefix.RemoveEndpoint(name)
		}
	}
	c.engines = engines
	sort.Slice(c.order, func(i, j int) bool { return c.order[i].spec.Name < c.order[j].spec.Name })
}

// newPicker returns the picker of a policy, and the same one again if it is a
// reservation.
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
	// defaultWatermark is that of the policy "watermark" without a fraction.
	defaultWatermark = 0.9
	powerOfTwoSeed   = 1
)

func (c *core) oracle() bool { return c.pc.cfg.Scheduling.Policy == config.PolicyOracle }

// activate tells that the pool begins to schedule. What it knew before is old.
func (c *core) activate(now time.Duration) {
	c.hooks.log.Info("pool active", zap.Int("permits_dropped", len(c.permits)))
	c.activeAt = now
	for id := range c.permits {
		c.drop(id)
	}
	clear(c.reporters)
	for _, e := range c.order {
		e.view.State = policy.StateUnknown
	}
}

func (c *core) weight(workspace string) float64 {
	if w, ok := c.weights[workspace]; ok && w.Weight > 0 {
		return w.Weight
	}
	return 1
}

// tick does what is due with time. It is called some tens of times a second.
func (c *core) tick(now time.Duration) {
	c.listRunning(now)
	c.refreshSome(now)
	c.judge(now)
	c.sweep(now)
	for id, at := range c.ended {
		if now-at > tombstoneLife {
			delete(c.ended, id)
		}
	}
}

// listInterval is the time between two listings of the running answers for the
// estimate of lengths.
const listInterval = 200 * time.Millisecond

func (c *core) listRunning(now time.Duration) {
	if now-c.listedAt < listInterval {
		return
	}
	c.listedAt = now
	c.est.BeginListing()
	for _, e := range c.order {
		e.view.EachRunning(now, c.est.AddRunning)
	}
	c.est.EndListing()
}

// judgeInterval is the time between two looks for slow engines.
const judgeInterval = time.Second

// judge ejects slow engines. The baselines do without, to be plain.
func (c *core) judge(now time.Duration) {
	if c.reserve == nil || now-c.judgedAt < judgeInterval {
		return
	}
	c.judgedAt = now
	views := make([]*policy.Endpoint, len(c.order))
	for i, e := range c.order {
		views[i] = e.view
	}
	if n := c.ejector.Update(views, now); n > 0 {
		c.hooks.count("engines_ejected", int64(n))
	}
}

// ramp returns the share of an engine's memory to be used. Engines that were there
// when the pool became active did not join it.
func (c *core) ramp(e *engine, now time.Duration) float64 {
	if e.view.HealthySince-c.activeAt < graceAfterTakeover {
		return 1
	}
	return policy.Ramp(now - e.view.HealthySince)
}

// refreshBatch bounds the engines refreshed in one tick.
const refreshBatch = 32

// refreshSome brings the demand of some engines up to date, in turn.
func (c *core) refreshSome(now time.Duration) {
	for range min(refreshBatch, len(c.order)) {
		c.refreshed++
		e := c.order[c.refreshed%len(c.order)]
		e.view.Share = c.ramp(e, now)
		e.view.Refresh(c.est, now, c.oracle())
	}
}
