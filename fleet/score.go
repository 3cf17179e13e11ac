package fleet

import (
	"time"

	"github.com/crocusreel/crocusreel/enginerate"
)

// scorer returns the parts of an engine's cost that depend on its speed. Loads are passed by value, so
// that a choice among thousands of engines allocates nothing.
type scorer interface {
	// runCost is the cost of the time to the first event and of pauses.
	runCost(e *Endpoint, w *Work, load Load) float64
	// pauseCost is the cost of the pauses of the streams on the engine, including the work.
	pauseCost(e *Endpoint, w *Work, load Load) float64
}

const (
	// missedTargetCost is the cost of an engine on which a target would be missed. It outweighs the
	// memory and the prefill of any engine with capacity, so that such an engine is used only if no
	// other has capacity.
	missedTargetCost = 2.0
	// missedTargetMargin is the excess over the target, as a share of it, from which the whole cost
	// applies. Below it the cost rises gradually, as predictions are uncertain.
	missedTargetMargin = 0.2
)

// scorerLocked returns the scorer for work of an engine service.
func (f *Fleet) scorerLocked(w *Work, now time.Duration) scorer {
	if f.Disabled[EngineRates] || w.Service.Engine == nil {
		return equalEngines{}
	}
	s := f.ratesLocked(w.Service.Name)
	s.noteWork(w, now)
	f.refreshRatesLocked(w.Service.Name, s, now)
	if !s.table.Different {
		return equalEngines{}
	}
	return s
}

// equalEngines scores engines of equal speed by their pending prefill.
type equalEngines struct{}

func (equalEngines) runCost(_ *Endpoint, _ *Work, load Load) float64 {
	return prefillCostPerSecond * float64(load.PendingPrefill) / prefillTokensPerSecond
}

func (equalEngines) pauseCost(*Endpoint, *Work, Load) float64 { return 0 }

// runCost scores an engine by the predicted time to the first event and the predicted longest pause.
func (s *serviceRates) runCost(e *Endpoint, w *Work, load Load) float64 {
	if e.speed.rate.Step == 0 {
		e.speed.rate = s.table.Median()
	}
	first := s.firstEvent(e, w, load)
	cost := prefillCostPerSecond * first.Seconds()
	switch {
	case w.moveSource == nil:
		return cost + missedTargetCost*excess(w.Since+first, w.Target) + s.pauseCost(e, w, load)
	case e.DataCentre != w.moveSource.DataCentre:
		// No speed makes up for a copy to another data centre: it takes the link of the leaving engine for
		// twice the time, and the runs that still wait for the link are lost when the engine stops.
		return cost + missedTargetCost
	default:
		return cost + s.pauseCost(e, w, load)
	}
}

// pauseCost scores an engine by the predicted longest pause of its streams. An engine without evidence
// is as likely to miss the target as any other.
func (s *serviceRates) pauseCost(e *Endpoint, w *Work, load Load) float64 {
	target := s.pauseTarget(w, load)
	if target > 0 && !e.speed.known {
		return missedTargetCost * s.missing
	}
	return missedTargetCost * excess(s.pause(e.speed.rate, s.stride, load.Count+1), target)
}

// firstEvent returns the predicted time to the first event of the work. A run that moves needs no
// prefill of its own.
func (s *serviceRates) firstEvent(e *Endpoint, w *Work, load Load) time.Duration {
	tokens := load.PendingPrefill
	if w.moveSource == nil {
		tokens += w.Demand.Prompt
	}
	return e.speed.rate.FirstEvent(tokens, decodingRuns(load, w.Demand.Prompt))
}

// pause returns the predicted longest pause between two events of the given number of tokens, during a
// prefill and stutter.
func (s *serviceRates) pause(rate enginerate.Rate, stride, runs int) time.Duration {
	return time.Duration(s.stutter * enginerate.PrefillFactor * float64(rate.Gap(stride, runs)))
}

// pauseTarget returns the smallest GapTarget of the streams on the engine, including the work, or 0 if
// there is none. A short answer has no pauses, but its prefill delays the streams that are there.
func (s *serviceRates) pauseTarget(w *Work, load Load) time.Duration {
	if hasStreams(load) {
		return s.gapTarget
	}
	if w.Short() {
		return 0
	}
	return w.GapTarget
}

// hasStreams reports whether the engine runs long streams: short answers are almost always in their
// prefill and expect little output.
func hasStreams(load Load) bool {
	return load.Tokens-load.PendingPrefill > maxShortOutputTokens*load.Count
}

// excess returns how far a value exceeds its limit, from 0 (not at all, or no limit) to 1.
func excess(value, limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	return min(max((float64(value)/float64(limit)-1)/missedTargetMargin, 0), 1)
}
