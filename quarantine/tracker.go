package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// reportTime is how long each crash and each survival is sent to the other nodes: the time of
	// several datagrams, any of which may be lost.
	reportTime = 2 * time.Second
	// maxReportedCrashes, maxReportedSurvivals and maxReportedVerdicts bound what a datagram holds.
	maxReportedCrashes   = 4
	maxReportedSurvivals = 16
	maxReportedVerdicts  = 4
	// maxSurvivals bounds the parts whose survival is remembered.
	maxSurvivals = 8192
	// sameTimeTolerance is the difference up to which two nodes' times of an event are the same: ages
	// that pass through several nodes grow by the time of each passage.
	sameTimeTolerance = time.Second
)

// State is what is known of the parts of a request.
type State int

const (
	// Clear means that no part of the request is suspected.
	Clear State = iota
	// Suspect means that parts of the request may crash engines. Such requests run one at a time.
	Suspect
	// Quarantined means that the request holds parts that crash engines. It must not run.
	Quarantined
)

// Assessment is what is known of the parts of a request.
type Assessment struct {
	State State
	// Parts are the suspected or the quarantined parts.
	Parts []Part
	// Crashes is the number of crashes that led to the quarantine, RetryAfter the time until a request
	// with the parts may run again.
	Crashes    int
	RetryAfter time.Duration
	// Probe is set if the request is quarantined, but is to run to find out whether it still crashes
	// engines. Its state is Suspect.
	Probe bool
}

// CrashReport is the death of an engine beside a run that had not gone on past its first event.
type CrashReport struct {
	// Endpoint identifies the incarnation of the engine.
	Endpoint uint32
	Age      time.Duration
	Parts    []Part
}

// Survival is a run with a part that went on past its first event.
type Survival struct {
	Part Part
	Age  time.Duration
}

// Report is what a node sends to the others.
type Report struct {
	Crashes   []CrashReport
	Survivals []Survival
	Verdicts  []Verdict
}

// Empty reports whether there is nothing to send.
func (n Report) Empty() bool {
	return len(n.Crashes) == 0 && len(n.Survivals) == 0 && len(n.Verdicts) == 0
}

// Change is a change of what is believed of parts.
type Change string

// Changes. Parts are suspected or cleared one by one, and quarantined, released or expired with a
// verdict.
const (
	Suspected       Change = "suspected"
	Cleared         Change = "cleared"
	MadeQuarantined Change = "quarantined"
	Released        Change = "released"
	Expired         Change = "expired"
)

// Event is a change of what is believed of parts.
type Event struct {
	Change  Change
	Parts   []Part
	Crashes int
	// Source is the node whose report led to the change, "store", or empty for this node.
	Source string
}

// survival is when a run with a part went on past its first event.
type survival struct {
	// at is the last time on any node, own that on this node; 0 for none.
	at, own time.Duration
}

// ownCrash is a crash that this node reports.
type ownCrash struct {
	endpoint uint32
	at       time.Duration
	parts    []Part
}

// Tracker holds the evidence of all nodes about parts of prompts and the verdicts on them. It is
// safe for concurrent use.
//
// Invariant: a part that a run has survived after the last crash that it is blamed for is in no
// verdict and not suspected.
type Tracker struct {
	// Broadcast is called when the other nodes are to receive the report at once, OnEvent for each change
	// of belief, OnChange when waiting requests should be assessed again. They must not block. OnEvent
	// and Broadcast are called without locks held.
	Broadcast func()
	OnEvent   func(Event)
	OnChange  func()
	// MayProbe reports whether this node is the one that probes quarantined parts.
	MayProbe func() bool

	now func() time.Duration

	mu       sync.Mutex
	crashes  []*crash
	survived *lru.LRU[Part, survival]
	blame    blame
	verdicts map[string]*verdict
	// candidates are the parts of all runs in crashes, whose survival is of interest to other nodes.
	candidates map[Part]bool
	ownCrashes []ownCrash
	// survivalsUntil holds the parts whose survival on this node is reported, and until when.
	survivalsUntil map[Part]time.Duration
	// reports counts the verdicts that were reported.
	reports uint64
	events  []Event
}

// New returns a Tracker without evidence. The function now reads a monotonic clock that is positive.
func New(now func() time.Duration) *Tracker {
	survived, err := lru.NewLRU[Part, survival](maxSurvivals, nil)
	if err != nil {
		panic(err) // the size is a valid constant
	}
	return &Tracker{
		Broadcast: func() {}, OnEvent: func(Event) {}, OnChange: func() {}, MayProbe: func() bool { return false },
		now: now, survived: survived, verdicts: make(map[string]*verdict), candidates: make(map[Part]bool),
		survivalsUntil: make(map[Part]time.Duration),
	}
}

// unlock releases the lock and reports the changes that were made under it.
func (t *Tracker) unlock() {
	events := t.events
	t.events = nil
	t.mu.Unlock()
	for _, e := range events {
		t.OnEvent(e)
	}
	if len(events) > 0 {
		t.OnChange()
	}
}

