package enginerate

import (
	"math"
	"slices"
	"time"
)

const (
	// differentRatio is the ratio of the slowest to the fastest third of the engines above which
	// the engines count as different, and equalRatio the one below which they count as equal again.
	differentRatio = 1.25
	equalRatio     = 1.15
	// differentPeriod and equalPeriod are the times for which the ratio must hold. Stutter of a few
	// engines lasts less than the first, and the second avoids frequent changes.
	differentPeriod = time.Second
	equalPeriod     = 10 * time.Second
	// minEngines is the minimum number of engines with evidence, and minKnownShare their minimum
	// share among all engines of the service.
	minEngines    = 3
	minKnownShare = 0.3
)

// Rate is the predicted rate of an engine.
type Rate struct {
	// Step is the duration of a decoding step without other load.
	Step time.Duration
	// PrefillPerSecond is the prefill rate without other load, in prompt tokens per second.
	PrefillPerSecond float64
}

// FirstEvent returns the predicted time to the first event of a run before which the given number of
// prompt tokens is prefilled beside a number of decoding runs.
func (r Rate) FirstEvent(tokens, decoding int) time.Duration {
	if r.PrefillPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / r.PrefillPerSecond * prefillFactor(decoding) * float64(time.Second))
}

// Gap returns the predicted time between two events of the given number of tokens with the given
// number of runs, without prefill and stutter.
func (r Rate) Gap(tokens, runs int) time.Duration {
	return time.Duration(float64(r.Step) * float64(tokens) * (1 + stepShareOfRun*float64(runs)))
}

// Table holds the rates of a service's engines and decides whether they differ.
type Table struct {
	// Step and PrefillPerSecond are the medians of the engines with evidence, 0 if there are none.
	Step             time.Duration
	PrefillPerSecond float64
	// Ratio is the ratio of the step of the slowest third of the engines to that of the fastest
	// third, or 1 if there is not enough evidence.
	Ratio float64
	// Engines is the number of engines with evidence.
	Engines int
	// Different is set while the engines count as different.
	Different bool
	// since is the time since which the ratio has called for the other state, or 0.
	since time.Duration
}

// Update computes the medians and the ratio from the estimates of all engines of the service. It
// reports whether Different has changed. Rates that are impossible in comparison to the median are
// cleared; their number is returned.
func (t *Table) Update(now time.Duration, all []Estimate) (changed bool, impossible int) {
	var steps, steady, prefills []float64
	for _, e := range all {
		if e.Known() {
			steps = append(steps, e.step.value)
		}
		if e.steadyStep > 0 {
			steady = append(steady, e.steadyStep)
		}
		if e.prefill.weight > 0 {
			prefills = append(prefills, e.prefill.value)
		}
	}
	slices.Sort(steps)
	slices.Sort(steady)
	slices.Sort(prefills)
	t.Step, t.PrefillPerSecond = time.Duration(middle(steps)), middle(prefills)
	for i := range all {
		impossible += all[i].clearImpossible(float64(t.Step), t.PrefillPerSecond)
	}
	t.Engines, t.Ratio = len(steady), ratioOfThirds(steady)
	if len(steady) < minEngines || float64(len(steady)) < minKnownShare*float64(len(all)) {
		t.Ratio = 1
	}
	return t.decide(now), impossible
}

// decide changes Different once the ratio has called for it long enough.
func (t *Table) decide(now time.Duration) bool {
	wanted, period := t.Ratio > differentRatio, differentPeriod
	if t.Different {
		wanted, period = t.Ratio >= equalRatio, equalPeriod
	}
	if wanted == t.Different {
		t.since = 0
		return false
	}
	if t.since == 0 {
		t.since = now
	}
	if now-t.since < period {
		return false
	}
	t.Different, t.since = wanted, 0
	return true
}

// Median returns the rate of the median engine.
func (t *Table) Median() Rate { return Rate{Step: t.Step, PrefillPerSecond: t.PrefillPerSecond} }

// Rate returns the predicted rate of an engine: the median, scaled by the evidence on this engine.
func (t *Table) Rate(now time.Duration, e Estimate) Rate {
	slowness := t.slowness(now, e)
	return Rate{Step: time.Duration(float64(t.Step) * slowness), PrefillPerSecond: t.PrefillPerSecond / slowness}
}

// slowness returns the factor by which the engine is slower than the median one: the mean, on a
// logarithmic scale, of what its steps and its prefills show and of the assumption that it is equal.
func (t *Table) slowness(now time.Duration, e Estimate) float64 {
	sum, weight := 0.0, priorWeight
	if e.step.weight > 0 && t.Step > 0 {
		w := e.step.decayed(now)
		sum, weight = sum+w*math.Log(e.step.value/float64(t.Step)), weight+w
	}
	if e.prefill.weight > 0 && t.PrefillPerSecond > 0 {
		w := e.prefill.decayed(now)
		sum, weight = sum+w*math.Log(t.PrefillPerSecond/e.prefill.value), weight+w
	}
	return math.Exp(sum / weight)
}

// clearImpossible drops values that are too far from the median, and returns their number.
func (e *Estimate) clearImpossible(step, prefill float64) (n int) {
	if e.step.weight > 0 && tooFar(e.step.value, step) {
		e.step, n = evidence{}, n+1
	}
	if e.prefill.weight > 0 && tooFar(e.prefill.value, prefill) {
		e.prefill, n = evidence{}, n+1
	}
	return n
}

func tooFar(value, median float64) bool {
	return median > 0 && (value > maxRatio*median || maxRatio*value < median)
}

func middle(sorted []float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)/2]
}

// ratioOfThirds returns the ratio of the median of the highest third to that of the lowest third.
func ratioOfThirds(sorted []float64) float64 {
	third := len(sorted) / 3
	if third == 0 {
		return 1
	}
	return middle(sorted[len(sorted)-third:]) / middle(sorted[:third])
}
