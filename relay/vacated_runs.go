package relay

import (
	"encoding/binary"
	"hash/fnv"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/fleet"
)

// RunKey identifies a run on one engine in messages between nodes. It depends on the engine,
// because a run that has moved may soon have to leave its next engine as well.
type RunKey uint32

func newRunKey(id string, engine fleet.EndpointKey) RunKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(engine)))
	return RunKey(h.Sum32())
}

const (
	// vacatedTTL is how long a run is remembered as having left its engine. It is longer than the
	// notice period of any engine.
	vacatedTTL = 5 * time.Second
	// maxVacated is the maximum number of runs in each map.
	maxVacated = 1024
	// endedTTL is how long an ended run is remembered. An engine's report is a few hundred
	// milliseconds old and may still contain runs that have ended since.
	endedTTL = 2 * time.Second
)

// VacatedRuns records, for all nodes, which runs no longer use the link of a leaving engine because
// they have moved, have ended or are not moved. The move of the next run waits for that. It is safe
// for concurrent use.
type VacatedRuns struct {
	now func() time.Duration
	// Broadcast is called when other nodes should receive this node's changes at once. It must not
	// block.
	Broadcast func()

	mu  sync.Mutex
	all map[RunKey]time.Duration
	// own holds the runs of this node to broadcast to the others, ended the runs of this node that
	// ended recently.
	own, ended map[RunKey]time.Duration
	changed    chan struct{}
}

// NewVacatedRuns returns an empty record. The function now reads a monotonic clock.
func NewVacatedRuns(now func() time.Duration) *VacatedRuns {
	return &VacatedRuns{
		now: now, Broadcast: func() {},
		all: make(map[RunKey]time.Duration), own: make(map[RunKey]time.Duration), ended: make(map[RunKey]time.Duration),
		changed: make(chan struct{}),
	}
}

// Merge adds the runs reported by another node.
func (v *VacatedRuns) Merge(runs []RunKey) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.addLocked(runs)
}

func (v *VacatedRuns) addLocked(runs []RunKey) {
	fresh := false
	now := v.now()
	for _, run := range runs {
		if _, known := v.all[run]; known {
			continue
		}
		evictExpired(v.all, now, vacatedTTL)
		v.all[run] = now
		fresh = true
	}
	if fresh {
		close(v.changed)
		v.changed = make(chan struct{})
	}
}

// evictExpired drops entries older than ttl once m has maxVacated entries, and all entries if it is
// still full then.
func evictExpired(m map[RunKey]time.Duration, now, ttl time.Duration) {
	if len(m) < maxVacated {
		return
	}
	for run, at := range m {
		if now-at > ttl {
			delete(m, run)
		}
	}
	if len(m) >= maxVacated {
		clear(m)
	}
}

// markVacated records that a run of this node no longer uses its engine's link.
func (v *VacatedRuns) markVacated(run RunKey) {
	v.mu.Lock()
	v.markVacatedLocked(run)
	v.mu.Unlock()
	v.Broadcast()
}

func (v *VacatedRuns) markVacatedLocked(run RunKey) {
	evictExpired(v.own, v.now(), vacatedTTL)
	v.own[run] = v.now()
	v.addLocked([]RunKey{run})
}

// markEnded records that a stream of this node has ended.
func (v *VacatedRuns) markEnded(run RunKey) {
	v.mu.Lock()
	defer v.mu.Unlock()
	evictExpired(v.ended, v.now(), endedTTL)
	v.ended[run] = v.now()
}

// announceEnded broadcasts to the other nodes which of the runs that an engine still reports have
// ended.
func (v *VacatedRuns) announceEnded(runs []EngineRun, engine fleet.EndpointKey) {
	v.mu.Lock()
	announced := false
	for _, r := range runs {
		run := newRunKey(r.ID, engine)
		if at, ended := v.ended[run]; ended && v.now()-at <= endedTTL {
			v.markVacatedLocked(run)
			announced = true
		}
	}
	v.mu.Unlock()
	if announced {
		v.Broadcast()
	}
}

func (v *VacatedRuns) has(run RunKey) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, vacated := v.all[run]
	return vacated
}

// changes returns a channel that is closed when another run has left its engine.
func (v *VacatedRuns) changes() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// OwnRecent returns the runs of this node that left within maxAge and drops the others.
func (v *VacatedRuns) OwnRecent(maxAge time.Duration) []RunKey {
	v.mu.Lock()
	defer v.mu.Unlock()
	var runs []RunKey
	for run, at := range v.own {
		if v.now()-at > maxAge {
			delete(v.own, run)
			continue
		}
		runs = append(runs, run)
	}
	return runs
}
