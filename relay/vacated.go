package relay

import (
	"encoding/binary"
	"hash/fnv"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/fleet"
)

// RunKey identifies a run on one engine in messages between nodes: a run that has moved
// may soon have to leave its next engine, too.
type RunKey uint32

func runKey(id string, engine fleet.EndpointKey) RunKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(engine)))
	return RunKey(h.Sum32())
}

const (
	// vacatedMemory is how long it is remembered that a run has left its engine: longer
	// than any notice of an engine.
	vacatedMemory = 5 * time.Second
	// maxVacated bounds the remembered runs.
	maxVacated = 1024
	// endedMemory is how long ago a run may have ended that an engine still names: its
	// report is some hundred milliseconds old.
	endedMemory = 2 * time.Second
)

// Vacated records which runs no longer use the link of an engine that leaves, on all
// nodes: they have moved, have ended, or do not move. The next run's move waits for that.
type Vacated struct {
	now func() time.Duration
	// Tell is called when other nodes should hear at once; it must not block.
	Tell func()

	mu  sync.Mutex
	all map[RunKey]time.Duration
	// own are those of this node, for the others, and ended are runs of this node that
	// ended lately.
	own, ended map[RunKey]time.Duration
	changed    chan struct{}
}

// NewVacated returns an empty record. Now reads a monotonic clock.
func NewVacated(now func() time.Duration) *Vacated {
	return &Vacated{
		now: now, Tell: func() {},
		all: make(map[RunKey]time.Duration), own: make(map[RunKey]time.Duration), ended: make(map[RunKey]time.Duration),
		changed: make(chan struct{}),
	}
}

// Merge takes what another node told.
func (v *Vacated) Merge(runs []RunKey) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.addLocked(runs)
}

func (v *Vacated) addLocked(runs []RunKey) {
	fresh := false
	now := v.now()
	for _, run := range runs {
		if _, known := v.all[run]; known {
			continue
		}
		forget(v.all, now, vacatedMemory)
		v.all[run] = now
		fresh = true
	}
	if fresh {
		close(v.changed)
		v.changed = make(chan struct{})
	}
}

// forget drops what is older than the given time once there is much of it, and all of it
// if that is not enough.
func forget(m map[RunKey]time.Duration, now, after time.Duration) {
	if len(m) < maxVacated {
		return
	}
	for run, at := range m {
		if now-at > after {
			delete(m, run)
		}
	}
	if len(m) >= maxVacated {
		clear(m)
	}
}

// leave records that a run of this node no longer uses its engine's link.
func (v *Vacated) leave(run RunKey) {
	v.mu.Lock()
	v.leaveLocked(run)
	v.mu.Unlock()
	v.Tell()
}

func (v *Vacated) leaveLocked(run RunKey) {
	forget(v.own, v.now(), vacatedMemory)
	v.own[run] = v.now()
	v.addLocked([]RunKey{run})
}

// end records that a stream of this node has ended.
func (v *Vacated) end(run RunKey) {
	v.mu.Lock()
	defer v.mu.Unlock()
	forget(v.ended, v.now(), endedMemory)
	v.ended[run] = v.now()
}

// endedAmong tells the others which of the runs that an engine still names have ended.
func (v *Vacated) endedAmong(runs []EngineRun, engine fleet.EndpointKey) {
	v.mu.Lock()
	told := false
	for _, r := range runs {
		run := runKey(r.ID, engine)
		if at, ended := v.ended[run]; ended && v.now()-at <= endedMemory {
			v.leaveLocked(run)
			told = true
		}
	}
	v.mu.Unlock()
	if told {
		v.Tell()
	}
}

func (v *Vacated) has(run RunKey) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, left := v.all[run]
	return left
}

// changes returns a channel that is closed when another run has left.
func (v *Vacated) changes() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Fresh returns this node's runs that left since the given age and forgets older ones.
func (v *Vacated) Fresh(age time.Duration) []RunKey {
	v.mu.Lock()
	defer v.mu.Unlock()
	var runs []RunKey
	for run, at := range v.own {
		if v.now()-at > age {
			delete(v.own, run)
			continue
		}
		runs = append(runs, run)
	}
	return runs
}
