// Package enginerate estimates how fast each model engine runs from the streams that it serves. It
// does no I/O, takes the time as an argument and is not safe for concurrent use.
package enginerate

import (
	"math"
	"slices"
	"time"
)

// Engine model: a decoding step takes longer with each run in the batch, and a chunk of a prompt is
// prefilled between two steps. The shares hold for engines of any speed, as a slower engine takes
// proportionally longer for all of it.
const (
	// stepShareOfRun is the time by which each run lengthens a step, as a share of the step of an
	// unloaded engine: 0.12 ms of 7 ms.
	stepShareOfRun = 0.12 / 7
	// stepShareOfChunk is the time that a chunk takes, on the same scale: 112 prompt tokens at 14
	// tokens per ms.
	stepShareOfChunk = 8.0 / 7
	// PrefillFactor is the factor by which a prefill lengthens the gaps between the events of other
	// runs.
	PrefillFactor = 1 + stepShareOfChunk
)

const (
	// gapSamples and prefillSamples are the numbers of observations kept for each engine.
	gapSamples     = 16
	prefillSamples = 8
	// gapWindow is the time for which an observed gap counts. Half of it must be over before a
	// change of the engine's rate is followed, and it spans several intervals of stutter.
	gapWindow = 2 * time.Second
	// prefillWindow is the same time for first events, of which there are far fewer.
	prefillWindow = 4 * time.Second
	// gapQuantile is the quantile of the observed gaps that estimates the undisturbed step: prefill
	// and stutter lengthen gaps, and nothing shortens them.
	gapQuantile = 0.25
	// minGapSamples is the minimum number of observed gaps for an estimate. It exceeds what one
	// interval of stutter covers.
	minGapSamples = 4
	// minRunTime and maxRunTime bound plausible observations.
	minRunTime = 10 * time.Microsecond
	maxRunTime = time.Minute
)

// Report is what one node has measured of one incarnation of an engine.
type Report struct {
	// Step is the duration of a decoding step without other load, or 0 if it is not known.
	Step time.Duration
	// PrefillPerSecond is the prefill rate without other load in prompt tokens per second, or 0 if it
	// is not known.
	PrefillPerSecond float64
	// Weight is the number of observations behind the report, Age the time since the last one.
	Weight int
	Age    time.Duration
}

// sample is one observation, normalized to an unloaded engine.
type sample struct {
	at    time.Duration
	value float64
}

// window is a ring of the latest observations.
type window struct {
	samples []sample
	next    int
}

func (w *window) add(s sample, capacity int) {
	if len(w.samples) < capacity {
		w.samples = append(w.samples, s)
		return
	}
	w.samples[w.next] = s
	w.next = (w.next + 1) % capacity
}

// quantile returns a quantile of the observations made since the given time, and their number.
func (w *window) quantile(q float64, since time.Duration) (value float64, n int) {
	var buffer [gapSamples]float64
	values := buffer[:0]
	for _, s := range w.samples {
		if s.at >= since {
			values = append(values, s.value)
		}
	}
	if len(values) == 0 {
		return 0, 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))], len(values)
}

// Estimator holds the evidence on one incarnation of an engine.
type Estimator struct {
	gaps, prefills window
	// own is the last estimate from this node's observations, ownAt the time of the last one.
	own    Report
	ownAt  time.Duration
	steady steadyStep
	remote map[string]remoteReport
}

type remoteReport struct {
	Report
	observedAt time.Duration
}

// ObserveGap records the average time per token of a batch of events while the engine had the given
// number of runs. It reports whether the observation is plausible.
func (e *Estimator) ObserveGap(now, perToken time.Duration, runs int) bool {
	if perToken < minRunTime || perToken > maxRunTime || runs < 0 {
		return false
	}
	e.gaps.add(sample{now, float64(perToken) / (1 + stepShareOfRun*float64(runs))}, gapSamples)
	if step, n := e.gaps.quantile(gapQuantile, now-gapWindow); n >= minGapSamples {
		e.own.Step = time.Duration(step)
	}
	e.observed(now)
	return true
}

// ObserveFirstEvent records the time to the first event of a run before which the given number of
// prompt tokens, including its own, was prefilled beside a number of decoding runs. It reports whether
// the observation is plausible.
func (e *Estimator) ObserveFirstEvent(now, took time.Duration, tokens, decoding int) bool {
	if took < minRunTime || took > maxRunTime || tokens <= 0 {
		return false
	}
	rate := float64(tokens) * prefillFactor(decoding) / took.Seconds()
	e.prefills.add(sample{now, rate}, prefillSamples)
	e.own.PrefillPerSecond, _ = e.prefills.quantile(0.5, now-prefillWindow)
	e.observed(now)
	return true
}

func (e *Estimator) observed(now time.Duration) {
	_, gaps := e.gaps.quantile(0, now-gapWindow)
	_, prefills := e.prefills.quantile(0, now-prefillWindow)
	e.own.Weight, e.ownAt = gaps+prefills, now
}

// prefillFactor returns the factor by which decoding steps between the chunks lengthen a prefill.
func prefillFactor(decoding int) float64 {
	if decoding <= 0 {
		return 1
	}
	return 1 + (1+stepShareOfRun*float64(decoding))/stepShareOfChunk
}

// Own returns this node's report, or false if it has nothing recent.
func (e *Estimator) Own(now time.Duration) (Report, bool) {
	r := e.own
	r.Age = now - e.ownAt
	return r, r.Weight > 0 && r.Age <= reportLifetime && (r.Step > 0 || r.PrefillPerSecond > 0)
}

// SetRemote replaces the report of another node. It reports whether the report is plausible; the
// previous one is kept otherwise.
func (e *Estimator) SetRemote(node string, r Report, now time.Duration) bool {
	if !r.plausible() {
		return false
	}
	if e.remote == nil {
		e.remote = make(map[string]remoteReport)
	}
	e.remote[node] = remoteReport{r, now - r.Age}
	return true
}

func (r Report) plausible() bool {
	step := r.Step == 0 || r.Step >= minRunTime && r.Step <= maxRunTime
	prefill := r.PrefillPerSecond == 0 || r.PrefillPerSecond > 0 && !math.IsInf(r.PrefillPerSecond, 1)
	return step && prefill && (r.Step > 0 || r.PrefillPerSecond > 0) && r.Weight > 0 && r.Age >= 0 && !math.IsNaN(r.PrefillPerSecond)
}
