package policy

import "math"

const (
	// lengthBuckets is the number of logarithmic buckets for answer lengths. With four buckets per
	// doubling, their upper bounds range from 4 to about 55,100 tokens; longer answers count in the
	// last bucket.
	lengthBuckets    = 56
	bucketsPerOctave = 4
	firstOctave      = 2
	// lengthDecayAnswers is the number of answers after which an observation has lost most of its
	// weight, so that the estimate follows a changing mix of requests.
	lengthDecayAnswers = 256
	// paretoShape is the exponent of the Pareto tail that is assumed beyond the last bucket and
	// where too few longer answers have been observed.
	paretoShape = 2
)

// bucketBound holds the upper bound of each bucket in tokens.
var bucketBound = func() (b [lengthBuckets]float64) {
	for i := range b {
		b[i] = math.Exp2(firstOctave + float64(i)/bucketsPerOctave)
	}
	return b
}()

// bucketOf returns the index of the bucket for an answer of n tokens.
func bucketOf(n float64) int {
	if n <= bucketBound[0] {
		return 0
	}
	i := int(math.Ceil((math.Log2(n) - firstOctave) * bucketsPerOctave))
	return min(max(i, 0), lengthBuckets-1)
}

// lengthCounts is a histogram of answer lengths with exponential decay.
type lengthCounts struct {
	// completed counts completed answers by their length; censored counts answers that were cut
	// off, by the number of tokens produced until then.
	completed, censored [lengthBuckets]float32
}

// decay reduces the weight of all earlier observations by one step.
func (c *lengthCounts) decay() {
	const keep = 1 - 1.0/lengthDecayAnswers
	for i := range c.completed {
		c.completed[i] *= keep
		c.censored[i] *= keep
	}
}

// observe records a completed answer of n tokens.
func (c *lengthCounts) observe(n int) {
	c.decay()
	c.completed[bucketOf(float64(n))]++
}

// censor records an answer that was cut off after n tokens.
func (c *lengthCounts) censor(n int) {
	c.decay()
	c.censored[bucketOf(float64(n))]++
}

// Survival is the survival function of an answer's length: at[i] is the probability that the answer
// is longer than bucketBound[i] tokens.
type Survival struct {
	at [lengthBuckets]float32
}

// mass returns the probability that the length falls into bucket i.
func (s *Survival) mass(i int) float32 {
	if i == 0 {
		return 1 - s.at[0]
	}
	return s.at[i-1] - s.at[i]
}

// ProbExceeds returns the probability that an answer is longer than n tokens. It interpolates
// linearly within a bucket and assumes a Pareto tail beyond the last one.
func (s *Survival) ProbExceeds(n float64) float64 {
	if n <= 0 {
		return 1
	}
	if n <= bucketBound[0] {
		return 1 + (float64(s.at[0])-1)*n/bucketBound[0]
	}
	last := lengthBuckets - 1
	if n >= bucketBound[last] {
		r := bucketBound[last] / n
		return float64(s.at[last]) * r * r
	}
	i := bucketOf(n)
	lo, hi := bucketBound[i-1], bucketBound[i]
	f := (n - lo) / (hi - lo)
	return float64(s.at[i-1])*(1-f) + float64(s.at[i])*f
}

// minSurvival is the survival probability below which the estimate has too few longer answers to be
// used; the Pareto tail replaces it.
const minSurvival = 1e-3

// ProbRemainingExceeds returns the conditional probability that an answer that has produced n
// tokens produces more than h further ones.
func (s *Survival) ProbRemainingExceeds(n, h float64) float64 {
	now := s.ProbExceeds(n)
	if now < minSurvival {
		return math.Pow(max(n, 1)/(max(n, 1)+h), paretoShape)
	}
	return min(s.ProbExceeds(n+h)/now, 1)
}

// Mean returns the expected length in tokens.
func (s *Survival) Mean() float64 {
	mean := bucketBound[0] * (1 + float64(s.at[0])) / 2
	for i := 1; i < lengthBuckets; i++ {
		mean += (bucketBound[i] - bucketBound[i-1]) * float64(s.at[i-1]+s.at[i]) / 2
	}
	return mean
}

// MeanRemaining returns the expected number of further tokens of an answer that has produced n
// tokens.
func (s *Survival) MeanRemaining(n float64) float64 {
	now := s.ProbExceeds(n)
	if now < minSurvival {
		return max(n, 1)
	}
	prev, left, mean := n, 1.0, 0.0
	for i := range bucketBound {
		if bucketBound[i] <= n {
			continue
		}
		next := float64(s.at[i]) / now
		mean += (bucketBound[i] - prev) * (left + next) / 2
		prev, left = bucketBound[i], next
	}
	return mean
}
