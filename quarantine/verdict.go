package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// firstProbeAfter is the time from the last crash until one request with a quarantined part may
	// run to find out whether the part still crashes engines. It doubles after each such crash, up to
	// maxProbeAfter.
	firstProbeAfter = 2 * time.Minute
	maxProbeAfter   = time.Hour
	// minRetryAfter is the shortest time after which a refused caller is told to come back.
	minRetryAfter = time.Second
	// verdictIdleTime is the time without any request for a verdict's parts after which it is dropped.
	verdictIdleTime = 30 * time.Minute
	// maxVerdicts bounds the verdicts; the one that was refused longest ago is dropped. maxVerdictParts
	// bounds the parts of a verdict.
	maxVerdicts     = 256
	maxVerdictParts = 8
)

// Verdict quarantines parts of prompts: requests that hold all of them are refused.
type Verdict struct {
	Parts []Part
	// Crashes is the number of crashes on which the verdict rests.
	Crashes int
	// CrashAge is the time since the last of them, RefusedAge the time since this node has refused a
	// request for it, negative if it has not.
	CrashAge, RefusedAge time.Duration
	// Stored is set if the platform's store is known to hold the verdict.
	Stored bool
}

// Key identifies the verdict in the store.
func (v Verdict) Key() string { return verdictKey(v.Parts) }

func verdictKey(parts []Part) string { return strings.Join(Strings(parts), "-") }

// verdict is a Verdict with times of the tracker's clock.
type verdict struct {
	parts     []Part
	crashes   int
	crashedAt time.Duration
	// refusedAt is the last refusal by any node, ownRefusedAt that by this node; 0 for none.
	refusedAt, ownRefusedAt time.Duration
	probes                  int
	probeAt                 time.Duration
	stored                  bool
	// reported is the number of the last report that held the verdict, 0 for none.
	reported uint64
}

func (v *verdict) scheduleProbe(now time.Duration) {
	v.probeAt = now + min(firstProbeAfter<<min(v.probes, 10), maxProbeAfter)
}

func (v *verdict) export(now time.Duration) Verdict {
	e := Verdict{Parts: v.parts, Crashes: v.crashes, CrashAge: now - v.crashedAt, RefusedAge: -1, Stored: v.stored}
	if v.ownRefusedAt > 0 {
		e.RefusedAge = now - v.ownRefusedAt
	}
	return e
}

// inVerdictLocked reports whether the part is one of several parts of a verdict.
func (t *Tracker) inVerdictLocked(p Part) bool {
	for _, v := range t.verdicts {
		if slices.Contains(v.parts, p) {
			return true
		}
	}
	return false
}

// clearedLocked removes a part that was survived at the given time from the verdicts.
func (t *Tracker) clearedLocked(p Part, at time.Duration, source string) {
	for key, v := range t.verdicts {
		if !slices.Contains(v.parts, p) || at <= v.crashedAt {
			continue
		}
		delete(t.verdicts, key)
		t.events = append(t.events, Event{Change: Released, Parts: []Part{p}, Crashes: v.crashes, Source: source})
		rest := slices.DeleteFunc(slices.Clone(v.parts), func(other Part) bool { return other == p })
		if len(rest) == 0 {
			continue
		}
		v.parts, v.stored = rest, false
		t.verdicts[verdictKey(rest)] = v
	}
}

// quarantinedLocked reports whether the parts of a run include those of a verdict.
func (t *Tracker) quarantinedLocked(run []Part) bool {
	for _, v := range t.verdicts {
		if containsAll(run, v.parts) {
			return true
		}
	}
	return false
}

// quarantineLocked adds a verdict. It replaces those on more parts, and is left out if there is one on
// fewer.
func (t *Tracker) quarantineLocked(v *verdict, source string) {
	v.parts = v.parts[:min(len(v.parts), maxVerdictParts)]
	for key, other := range t.verdicts {
		switch {
		case containsAll(v.parts, other.parts):
			return
		case containsAll(other.parts, v.parts):
			delete(t.verdicts, key)
		}
	}
	now := t.now()
	v.refusedAt = max(v.refusedAt, now)
	v.scheduleProbe(now)
	t.verdicts[verdictKey(v.parts)] = v
	t.events = append(t.events, Event{Change: MadeQuarantined, Parts: v.parts, Crashes: v.crashes, Source: source})
	if len(t.verdicts) > maxVerdicts {
		t.dropLongestIdleLocked()
	}
}

func (t *Tracker) dropLongestIdleLocked() {
	keys := t.keysByRefusalLocked()
	t.expireLocked(keys[len(keys)-1])
}

// keysByRefusalLocked returns the keys of the verdicts, the one that was refused last first.
func (t *Tracker) keysByRefusalLocked() []string {
	return slices.SortedFunc(maps.Keys(t.verdicts), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.verdicts[b].refusedAt, t.verdicts[a].refusedAt), cmp.Compare(a, b))
	})
}

func (t *Tracker) expireLocked(key string) {
	v := t.verdicts[key]
	delete(t.verdicts, key)
	t.events = append(t.events, Event{Change: Expired, Parts: v.parts, Crashes: v.crashes})
}
