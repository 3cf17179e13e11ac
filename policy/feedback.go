package policy

import "math"

const (
	// baseRisk is the accepted risk if one second of stall and one preemption have the same weight;
	// riskExponent is the exponent with which the ratio of the weights changes it.
	baseRisk     = 0.04
	riskExponent = 0.3
	// maxRiskFactor bounds the factor by which the feedback changes the risk, up or down.
	maxRiskFactor = 2
	// riskStep is the amount by which one preemption lowers the logarithm of the risk, apart from
	// the factor 1 - target.
	riskStep = 0.05
	// baseTarget is the accepted number of preemptions per answer if one second of stall and one
	// preemption have the same weight. minTarget and maxTarget bound the target.
	baseTarget = 0.008
	minTarget  = 0.004
	maxTarget  = 0.02
	// minWeightRatio and maxWeightRatio bound the ratio of the weight of stall to that of
	// preemption.
	minWeightRatio = 0.01
	maxWeightRatio = 100
)

// Feedback adjusts the risk accepted by a Reservation to the observed preemptions. A preemption
// lowers the risk and a completed answer raises it; the steps are sized so that the risk settles
// where the number of preemptions per answer meets the target. This corrects for a biased estimate
// of answer lengths.
type Feedback struct {
	base, target float64
	// logShift is the logarithm of the ratio of the risk to base.
	logShift float64
	fixed    bool
}

// NewFeedback returns a Feedback for the weights that the operator gives to one second of stall and
// to one preemption.
func NewFeedback(stall, preemption float64) *Feedback {
	f := &Feedback{}
	f.SetWeights(stall, preemption)
	return f
}

// FixedRisk returns a Feedback that always accepts the same risk, for comparison.
func FixedRisk(risk float64) *Feedback { return &Feedback{base: risk, fixed: true} }

// SetWeights changes the weights of one second of stall and of one preemption. A higher weight of
// preemption lowers the accepted risk.
func (f *Feedback) SetWeights(stall, preemption float64) {
	if f.fixed {
		return
	}
	ratio := float64(maxWeightRatio)
	if preemption > 0 {
		ratio = min(max(stall/preemption, minWeightRatio), maxWeightRatio)
	}
	f.base = baseRisk * math.Pow(ratio, riskExponent)
	f.target = min(max(baseTarget*ratio, minTarget), maxTarget)
}

// Risk returns the risk to accept, a probability.
func (f *Feedback) Risk() float64 { return f.base * math.Exp(f.logShift) }

// Preempted records n preemptions at one engine since its last load report. Several preemptions in
// one report stem from the same shortage of memory, so they count as one.
func (f *Feedback) Preempted(n int) {
	if n > 0 {
		f.adjust(-riskStep * (1 - f.target))
	}
}

// Finished records an answer that completed while other requests were waiting. The caller must not
// report other answers: a higher risk admits more only if requests are waiting.
func (f *Feedback) Finished() { f.adjust(riskStep * f.target) }

func (f *Feedback) adjust(by float64) {
	if f.fixed {
		return
	}
	bound := math.Log(maxRiskFactor)
	f.logShift = min(max(f.logShift+by, -bound), bound)
}
