package policy

import (
	"math"

	"github.com/crocusreel/crocusreel"
)

const (
	// maxLengthKeys bounds the estimator's memory: 560 workspaces with seven models and two classes
	// need 7,840 keys.
	maxLengthKeys = 8192
	// priorWeight is the weight of a prior, as a number of answers.
	priorWeight = 16
	// priorRefreshObservations is the number of new observations of a prior after which the
	// estimates derived from it are recomputed.
	priorRefreshObservations = 32
	// Without observations, the length of an answer is assumed to be lognormal with this median, in
	// tokens, and this sigma.
	priorMedianTokens = 300
	priorSigma        = 1.0
	// shortPriorMedianTokens is the median for short work, in tokens.
	shortPriorMedianTokens = 12
)

// LengthKey identifies a group of answers whose lengths follow one distribution.
type LengthKey struct {
	Workspace string
	Class     crocusreel.Class
	Model     string
}

// lengthEstimate is the estimate for one key or prior.
type lengthEstimate struct {
	counts lengthCounts
	// running is a histogram of the answers in progress by the tokens that they have produced so
	// far.
	running  [lengthBuckets]float32
	round    uint64
	survival Survival
	prior    *lengthEstimate
	// version counts observations; priorVersion is the version of the prior from which survival was
	// computed.
	version, priorVersion uint64
	lastUsed              uint64
}

// Estimator learns the lengths of answers from completed, cut-off and running ones. A workspace
// with little history falls back on the prior of its model, and a model on the prior of its class.
type Estimator struct {
	keys        map[LengthKey]*lengthEstimate
	modelPriors map[LengthKey]*lengthEstimate
	classPriors map[crocusreel.Class]*lengthEstimate
	useCounter  uint64
	// round numbers the listings of running answers. listed holds the estimates that have a running
	// answer in the current listing, previouslyListed holds those of the previous one.
	round                    uint64
	listed, previouslyListed []*lengthEstimate
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{
		keys:        make(map[LengthKey]*lengthEstimate),
		modelPriors: make(map[LengthKey]*lengthEstimate),
		classPriors: make(map[crocusreel.Class]*lengthEstimate),
	}
}

// Observe records a completed answer of n tokens.
func (e *Estimator) Observe(k LengthKey, n int) {
	for _, l := range e.withPriors(k) {
		l.counts.observe(n)
		l.version++
		l.rebuild()
	}
}

// ObserveCensored records an answer that was cut off after n tokens.
func (e *Estimator) ObserveCensored(k LengthKey, n int) {
	if n <= 0 {
		return
	}
	for _, l := range e.withPriors(k) {
		l.counts.censor(n)
		l.version++
		l.rebuild()
	}
}

// BeginListing begins a new listing of the running answers. Without them the estimate would be
// biased after a start or a change of the mix: short answers end first, so only those would be
// known.
func (e *Estimator) BeginListing() {
	e.round++
	e.listed, e.previouslyListed = e.previouslyListed[:0], e.listed
}

// AddRunning adds an answer in progress that has produced n tokens to the listing.
func (e *Estimator) AddRunning(k LengthKey, n int) {
	b := bucketOf(float64(n))
	for _, l := range e.withPriors(k) {
		if l.round != e.round {
			l.round = e.round
			l.running = [lengthBuckets]float32{}
			e.listed = append(e.listed, l)
		}
		l.running[b]++
	}
}

// EndListing ends the listing and recomputes the affected estimates.
func (e *Estimator) EndListing() {
	for _, l := range e.previouslyListed {
		if l.round != e.round {
			l.running = [lengthBuckets]float32{}
			l.rebuild()
		}
	}
	for _, l := range e.listed {
		l.rebuild()
	}
}

// Survival returns the length distribution for k. The result is updated in place and stays valid
// until the estimator evicts k.
func (e *Estimator) Survival(k LengthKey) *Survival {
	l := e.estimate(k)
	if l.prior.version >= l.priorVersion+priorRefreshObservations {
		l.rebuild()
	}
	return &l.survival
}

// Len returns the number of keys held, not counting priors.
func (e *Estimator) Len() int { return len(e.keys) }

// withPriors returns the estimates that an answer of k updates, priors first.
func (e *Estimator) withPriors(k LengthKey) [3]*lengthEstimate {
	l := e.estimate(k)
	return [3]*lengthEstimate{l.prior.prior, l.prior, l}
}

func (e *Estimator) estimate(k LengthKey) *lengthEstimate {
	e.useCounter++
	if l, ok := e.keys[k]; ok {
		l.lastUsed = e.useCounter
		return l
	}
	if len(e.keys) >= maxLengthKeys {
		e.evict()
	}
	l := newEstimate(e.modelPrior(k))
	l.lastUsed = e.useCounter
	e.keys[k] = l
	return l
}

// evict drops the least recently used key.
func (e *Estimator) evict() {
	var oldest LengthKey
	least := uint64(math.MaxUint64)
	for k, l := range e.keys {
		if l.lastUsed < least {
			least, oldest = l.lastUsed, k
		}
	}
	delete(e.keys, oldest)
}

func (e *Estimator) modelPrior(k LengthKey) *lengthEstimate {
	k.Workspace = ""
	l, ok := e.modelPriors[k]
	if !ok {
		l = newEstimate(e.classPrior(k.Class))
		e.modelPriors[k] = l
	}
	return l
}

func (e *Estimator) classPrior(c crocusreel.Class) *lengthEstimate {
	l, ok := e.classPriors[c]
	if !ok {
		median := float64(priorMedianTokens)
		if c == crocusreel.ClassShort {
			median = shortPriorMedianTokens
		}
		l = &lengthEstimate{counts: lognormalCounts(median, priorSigma)}
		l.rebuild()
		e.classPriors[c] = l
	}
	return l
}

func newEstimate(prior *lengthEstimate) *lengthEstimate {
	l := &lengthEstimate{prior: prior}
	l.rebuild()
	return l
}

// lognormalCounts returns a histogram of a lognormal distribution with the total weight of a prior.
func lognormalCounts(median, sigma float64) (c lengthCounts) {
	below := 0.0
	for i, b := range bucketBound {
		p := 0.5 * math.Erfc(-(math.Log(b)-math.Log(median))/(sigma*math.Sqrt2))
		c.completed[i] = float32(priorWeight * (p - below))
		below = p
	}
	return c
}

// rebuild computes the survival function from the counts and the prior with the Kaplan-Meier
// (product-limit) estimator: the hazard of a bucket is the number of answers that ended there
// divided by the number that reached it. Answers that were cut off or still run are censored: they
// count up to the last length that is known of them.
//
// The sums are recomputed each time. A running total drifts away from the counts by rounding
// errors, and the resulting probabilities above 1 make every request seem to fit.
func (l *lengthEstimate) rebuild() {
	weight := float32(0)
	if l.prior != nil {
		weight = priorWeight
		l.priorVersion = l.prior.version
	}
	var hazard [lengthBuckets]float32
	atRisk := float32(0)
	for i := lengthBuckets - 1; i >= 0; i-- {
		ended := l.counts.completed[i]
		if l.prior != nil {
			ended += weight * l.prior.survival.mass(i)
		}
		// An answer censored within a bucket is at risk for half of the bucket.
		censored := l.counts.censored[i] + l.running[i]
		atRisk += ended + censored/2
		if atRisk > 0 {
			hazard[i] = min(ended/atRisk, 1)
		}
		atRisk += censored / 2
	}
	surviving := float32(1)
	for i := range hazard {
		surviving *= 1 - hazard[i]
		l.survival.at[i] = surviving
	}
}
