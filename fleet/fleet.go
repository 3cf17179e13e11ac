package fleet

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Fleet is the set of all endpoints. Its methods may be called from any goroutine.
type Fleet struct {
	// Name is this node's name as the others know it.
	Name string
	// Without are the mechanisms that are left out.
	Without    Without
	dataCentre string
	now        func() time.Duration

	mu sync.Mutex
	// byID and byKey hold the endpoints in service, and services the same in lists.
	byID     map[string]*Endpoint
	byKey    map[EndpointKey]*Endpoint
	services map[string][]*Endpoint
	// used are the endpoints on which this node runs something or holds room.
	used map[*Endpoint]struct{}
	// doubted are the endpoints that are missing, or leave by their health check alone.
	doubted map[*Endpoint]struct{}
	queues  map[line]*queue
	remote  map[string]remoteNode
	// notices hold what endpoints say of themselves, by incarnation.
	notices map[EndpointKey]*noticeRecord
	// evacuated holds since when each evacuated data centre is known to be one.
	evacuated map[string]time.Duration
	// wakeAt is when Wake was last asked for a call.
	wakeAt time.Duration
	random *rand.Rand
	// Regions maps data centres to their regions, for work that is bound to some.
	Regions map[string]string
	// Population returns how many nodes share cold endpoints; it must not block.
	Population func() Population
	// Roster returns the nodes that share the limits of endpoints; nil if it is not known who they
	// are. It must not block.
	Roster func() *Roster
	// Wall reads the time of day.
	Wall func() time.Time
	// Changed is called when other nodes should be told at once what this one runs and
	// what waits on it: the nodes of the given data centre, or all if it is empty. It
	// must not block.
	Changed func(dataCentre string)
	// Believed is told of each endpoint that is left out or taken back; it must not block.
	Believed func(Exclusion)
	// Noticed is told of each change of what an endpoint says of itself; it must not block.
	Noticed func(NoticeChange)
	// Wake is asked to call Tick after the given time; it must not block.
	Wake func(after time.Duration)
}

