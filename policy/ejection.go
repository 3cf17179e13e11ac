package policy

import (
	"slices"
	"time"
)

const (
	// slowShare is the fraction of the median token rate below which an endpoint counts as slow.
	slowShare = 0.35
	// ejectShare bounds the fraction of endpoints that are ejected at the same time. If many
	// endpoints seem slow, the cause lies elsewhere, and ejecting them would overload the rest.
	ejectShare = 1.0 / 3
	// ejectTime is how long an ejected endpoint gets no new work before it is readmitted.
	ejectTime = 10 * time.Second
	// leastSamples is the number of rate samples required before an endpoint is judged.
	leastSamples = 8
	// leastPeers is the number of endpoints with a known rate required to compute a median.
	leastPeers = 3
)

// Ejector detects endpoints that answer polls but produce hardly any tokens, and keeps new work
// away from them. Their load looks small, so they would otherwise attract work.
type Ejector struct {
	rates []float64
}

// Judge readmits endpoints whose ejection has expired and ejects slow ones. It returns the number
// of endpoints that it ejected in this call.
func (j *Ejector) Judge(endpoints []*Endpoint, now time.Duration) int {
	j.rates = j.rates[:0]
	out := 0
	for _, e := range endpoints {
		if e.Ejected && now >= e.EjectedUntil {
			e.Ejected = false
			e.Rate, e.RateSamples = 0, 0
		}
		if e.Ejected {
			out++
		}
		if e.RateSamples >= leastSamples {
			j.rates = append(j.rates, e.Rate)
		}
	}
	if len(j.rates) < leastPeers {
		return 0
	}
	slices.Sort(j.rates)
	median := j.rates[len(j.rates)/2]
	ejected := 0
	for _, e := range endpoints {
		full := float64(out+1) > ejectShare*float64(len(endpoints))
		if full || e.Ejected || e.RateSamples < leastSamples || e.Rate >= slowShare*median {
			continue
		}
		e.Ejected, e.EjectedUntil = true, now+ejectTime
		out++
		ejected++
	}
	return ejected
}

const (
	// rampTime is the time after which an endpoint that has joined gets its full share of work.
	rampTime = 5 * time.Second
	// rampStart is the initial share of an endpoint that has just joined.
	rampStart = 0.25
)

// Ramp returns the share of its memory, 0 to 1, that may be used at an endpoint that has been
// healthy for the given time. An endpoint that joins a busy pool is the emptiest one: without the
// ramp it would get all new work at once, while its caches are cold and before its first load
// reports.
func Ramp(healthyFor time.Duration) float64 {
	if healthyFor >= rampTime {
		return 1
	}
	return rampStart + (1-rampStart)*float64(max(healthyFor, 0))/float64(rampTime)
}
