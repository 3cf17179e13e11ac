package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report returns what this node reports to the others.
func (t *Tracker) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var n Report
	now := t.now()
	t.ownCrashes = slices.DeleteFunc(t.ownCrashes, func(c ownCrash) bool { return now-c.at > reportTime })
	for _, c := range t.ownCrashes[max(0, len(t.ownCrashes)-maxReportedCrashes):] {
		n.Crashes = append(n.Crashes, CrashReport{Endpoint: c.endpoint, Age: now - c.at, Parts: c.parts})
	}
	for p, until := range t.survivalsUntil {
		if now > until {
			delete(t.survivalsUntil, p)
			continue
		}
		if s, known := t.survived.Peek(p); known && s.own > 0 && len(n.Survivals) < maxReportedSurvivals {
			n.Survivals = append(n.Survivals, Survival{Part: p, Age: now - s.own})
		}
	}
	n.Verdicts = t.nextVerdictsLocked(now)
	return n
}

// nextVerdictsLocked returns up to maxReportedVerdicts verdicts: those that were reported longest ago, so
// that the others learn of all of them, and of the refusals for each, within some reports.
func (t *Tracker) nextVerdictsLocked(now time.Duration) []Verdict {
	if len(t.verdicts) == 0 {
		return nil
	}
	keys := slices.SortedFunc(maps.Keys(t.verdicts), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.verdicts[a].reported, t.verdicts[b].reported), cmp.Compare(a, b))
	})
	var verdicts []Verdict
	for _, key := range keys[:min(len(keys), maxReportedVerdicts)] {
		t.reports++
		t.verdicts[key].reported = t.reports
		verdicts = append(verdicts, t.verdicts[key].export(now))
	}
	return verdicts
}

// Verdicts returns all verdicts, the one that was refused last first.
func (t *Tracker) Verdicts() []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var verdicts []Verdict
	now := t.now()
	for _, key := range t.keysByRefusalLocked() {
		verdicts = append(verdicts, t.verdicts[key].export(now))
	}
	return verdicts
}

// Merge adds what another node, or the store, reports.
func (t *Tracker) Merge(source string, n Report) {
	if n.Empty() {
		return
	}
	t.mu.Lock()
	defer t.unlock()
	now := t.now()
	for _, s := range n.Survivals {
		t.mergeSurvivalLocked(s.Part, now-s.Age, source)
	}
	for _, c := range n.Crashes {
		if c.Age > crashMemory || len(c.Parts) == 0 {
			continue
		}
		t.addCrashLocked(c.Endpoint, now-c.Age, c.Parts[:min(len(c.Parts), maxReportedParts)], source)
		t.answerLocked(c.Parts, now)
	}
	for _, v := range n.Verdicts {
		t.mergeVerdictLocked(v, source)
		t.answerLocked(v.Parts, now)
	}
}

func (t *Tracker) mergeSurvivalLocked(p Part, at time.Duration, source string) {
	s, known := t.survived.Peek(p)
	if known && at <= s.at {
		return
	}
	s.at = at
	t.survived.Add(p, s)
	if t.candidates[p] || t.inVerdictLocked(p) {
		t.clearedLocked(p, at, source)
		t.judgeLocked(source)
	}
}

// answerLocked reports the survival of parts to the node that has reported their crash or verdict.
func (t *Tracker) answerLocked(parts []Part, now time.Duration) {
	for _, p := range parts {
		if s, known := t.survived.Peek(p); known && s.own > 0 && now-s.own <= survivalMemory {
			t.survivalsUntil[p] = now + reportTime
		}
	}
}

func (t *Tracker) mergeVerdictLocked(v Verdict, source string) {
	now := t.now()
	crashedAt := now - v.CrashAge
	parts := slices.DeleteFunc(sortedParts(v.Parts), func(p Part) bool {
		at, known := t.survivalLocked(p)
		return known && at > crashedAt
	})
	if len(parts) == 0 {
		return
	}
	refusedAt := time.Duration(0)
	if v.RefusedAge >= 0 {
		refusedAt = now - v.RefusedAge
	}
	known := t.verdicts[verdictKey(parts)]
	if known == nil {
		t.quarantineLocked(&verdict{
			parts: parts, crashes: v.Crashes, crashedAt: crashedAt, refusedAt: refusedAt, stored: v.Stored && len(parts) == len(v.Parts),
		}, source)
		t.judgeLocked(source)
		return
	}
	known.crashes = max(known.crashes, v.Crashes)
	if crashedAt > known.crashedAt+sameTimeTolerance {
		known.crashedAt = crashedAt
	}
	known.refusedAt = max(known.refusedAt, refusedAt)
	known.stored = known.stored || v.Stored && len(parts) == len(v.Parts)
}

// MarkStored records that the store holds the verdict with the key.
func (t *Tracker) MarkStored(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.verdicts[key]; v != nil {
		v.stored = true
	}
}

// MarkNoneStored records that the store may have lost the verdicts.
func (t *Tracker) MarkNoneStored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.verdicts {
		v.stored = false
	}
}

// Release ends a verdict and clears its parts on all nodes.
func (t *Tracker) Release(key string) {
	t.mu.Lock()
	v := t.verdicts[key]
	t.mu.Unlock()
	if v != nil {
		t.RecordSurvival(v.parts)
	}
}

// Expire drops the verdicts for which there were no requests for verdictIdleTime, and returns their
// keys.
func (t *Tracker) Expire() []string {
	t.mu.Lock()
	defer t.unlock()
	now := t.now()
	var expired []string
	for key, v := range t.verdicts {
		if now-v.refusedAt > verdictIdleTime {
			t.expireLocked(key)
			expired = append(expired, key)
		}
	}
	return expired
}