// New returns a fleet without endpoints, as seen from a data centre. Now reads a
// monotonic clock.
func New(dataCentre string, now func() time.Duration) *Fleet {
	return &Fleet{
		dataCentre: dataCentre,
		now:        now,
		byID:       make(map[string]*Endpoint),
		byKey:      make(map[EndpointKey]*Endpoint),
		used:       make(map[*Endpoint]struct{}),
		doubted:    make(map[*Endpoint]struct{}),
		services:   make(map[string][]*Endpoint),
		queues:     make(map[line]*queue),
		remote:     make(map[string]remoteNode),
		notices:    make(map[EndpointKey]*noticeRecord),
		Changed:    func(string) {},
		Believed:   func(Exclusion) {},
		Noticed:    func(NoticeChange) {},
		Wake:       func(time.Duration) {},
		Population: func() Population { return Population{Nodes: 1, Heard: true} },
		Roster:     func() *Roster { return nil },
		Wall:       time.Now,
		random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Replace takes a whole listing. Endpoints that it lacks are removed as Remove does.
// It returns the IDs that are new, and those that are gone or missing.
func (f *Fleet) Replace(listing []Instance, tentative bool) (added, removed []string) {
	present := make(map[string]bool, len(listing))
	for _, in := range listing {
		present[in.ID] = true
		if change := f.Update(in); change == Added || change == Restarted {
			added = append(added, in.ID)
		}
	}
	f.mu.Lock()
	var lacking []string
	for id, e := range f.byID {
		if !present[id] && e.missingAt == 0 {
			lacking = append(lacking, id)
		}
	}
	f.mu.Unlock()
	for _, id := range lacking {
		f.Remove(id, tentative)
		removed = append(removed, id)
	}
	return added, removed
}

// Change is what an entry told of an endpoint.
type Change int

const (
	// Known is an entry of an incarnation that was there before.
	Known Change = iota
	// Added is a new endpoint.
	Added
	// Restarted is a known endpoint that has started again.
	Restarted
	// Outdated is an entry of an earlier incarnation than the known one; it is not taken.
	Outdated
)

var changeNames = map[Change]string{Known: "known", Added: "added", Restarted: "restarted", Outdated: "outdated"}

// String implements fmt.Stringer.
func (c Change) String() string { return changeNames[c] }

// Update takes an entry. The entry of a later incarnation ends the one before at once,
// also where no removal came in between: its runs are over, and what was counted,
// measured and believed of it says nothing of the new one.
func (f *Fleet) Update(in Instance) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, known := f.byID[in.ID]
	if known && in.Born < e.Born {
		return Outdated
	}
	change := Known
	if known && in.Born > e.Born {
		f.dropLocked(e)
		e.end(ErrRestarted)
		known, change = false, Restarted
	} else if !known {
		change = Added
	}
	if !known {
		e = newEndpoint(in)
		e.noticed = f.notices[e.key]
		if e.noticed != nil && e.noticed.leaving {
			e.markLeavingByAnswer(f.now())
		}
		if _, is := f.evacuated[in.DataCentre]; is {
			e.isEvacuated = true
			e.markUnusable()
		}
		// Other nodes may have used it before this one heard of it.
		for node, told := range f.remote {
			if l, ok := told.loads[e.key]; ok {
				e.setRemote(node, l)
			}
		}
		f.byID[in.ID], f.byKey[e.key] = e, e
		f.services[in.Service] = append(f.services[in.Service], e)
	}
	e.Slots = in.Slots
	e.missingAt = 0
	e.warmUntil = f.now() + in.Warming
	if in.Leaving {
		e.byHealth, e.entryLeaving = false, true
		e.markLeaving(f.now())
	} else if e.byHealth {
		e.stay()
	}
	delete(f.doubted, e)
	f.dispatchLocked(in.Service)
	return change
}

// Remove takes the removal of an entry. A tentative removal, as after an outage of
// the store in which entries expire although their endpoints live, keeps the endpoint
// in use until DropMissing.
func (f *Fleet) Remove(id string, tentative bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.byID[id]
	if !ok {
		return
	}
	if tentative {
		e.missingAt, e.vouched = f.now(), false
		f.doubted[e] = struct{}{}
		return
	}
	f.dropLocked(e)
}

// dropLocked forgets an endpoint. Runs on it go on; they learn that it is leaving.
func (f *Fleet) dropLocked(e *Endpoint) {
	e.markLeaving(f.now())
	delete(f.byID, e.ID)
	delete(f.byKey, e.key)
	delete(f.doubted, e)
	all := f.services[e.Service]
	for i, other := range all {
		if other == e {
			f.services[e.Service] = append(all[:i:i], all[i+1:]...)
			return
		}
	}
}

// SetRemote replaces what another node runs and which work waits there.
func (f *Fleet) SetRemote(node string, loads []Load, waiting []WaitingWork) {
	byKey := make(map[EndpointKey]Load, len(loads))
	for _, l := range loads {
		byKey[l.Key] = l
	}
	heads := make(map[LineKey]WaitingWork, len(waiting))
	for _, w := range waiting {
		heads[w.Line] = w
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.remote[node]
	f.remote[node] = remoteNode{heard: f.now(), loads: byKey, waiting: heads}
	f.remoteChangedLocked(node, before)
}

// Forget drops what a node told that is no longer heard.
func (f *Fleet) Forget(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.remote[node]
	delete(f.remote, node)
	f.remoteChangedLocked(node, before)
}

// OwnLoads returns what this node runs, for the other nodes.
func (f *Fleet) OwnLoads() []Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	var loads []Load
	for e := range f.used {
		switch {
		case e.own.none():
			delete(f.used, e)
		case f.byKey[e.key] == e && (e.own.Count > 0 || e.own.Held > 0):
			l := e.own
			l.Key = e.key
			loads = append(loads, l)
		}
	}
	return loads
}

// Tick dispatches waiting work, for capacity that comes back with time alone.
func (f *Fleet) Tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pruneNoticesLocked()
	f.dispatchAllLocked()
}
