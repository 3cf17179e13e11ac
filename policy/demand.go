package policy

import "math"

// horizonPoints is the number of future points at which memory use is predicted.
const horizonPoints = 14

// horizon lists these points as a number of decoding steps from now. An answer grows by one token
// per step.
var horizon = [horizonPoints]float64{1, 32, 64, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 4096, 8192}

// blockSlackTokens is the memory that an answer uses beyond its own tokens: engines allocate memory
// in blocks of about 16 tokens.
const blockSlackTokens = 8

// Demand is the predicted memory use of one answer. At point i of the horizon, the answer uses
// size[i] tokens with probability prob[i]; otherwise it has ended and uses none.
type Demand struct {
	size, prob [horizonPoints]float64
}

// PredictDemand predicts the demand of an answer of unknown length. prompt and produced are in
// tokens; maxTokens limits the length of the answer, 0 means no limit.
func PredictDemand(s *Survival, prompt, produced, maxTokens int) (d Demand) {
	now := float64(prompt + produced + blockSlackTokens)
	for i, h := range horizon {
		if maxTokens > 0 && float64(produced)+h > float64(maxTokens) {
			break
		}
		d.size[i] = now + h
		d.prob[i] = s.ProbRemainingExceeds(float64(produced), h)
	}
	return d
}

// DemandForLength predicts the demand of an answer whose length, in tokens, is known in advance.
// The answer counts at a point of the horizon if it runs at any time since the previous point.
func DemandForLength(prompt, produced, length int) (d Demand) {
	left := float64(length - produced)
	before := 0.0
	for i, h := range horizon {
		if left < before {
			break
		}
		d.size[i] = float64(prompt+produced+blockSlackTokens) + min(h, left)
		d.prob[i] = 1
		before = h
	}
	return d
}

const (
	// memoryBins is the number of bins into which the memory of an engine is divided.
	memoryBins = 64
	// occupancyBins extends beyond the capacity of the engine so that use above it is represented.
	occupancyBins = memoryBins + 8
)

// Occupancy is the distribution of the total memory used by several independent answers at each
// point of the horizon. It keeps the whole distribution rather than mean and variance: one engine
// runs so few answers that the sum is far from normal, and a normal approximation admits too much
// in some states and too little in others.
type Occupancy struct {
	mean [horizonPoints]float64
	// tail[i][k] is the probability that at least k bins are in use at point i.
	tail [horizonPoints][occupancyBins + 1]float32
	// maxBin[i] is the highest bin that can be in use at point i.
	maxBin [horizonPoints]int
	// binTokens is the size of one bin in tokens.
	binTokens float64
	// fixedTokens is the memory in use, in tokens, whose growth is unknown; it counts as constant.
	fixedTokens float64
}

// Reset clears the occupancy for an engine with the given capacity. fixedTokens is the memory
// already in use whose growth is unknown. Both arguments are in tokens.
func (o *Occupancy) Reset(capacity, fixedTokens float64) {
	*o = Occupancy{binTokens: capacity / memoryBins, fixedTokens: fixedTokens}
	for i := range o.tail {
		o.tail[i][0] = 1
		o.mean[i] = fixedTokens
	}
}

// minProbability is the probability at or below which a use of memory is ignored.
const minProbability = 1e-4

// Add adds the demand of one answer.
func (o *Occupancy) Add(d *Demand) {
	if o.binTokens <= 0 {
		return
	}
	for i := range d.size {
		if d.prob[i] > minProbability {
			o.mean[i] += d.size[i] * d.prob[i]
			o.convolve(i, d.size[i]/o.binTokens, float32(d.prob[i]))
		}
	}
}