// Assess returns what is known of the parts of a request. A request that is admitted as a probe has to
// be assessed as such until its run has ended.
func (t *Tracker) Assess(parts []Part, probing bool) Assessment {
	if len(parts) == 0 {
		return Assessment{}
	}
	mayProbe := false
	t.mu.Lock()
	if len(t.verdicts) > 0 {
		t.mu.Unlock()
		mayProbe = t.MayProbe()
		t.mu.Lock()
	}
	defer t.unlock()
	now := t.now()
	for _, v := range t.verdicts {
		if !containsAll(parts, v.parts) {
			continue
		}
		if !probing && mayProbe && now >= v.probeAt {
			v.probes++
			v.scheduleProbe(now)
			probing = true
		}
		if probing {
			return Assessment{State: Suspect, Parts: v.parts, Crashes: v.crashes, Probe: true}
		}
		v.refusedAt, v.ownRefusedAt = now, now
		return Assessment{State: Quarantined, Parts: v.parts, Crashes: v.crashes, RetryAfter: max(v.probeAt-now, minRetryAfter)}
	}
	var suspects []Part
	for _, p := range parts {
		if t.blame.suspects[p] || t.inVerdictLocked(p) {
			suspects = append(suspects, p)
		}
	}
	if len(suspects) > 0 {
		return Assessment{State: Suspect, Parts: suspects}
	}
	return Assessment{}
}

// RecordCrash records the death of an engine on which this node ran a request with the parts that had
// not gone on past its first event.
func (t *Tracker) RecordCrash(endpoint uint32, parts []Part) {
	if len(parts) == 0 {
		return
	}
	defer t.Broadcast()
	t.mu.Lock()
	defer t.unlock()
	now := t.now()
	kept := t.reportedPartsLocked(parts, now)
	t.ownCrashes = append(t.ownCrashes, ownCrash{endpoint: endpoint, at: now, parts: kept})
	t.addCrashLocked(endpoint, now, kept, "")
}

// reportedPartsLocked returns those of the parts that no run is known to have survived, or all if there
// are none, up to maxReportedParts. Other nodes may not know that runs survive the rest.
func (t *Tracker) reportedPartsLocked(parts []Part, now time.Duration) []Part {
	of := candidatesOf(parts, now, t.survivalLocked)
	kept := of.unproven
	if len(kept) == 0 {
		kept = of.proven
	}
	return kept[:min(len(kept), maxReportedParts)]
}

// survivalLocked implements survivalOf.
func (t *Tracker) survivalLocked(p Part) (time.Duration, bool) {
	s, known := t.survived.Peek(p)
	return s.at, known
}

func (t *Tracker) addCrashLocked(endpoint uint32, at time.Duration, parts []Part, source string) {
	i := slices.IndexFunc(t.crashes, func(c *crash) bool { return c.endpoint == endpoint })
	if i < 0 {
		t.crashes = append(t.crashes, &crash{endpoint: endpoint, at: at})
		i = len(t.crashes) - 1
	}
	if !t.crashes[i].addRun(parts) {
		return
	}
	slices.SortStableFunc(t.crashes, func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
	if len(t.crashes) > maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, len(t.crashes)-maxCrashes)
	}
	for _, v := range t.verdicts {
		if containsAll(parts, v.parts) && at > v.crashedAt {
			v.crashes++
			v.crashedAt = at
			v.scheduleProbe(t.now())
		}
	}
	t.judgeLocked(source)
}

// RecordSurvival records that a run of this node with the parts went on past its first event.
func (t *Tracker) RecordSurvival(parts []Part) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	now := t.now()
	toReport := false
	for _, p := range parts {
		t.survived.Add(p, survival{at: now, own: now})
		if t.candidates[p] || t.inVerdictLocked(p) {
			toReport = toReport || t.survivalsUntil[p] < now || t.blame.suspects[p]
			t.survivalsUntil[p] = now + reportTime
			t.clearedLocked(p, now, "")
		}
	}
	if toReport || len(t.events) > 0 {
		t.judgeLocked("")
	}
	t.unlock()
	if toReport {
		t.Broadcast()
	}
}

// judgeLocked draws the conclusions from the evidence and reports what has changed.
func (t *Tracker) judgeLocked(source string) {
	now := t.now()
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now-c.at > crashMemory })
	clear(t.candidates)
	for _, c := range t.crashes {
		for _, run := range c.runs {
			for _, p := range run {
				t.candidates[p] = true
			}
		}
	}
	before := t.blame.suspects
	t.blame = judge(t.crashes, t.survivalLocked, t.quarantinedLocked)
	for _, set := range t.blame.deadly {
		t.quarantineLocked(&verdict{parts: set.parts, crashes: set.crashes, crashedAt: set.crashedAt}, source)
	}
	if len(t.blame.deadly) > 0 {
		t.blame = judge(t.crashes, t.survivalLocked, t.quarantinedLocked)
	}
	t.suspicionsChangedLocked(before, source)
}

func (t *Tracker) suspicionsChangedLocked(before map[Part]bool, source string) {
	var added, removed []Part
	for p := range t.blame.suspects {
		if !before[p] {
			added = append(added, p)
		}
	}
	for p := range before {
		if !t.blame.suspects[p] && !t.inVerdictLocked(p) {
			removed = append(removed, p)
		}
	}
	if len(added) > 0 {
		t.events = append(t.events, Event{Change: Suspected, Parts: sortedParts(added), Source: source})
	}
	if len(removed) > 0 {
		t.events = append(t.events, Event{Change: Cleared, Parts: sortedParts(removed), Source: source})
	}
}
