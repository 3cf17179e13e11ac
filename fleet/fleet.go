package fleet

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/admission"
	"github.com/crocusreel/crocusreel/fairshare"
)

// Fleet tracks all known endpoints, their load and their health, and places work on them. Its
// methods are safe for concurrent use.
type Fleet struct {
	// Name is the name of this node as the other nodes know it.
	Name string
	// Disabled is the set of disabled mechanisms.
	Disabled   DisabledMechanisms
	dataCentre string
	now        func() time.Duration

	mu sync.Mutex
	// byID and byKey index the endpoints in service; services lists the same endpoints by service.
	byID     map[string]*Endpoint
	byKey    map[EndpointKey]*Endpoint
	services map[string][]*Endpoint
	// used holds the endpoints on which this node has running work or reserved backup memory.
	used map[*Endpoint]struct{}
	// unconfirmed holds the endpoints whose store entry is missing, and those that count as leaving
	// by their health check alone.
	unconfirmed map[*Endpoint]struct{}
	// refusing holds the endpoints that refused a connection of this node and are suspended.
	refusing map[EndpointKey]*Endpoint
	queues   map[queueID]*queue
	remote   map[string]remoteState
	// notices holds the notices that endpoints have sent, by incarnation.
	notices map[EndpointKey]*noticeRecord
	// left holds the time at which each endpoint that is no longer in service was dropped.
	left map[EndpointKey]time.Duration
	// evacuated maps each evacuated data centre to the time at which this node learned of its
	// evacuation.
	evacuated map[string]time.Duration
	// overload holds what is known of the load and the brittleness of each service.
	overload map[string]*serviceOverload
	// admission holds the model of each engine service's backlog.
	admission map[QueueKey]*admission.Model
	// rates holds the rates of the engines of each service, and rated the engines of which this node
	// has evidence of its own.
	rates map[string]*serviceRates
	rated map[*Endpoint]struct{}
	// ledger holds the service that workspaces have received, and shares the state by service.
	ledger *fairshare.Ledger
	shares map[string]*serviceShares
	// nextTickAt is the time of the next call of Tick that was requested through ScheduleTick.
	nextTickAt time.Duration
	random     *rand.Rand
	// Regions maps data centres to their regions, for work that is restricted to regions.
	Regions map[string]string
	// ClusterSize returns the number of nodes that share the rate of cold endpoints. It must not
	// block.
	ClusterSize func() ClusterSize
	// Roster returns the nodes that share the rate limits of endpoints, or nil if they are not
	// known. It must not block.
	Roster func() *Roster
	// WallClock returns the wall-clock time.
	WallClock func() time.Time
	// Broadcast is called when the load and the waiting work of this node should be sent to other
	// nodes at once: to the nodes of the given data centre, or to all nodes if it is empty. It must
	// not block.
	Broadcast func(dataCentre string)
	// OnExclusion is called for each endpoint that is excluded from new work or readmitted. It must
	// not block.
	OnExclusion func(Exclusion)
	// OnNotice is called for each change of an endpoint's notice. It must not block.
	OnNotice func(NoticeChange)
	// OnBrittle is called when the endpoints of a service become brittle or no longer are. It must
	// not block.
	OnBrittle func(BrittleChange)
	// OnAdmissionRefusal is called for each refusal whose time is based on a prediction. It must not
	// block.
	OnAdmissionRefusal func(AdmissionRefusal)
	// OnUnreachable is called when the report of another node suspends an endpoint. It must not
	// block.
	OnUnreachable func(Suspension)
	// OnRates is called when the engines of a service begin or cease to differ in speed. It must not
	// block.
	OnRates func(RatesChange)
	// OnShares is called when the waiting work of a service begins or ceases to be served by the
	// shares of workspaces. It must not block.
	OnShares func(SharesChange)
	// ScheduleTick schedules a call of Tick after the given time. It must not block.
	ScheduleTick func(after time.Duration)
}