// convolve adds a use of x bins with probability p at point i. A use between two bins is split
// between them, which preserves the mean.
func (o *Occupancy) convolve(i int, x float64, p float32) {
	whole := min(int(x), occupancyBins)
	up := p * float32(x-float64(whole))
	down := p - up
	tail := &o.tail[i]
	o.maxBin[i] = min(o.maxBin[i]+whole+1, occupancyBins)
	for k := o.maxBin[i]; k > whole; k-- {
		tail[k] = (1-p)*tail[k] + down*tail[k-whole] + up*tail[k-whole-1]
	}
	for k := min(whole, o.maxBin[i]); k > 0; k-- {
		tail[k] = (1-p)*tail[k] + p
	}
}

// exceeds returns the probability that more than x bins are in use at point i.
func (o *Occupancy) exceeds(i int, x float64) float64 {
	if x < 0 {
		return 1
	}
	k := int(x)
	if k >= occupancyBins {
		return 0
	}
	f := float32(x - float64(k))
	next := float32(0)
	if k+2 <= occupancyBins {
		next = o.tail[i][k+2]
	}
	return float64((1-f)*o.tail[i][k+1] + f*next)
}

// exceedsWith returns the probability that more than x bins are in use at point i once an answer
// that uses the given number of bins has been added. Like convolve, it splits a use between two
// bins. Subtracting the use from x instead gives too small a probability if bins are coarse: an
// answer was then admitted although the risk, once it was added, was over the bound.
func (o *Occupancy) exceedsWith(i int, x, bins float64) float64 {
	whole := math.Floor(bins)
	up := bins - whole
	return (1-up)*o.interpolatedTail(i, x-whole) + up*o.interpolatedTail(i, x-whole-1)
}

// interpolatedTail interpolates the probability that more than x bins are in use at point i. Unlike
// exceeds, it also interpolates for x between -1 and 0.
func (o *Occupancy) interpolatedTail(i int, x float64) float64 {
	k := int(math.Floor(x))
	f := x - math.Floor(x)
	return (1-f)*o.atLeast(i, k+1) + f*o.atLeast(i, k+2)
}

// atLeast returns the probability that at least k bins are in use at point i.
func (o *Occupancy) atLeast(i, k int) float64 {
	switch {
	case k <= 0:
		return 1
	case k > occupancyBins:
		return 0
	default:
		return float64(o.tail[i][k])
	}
}

// nearPoints is the number of points of the horizon that count as the near future.
const nearPoints = 2

// Risk returns the highest probability, over the points of the horizon, that the answers together
// with d use more than near tokens in the near future or more than far tokens later. It stops early
// once the probability is over bound.
func (o *Occupancy) Risk(d *Demand, near, far, bound float64) float64 {
	return o.maxRisk(d, near, far, bound, 0)
}

// AddedRisk is like Risk, but returns only the increase of the probability that d causes.
func (o *Occupancy) AddedRisk(d *Demand, near, far, bound float64) float64 {
	return o.maxRisk(d, near, far, bound, 1)
}

// maxRisk implements Risk and AddedRisk. baselineShare is the share, 0 to 1, of the probability
// without d that is subtracted from the result.
func (o *Occupancy) maxRisk(d *Demand, near, far, bound, baselineShare float64) float64 {
	if o.binTokens <= 0 {
		return 1
	}
	highest := 0.0
	x := (near - o.fixedTokens) / o.binTokens
	for i := range d.size {
		if i == nearPoints {
			x = (far - o.fixedTokens) / o.binTokens
		}
		without := o.exceeds(i, x)
		risk := without * (1 - baselineShare)
		if d.prob[i] > 0 {
			risk += d.prob[i] * (o.exceedsWith(i, x, d.size[i]/o.binTokens) - without)
		}
		if highest = max(highest, risk); highest > bound {
			return highest
		}
	}
	return highest
}

// ExpectedPeak returns the highest expected use over the horizon, in tokens, of the answers
// together with d.
func (o *Occupancy) ExpectedPeak(d *Demand) float64 {
	peak := 0.0
	for i := range d.size {
		peak = max(peak, o.mean[i]+d.size[i]*d.prob[i])
	}
	return peak
}
