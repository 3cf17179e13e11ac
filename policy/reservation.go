package policy

import (
	"slices"

	"github.com/crocusreel/crocusreel"
)

const (
	// affinityWeight is the score of a completely cached prompt, as a fraction of the engine's
	// memory.
	affinityWeight = 0.4
	// affinityLoadFactor keeps cache affinity from overloading an endpoint: an endpoint with more
	// than this many times the mean number of answers gets no affinity bonus.
	affinityLoadFactor = 1.25
)

// Reservation is a Picker that admits a request to an endpoint only if the answers there, together
// with the new one, are unlikely to exceed the engine's memory at any point of the horizon. Among
// such endpoints it picks the one with the most free memory at the expected peak, with a bonus for
// a cached prompt.
type Reservation struct {
	// Risk is the accepted probability of running out of memory.
	Risk float64
	// ShortReserve is the fraction of the memory that other work must leave free in the near
	// future, so that short work can be admitted at once. Beyond the near future it may be used,
	// because short answers that start now will have ended.
	ShortReserve float64
	// Share is the fraction of the memory that this scheduler may use; it is greater than 0 and at
	// most 1.
	Share float64
}

// Pick implements Picker.
func (p *Reservation) Pick(endpoints []*Endpoint, r *Request) int {
	bound := affinityLoadFactor * meanAnswers(endpoints)
	best, bestScore := None, 0.0
	for i, e := range endpoints {
		if e.Capacity == 0 || !e.Eligible(r) {
			continue
		}
		capacity := float64(e.Capacity)
		fits := p.fits(e, r, capacity)
		if !fits && !p.fitsIdle(e, r) {
			continue
		}
		score := 1 - e.occupancy.ExpectedPeak(&r.Demand)/capacity + affinity(e, r, bound)
		if best == None || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// fits reports whether the risk at the endpoint stays within bounds. Short work is judged only by
// the risk that it adds, because it ends before a risk later in the horizon materializes.
func (p *Reservation) fits(e *Endpoint, r *Request, capacity float64) bool {
	far := capacity * p.Share * e.Share
	if r.Class == crocusreel.ClassShort {
		return e.occupancy.AddedRisk(&r.Demand, far, far, p.Risk) <= p.Risk
	}
	return e.occupancy.Risk(&r.Demand, far*(1-p.ShortReserve), far, p.Risk) <= p.Risk
}

// fitsIdle reports whether an idle engine takes the request although the answer may outgrow its
// memory. No other engine would suit it better, and the request would otherwise never run. The
// prompt has to fit.
func (p *Reservation) fitsIdle(e *Endpoint, r *Request) bool {
	return e.NumAnswers() == 0 && !e.hasExternalAnswers() && r.Prompt < e.Capacity
}

func affinity(e *Endpoint, r *Request, bound float64) float64 {
	if r.CachedShare == 0 || float64(e.NumAnswers()) > bound || !slices.Contains(r.Holders[:], e.Name) {
		return 0
	}
	return affinityWeight * r.CachedShare
}

func meanAnswers(endpoints []*Endpoint) float64 {
	if len(endpoints) == 0 {
		return 0
	}
	sum := 0
	for _, e := range endpoints {
		sum += e.NumAnswers()
	}
	return float64(sum) / float64(len(endpoints))
}