// New returns a fleet without endpoints for a node in the given data centre. The function now reads
// a monotonic clock.
func New(dataCentre string, now func() time.Duration) *Fleet {
	return &Fleet{
		dataCentre:         dataCentre,
		now:                now,
		byID:               make(map[string]*Endpoint),
		byKey:              make(map[EndpointKey]*Endpoint),
		used:               make(map[*Endpoint]struct{}),
		unconfirmed:        make(map[*Endpoint]struct{}),
		services:           make(map[string][]*Endpoint),
		queues:             make(map[queueID]*queue),
		remote:             make(map[string]remoteState),
		notices:            make(map[EndpointKey]*noticeRecord),
		left:               make(map[EndpointKey]time.Duration),
		overload:           make(map[string]*serviceOverload),
		admission:          make(map[QueueKey]*admission.Model),
		Broadcast:          func(string) {},
		OnExclusion:        func(Exclusion) {},
		OnNotice:           func(NoticeChange) {},
		OnBrittle:          func(BrittleChange) {},
		OnAdmissionRefusal: func(AdmissionRefusal) {},
		ScheduleTick:       func(time.Duration) {},
		ClusterSize:        func() ClusterSize { return ClusterSize{Nodes: 1, HalfLive: true} },
		Roster:             func() *Roster { return nil },
		WallClock:          time.Now,
		random:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		refusing:           make(map[EndpointKey]*Endpoint),

		OnUnreachable: func(Suspension) {},

		rates:    make(map[string]*serviceRates),
		rated:    make(map[*Endpoint]struct{}),
		OnRates:  func(RatesChange) {},
		ledger:   fairshare.NewLedger(),
		shares:   make(map[string]*serviceShares),
		OnShares: func(SharesChange) {},
	}
}

// Replace applies a complete listing of endpoints. Endpoints that are not listed are removed as by
// Remove. It returns the IDs of the endpoints that were added or restarted, and of those that were
// removed or are now missing.
func (f *Fleet) Replace(listing []Instance, tentative bool) (added, removed []string) {
	return f.replace(listing, tentative, false)
}

// ReplaceRestored is like Replace for the first listing after the store was restored from a copy.
// The copy may lack entries of live endpoints, so removals are tentative. It may also hold entries
// of endpoints that have left since: these count as leaving by their health check.
func (f *Fleet) ReplaceRestored(listing []Instance) (added, removed []string) {
	return f.replace(listing, true, true)
}

func (f *Fleet) replace(listing []Instance, tentative, restored bool) (added, removed []string) {
	present := make(map[string]bool, len(listing))
	for _, in := range listing {
		present[in.ID] = true
		if change := f.update(in, restored); change == Added || change == Restarted {
			added = append(added, in.ID)
		}
	}
	f.mu.Lock()
	var absent []string
	for id, e := range f.byID {
		if !present[id] && e.missingSince == 0 {
			absent = append(absent, id)
		}
	}
	f.mu.Unlock()
	for _, id := range absent {
		f.Remove(id, tentative)
		removed = append(removed, id)
	}
	return added, removed
}

// Change is the effect of a store entry on the set of endpoints.
type Change int

const (
	// Known is an entry of an incarnation that is already in service.
	Known Change = iota
	// Added is an entry of a new endpoint.
	Added
	// Restarted is an entry of a later incarnation of an endpoint in service.
	Restarted
	// Outdated is an entry of an earlier incarnation than the one in service; it is ignored.
	Outdated
)

var changeNames = map[Change]string{Known: "known", Added: "added", Restarted: "restarted", Outdated: "outdated"}

// String implements fmt.Stringer.
func (c Change) String() string { return changeNames[c] }

// Update applies a store entry. An entry of a later incarnation ends the previous incarnation at
// once, even if no removal came in between: the runs of the previous one are lost, and its load,
// measurements and health do not apply to the new one.
func (f *Fleet) Update(in Instance) Change { return f.update(in, false) }

