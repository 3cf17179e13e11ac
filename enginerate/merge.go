package enginerate

import (
	"math"
	"slices"
	"time"
)

const (
	// reportLifetime is the age above which a report is dropped. An engine that no stream has used
	// for that long counts as an engine of unknown rate and is tried again.
	reportLifetime = 20 * time.Second
	// freshness is the time by which a report may be older than the latest one and still be merged
	// with it. An engine that becomes slow is not averaged with its earlier rate.
	freshness = 1500 * time.Millisecond
	// weightHalfLife is the time in which a report loses half of its weight against the assumption
	// that the engine is like the median one.
	weightHalfLife = 6 * time.Second
	// maxStepWeight and maxPrefillWeight bound the weight of one merged value. The time to a first
	// event is uncertain by a factor of two, because the pending prefill of other nodes is known late.
	maxStepWeight    = 8
	maxPrefillWeight = 2
	// priorWeight is the weight of the assumption that an engine is like the median one.
	priorWeight = 0.5
	// maxRatio is the ratio to the median above which a rate is impossible.
	maxRatio = 100
)

// evidence is a value merged from the reports of all nodes, its weight and the time of the latest
// observation. The weight is 0 if there is none.
type evidence struct {
	value, weight float64
	at            time.Duration
}

// decayed returns the weight at the given time.
func (v evidence) decayed(now time.Duration) float64 {
	return v.weight * math.Exp2(-float64(now-v.at)/float64(weightHalfLife))
}

// Estimate is what all nodes together know of an engine.
type Estimate struct {
	step, prefill evidence
	// steadyStep is the step without stutter, or 0 until it is known. Engines count as different by
	// it alone.
	steadyStep float64
}

// steadyStep follows the lowest steps of an engine, so that stutter does not make it look slow.
type steadyStep struct {
	value float64
	// firstAt is the time of the first evidence, lastAt that of the latest one, and mergedAt the time
	// at which it was merged.
	firstAt, lastAt, mergedAt time.Duration
}

const (
	// steadyAfter is the time of observation after which a step counts as steady: two intervals of
	// stutter.
	steadyAfter = 1200 * time.Millisecond
	// steadyRise is the time constant with which the steady step follows longer steps. An engine that
	// becomes four times slower counts as different within a second.
	steadyRise = 5 * time.Second
)

// update applies merged evidence and returns the steady step, or 0 if it is not known.
func (s *steadyStep) update(step evidence, now time.Duration) float64 {
	switch {
	case step.weight < minGapSamples || step.at <= s.lastAt:
	case s.value == 0 || step.value < s.value:
		if s.value == 0 {
			s.firstAt = step.at
		}
		s.value, s.lastAt, s.mergedAt = step.value, step.at, now
	default:
		rise := min(float64(now-s.mergedAt)/float64(steadyRise), 1)
		s.value, s.lastAt, s.mergedAt = s.value+rise*(step.value-s.value), step.at, now
	}
	if s.lastAt-s.firstAt < steadyAfter {
		return 0
	}
	return s.value
}

// Known reports whether there is evidence on the engine's decoding steps.
func (e Estimate) Known() bool { return e.step.weight >= minGapSamples }

// Any reports whether there is enough evidence of any kind to tell the engine from the median one.
func (e Estimate) Any() bool { return e.Known() || e.prefill.weight >= maxPrefillWeight }

// Merge returns the merged estimate, and drops reports that are too old.
func (e *Estimator) Merge(now time.Duration) Estimate {
	reports := make([]remoteReport, 0, len(e.remote)+1)
	if own, ok := e.Own(now); ok {
		reports = append(reports, remoteReport{own, e.ownAt})
	}
	for node, r := range e.remote {
		if now-r.observedAt > reportLifetime {
			delete(e.remote, node)
			continue
		}
		reports = append(reports, r)
	}
	step := func(r Report) float64 { return float64(r.Step) }
	prefill := func(r Report) float64 { return r.PrefillPerSecond }
	merged := Estimate{step: merge(reports, step, maxStepWeight), prefill: merge(reports, prefill, maxPrefillWeight)}
	merged.steadyStep = e.steady.update(merged.step, now)
	return merged
}

// merge returns the weighted median of a value over the latest reports.
func merge(reports []remoteReport, value func(Report) float64, maxWeight float64) evidence {
	var latest time.Duration
	for _, r := range reports {
		if value(r.Report) > 0 {
			latest = max(latest, r.observedAt)
		}
	}
	all := make([]evidence, 0, len(reports))
	total := 0.0
	for _, r := range reports {
		if v := value(r.Report); v > 0 && latest-r.observedAt <= freshness {
			weight := min(float64(r.Weight), maxWeight)
			all = append(all, evidence{value: v, weight: weight})
			total += weight
		}
	}
	slices.SortFunc(all, func(a, b evidence) int {
		if a.value < b.value {
			return -1
		}
		return 1
	})
	sum := 0.0
	for _, v := range all {
		if sum += v.weight; 2*sum >= total {
			return evidence{value: v.value, weight: min(total, maxWeight), at: latest}
		}
	}
	return evidence{}
}
