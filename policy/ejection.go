package policy

import (
	"slices"
	"time"
)

const (
	// slowRateFactor is the fraction of the median token rate below which an endpoint counts as
	// slow.
	slowRateFactor = 0.35
	// maxEjectedShare bounds the fraction of endpoints that are ejected at the same time. If many
	// endpoints seem slow, the cause lies elsewhere, and ejecting them would overload the rest.
	maxEjectedShare = 1.0 / 3
	// ejectionDuration is how long an ejected endpoint gets no new work before it is readmitted.
	ejectionDuration = 10 * time.Second
	// minRateSamples is the number of rate samples required before an endpoint is judged.
	minRateSamples = 8
	// minRatedPeers is the number of endpoints with a known rate required to compute a median.
	minRatedPeers = 3
)

// Ejector detects endpoints that answer polls but produce hardly any tokens, and keeps new work
// away from them. Their load looks small, so they would otherwise attract work.
type Ejector struct {
	rates []float64
}

// Update readmits endpoints whose ejection has expired and ejects slow ones. It returns the number
// of endpoints that it ejected in this call.
func (j *Ejector) Update(endpoints []*Endpoint, now time.Duration) int {
	j.rates = j.rates[:0]
	ejectedTotal := 0
	for _, e := range endpoints {
		if e.Ejected && now >= e.EjectedUntil {
			e.Ejected = false
			e.Rate, e.RateSamples = 0, 0
		}
		if e.Ejected {
			ejectedTotal++
		}
		if e.RateSamples >= minRateSamples {
			j.rates = append(j.rates, e.Rate)
		}
	}
	if len(j.rates) < minRatedPeers {
		return 0
	}
	slices.Sort(j.rates)
	median := j.rates[len(j.rates)/2]
	newlyEjected := 0
	for _, e := range endpoints {
		limitReached := float64(ejectedTotal+1) > maxEjectedShare*float64(len(endpoints))
		if limitReached || e.Ejected || e.RateSamples < minRateSamples || e.Rate >= slowRateFactor*median {
			continue
		}
		e.Ejected, e.EjectedUntil = true, now+ejectionDuration
		ejectedTotal++
		newlyEjected++
	}
	return newlyEjected
}

const (
	// rampDuration is the time after which an endpoint that has joined gets its full share of work.
	rampDuration = 5 * time.Second
	// rampInitialShare is the initial share of an endpoint that has just joined.
	rampInitialShare = 0.25
)

// Ramp returns the share, 0 to 1, of an endpoint's memory that may be used once the endpoint has
// been healthy for the given time. An endpoint that joins a busy pool is the emptiest one: without
// the ramp it would get all new work at once, while its caches are cold and before its first load
// reports.
func Ramp(healthyFor time.Duration) float64 {
	if healthyFor >= rampDuration {
		return 1
	}
	return rampInitialShare + (1-rampInitialShare)*float64(max(healthyFor, 0))/float64(rampDuration)
}