// update applies a store entry. restored is set if the entry may come from a copy of the store that
// is older than what is known of the endpoint.
func (f *Fleet) update(in Instance, restored bool) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, known := f.byID[in.ID]
	if known && in.StartedAtMS < e.StartedAtMS {
		return Outdated
	}
	change := Known
	if known && in.StartedAtMS > e.StartedAtMS {
		f.dropLocked(e)
		e.cancel(ErrRestarted)
		known, change = false, Restarted
	} else if !known {
		change = Added
	}
	if !known {
		e = newEndpoint(in)
		e.noticeRecord = f.notices[e.key]
		if e.noticeRecord != nil && e.noticeRecord.leaving {
			e.markLeavingByAnswer(f.now())
		}
		if _, evacuated := f.evacuated[in.DataCentre]; evacuated {
			e.isEvacuated = true
			e.markUnusable()
		}
		// Other nodes may have placed work on it before this node received its entry.
		for node, state := range f.remote {
			if l, ok := state.loads[e.key]; ok {
				e.setRemote(node, l)
			}
		}
		f.byID[in.ID], f.byKey[e.key] = e, e
		f.services[in.Service] = append(f.services[in.Service], e)
	}
	hasLeft := e.missingSince != 0 || f.hasLeftLocked(e.key)
	if !restored {
		delete(f.left, e.key)
	}
	e.Slots = in.Slots
	e.missingSince = 0
	e.warmingUntil = f.now() + in.Warming
	if in.Leaving {
		e.leavingByHealth, e.entryLeaving = false, true
		e.markLeaving(f.now())
	} else if e.leavingByHealth && !restored {
		e.cancelLeaving()
	}
	if restored && hasLeft && !e.isLeaving {
		e.leavingByHealth = true
		e.markLeaving(f.now())
	}
	delete(f.unconfirmed, e)
	if e.leavingByHealth {
		f.unconfirmed[e] = struct{}{}
	}
	f.dispatchLocked(in.Service)
	return change
}

// Remove applies the removal of a store entry. A tentative removal keeps the endpoint in use until
// DropMissing; it is meant for the time after an outage of the store, in which entries of live
// endpoints expire.
func (f *Fleet) Remove(id string, tentative bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.byID[id]
	if !ok {
		return
	}
	if tentative {
		e.missingSince, e.confirmedHealthy = f.now(), false
		f.unconfirmed[e] = struct{}{}
		return
	}
	f.dropLocked(e)
}

// dropLocked removes an endpoint from service. Its runs continue, and its leaving channel is
// closed.
func (f *Fleet) dropLocked(e *Endpoint) {
	e.markLeaving(f.now())
	f.recordLeftLocked(e.key)
	delete(f.byID, e.ID)
	delete(f.byKey, e.key)
	delete(f.unconfirmed, e)
	all := f.services[e.Service]
	for i, other := range all {
		if other == e {
			f.services[e.Service] = append(all[:i:i], all[i+1:]...)
			return
		}
	}
}

// SetRemote replaces the load and the waiting work that another node has reported.
func (f *Fleet) SetRemote(node string, loads []Load, waiting []WaitingWork) {
	byKey := make(map[EndpointKey]Load, len(loads))
	for _, l := range loads {
		byKey[l.Key] = l
	}
	heads := make(map[QueueKey]WaitingWork, len(waiting))
	for _, w := range waiting {
		heads[w.Queue] = w
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.remote[node]
	f.remote[node] = remoteState{receivedAt: f.now(), loads: byKey, waiting: heads}
	f.applyRemoteLocked(node, before)
}

// ForgetNode drops the state reported by a node that is no longer reachable.
func (f *Fleet) ForgetNode(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.remote[node]
	delete(f.remote, node)
	f.forgetBacklogsLocked(node)
	f.applyRemoteLocked(node, before)
}

// OwnLoads returns the load that this node puts on each endpoint, to be sent to the other nodes.
func (f *Fleet) OwnLoads() []Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	var loads []Load
	for e := range f.used {
		switch {
		case e.own.isZero():
			delete(f.used, e)
		case f.byKey[e.key] == e && (e.own.Count > 0 || e.own.BackupTokens > 0):
			l := e.own
			l.Key = e.key
			loads = append(loads, l)
		}
	}
	return loads
}

// Tick dispatches waiting work to capacity that becomes available by the passage of time alone.
func (f *Fleet) Tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pruneNoticesLocked()
	f.endBrittleLocked()
	f.tickSharesLocked()
	f.dispatchAllLocked()
}
