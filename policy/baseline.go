package policy

import "math/rand/v2"

// None is the index that a Picker returns if no endpoint can take the request now.
const None = -1

// Picker chooses an endpoint for a request. Pick returns an index into endpoints, or None if the
// request has to wait.
type Picker interface {
	Pick(endpoints []*Endpoint, r *Request) int
}

// Watermark is the fraction of an engine's memory up to which the baseline pickers admit requests;
// 0 disables the limit.
type Watermark float64

// admits reports whether the memory in use at e plus the prompt stays within the watermark. It
// admits everything while the capacity of e is unknown.
func (w Watermark) admits(e *Endpoint, r *Request) bool {
	if w <= 0 || e.Capacity == 0 {
		return true
	}
	return e.Used()+float64(r.Prompt) <= float64(w)*float64(e.Capacity)
}

// RoundRobin picks the endpoints in turn.
type RoundRobin struct {
	Watermark Watermark
	next      int
}

// Pick implements Picker.
func (p *RoundRobin) Pick(endpoints []*Endpoint, r *Request) int {
	for range endpoints {
		i := p.next % len(endpoints)
		p.next++
		if endpoints[i].Eligible(r) && p.Watermark.admits(endpoints[i], r) {
			return i
		}
	}
	return None
}

// LeastOutstanding picks the endpoint with the fewest admitted answers.
type LeastOutstanding struct {
	Watermark Watermark
}

// Pick implements Picker.
func (p *LeastOutstanding) Pick(endpoints []*Endpoint, r *Request) int {
	best := None
	for i, e := range endpoints {
		if !e.Eligible(r) || !p.Watermark.admits(e, r) {
			continue
		}
		if best == None || e.NumAnswers() < endpoints[best].NumAnswers() {
			best = i
		}
	}
	return best
}

// PowerOfTwo picks the less loaded of two random endpoints, judged by their last load reports.
type PowerOfTwo struct {
	Watermark Watermark
	rng       *rand.Rand
}

// NewPowerOfTwo returns a PowerOfTwo whose random numbers are derived from seed.
func NewPowerOfTwo(w Watermark, seed uint64) *PowerOfTwo {
	return &PowerOfTwo{Watermark: w, rng: rand.New(rand.NewPCG(seed, seed))}
}

// powerOfTwoDraws bounds the number of random draws made to find two endpoints that can take the
// request.
const powerOfTwoDraws = 8

// Pick implements Picker.
func (p *PowerOfTwo) Pick(endpoints []*Endpoint, r *Request) int {
	if len(endpoints) == 0 {
		return None
	}
	best, found := None, 0
	for range powerOfTwoDraws {
		i := p.rng.IntN(len(endpoints))
		if i == best || !endpoints[i].Eligible(r) || !p.Watermark.admits(endpoints[i], r) {
			continue
		}
		if best == None || reportedLoad(endpoints[i]) < reportedLoad(endpoints[best]) {
			best = i
		}
		if found++; found == 2 {
			return best
		}
	}
	if best != None {
		return best
	}
	return p.firstAdmitting(endpoints, r)
}

// firstAdmitting returns the first endpoint that can take the request. It is the fallback for when
// no random draw hit such an endpoint, for example because few are healthy.
func (p *PowerOfTwo) firstAdmitting(endpoints []*Endpoint, r *Request) int {
	for i, e := range endpoints {
		if e.Eligible(r) && p.Watermark.admits(e, r) {
			return i
		}
	}
	return None
}

func reportedLoad(e *Endpoint) int { return e.ReportedRunning + e.ReportedWaiting }
