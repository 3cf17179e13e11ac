package policy

import "math"

const (
	// baseRisk is the accepted risk if one second of stall and one preemption have the same weight;
	// riskExponent is the exponent with which the ratio of the weights changes it.
	baseRisk     = 0.04
	riskExponent = 0.3
	// maxRiskFactor bounds the factor by which a RiskController changes the risk, up or down.
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

// RiskController adjusts the risk accepted by a Reservation to the observed preemptions. A
// preemption lowers the risk and a completed answer raises it; the steps are sized so that the risk
// settles where the number of preemptions per answer meets the target. This corrects for a biased
// estimate of answer lengths.
type RiskController struct {
	base, target float64
	// logShift is the logarithm of the ratio of the risk to base.
	logShift float64
	fixed    bool
}

// NewRiskController returns a RiskController for the weights that the operator gives to one second
// of stall and to one preemption.
func NewRiskController(stall, preemption float64) *RiskController {
	c := &RiskController{}
	c.SetWeights(stall, preemption)
	return c
}

// NewFixedRiskController returns a RiskController that always accepts the same risk, for
// comparison.
func NewFixedRiskController(risk float64) *RiskController {
	return &RiskController{base: risk, fixed: true}
}

// SetWeights changes the weights of one second of stall and of one preemption. A higher weight of
// preemption lowers the accepted risk.
func (c *RiskController) SetWeights(stall, preemption float64) {
	if c.fixed {
		return
	}
	ratio := float64(maxWeightRatio)
	if preemption > 0 {
		ratio = min(max(stall/preemption, minWeightRatio), maxWeightRatio)
	}
	c.base = baseRisk * math.Pow(ratio, riskExponent)
	c.target = min(max(baseTarget*ratio, minTarget), maxTarget)
}

// Risk returns the risk to accept, a probability.
func (c *RiskController) Risk() float64 { return c.base * math.Exp(c.logShift) }

// RecordPreemptions records n preemptions at one engine since its last load report. Several
// preemptions in one report stem from the same shortage of memory, so they count as one.
func (c *RiskController) RecordPreemptions(n int) {
	if n > 0 {
		c.adjust(-riskStep * (1 - c.target))
	}
}

// RecordCompletion records an answer that completed while other requests were waiting. The caller
// must not report other answers: a higher risk admits more only if requests are waiting.
func (c *RiskController) RecordCompletion() { c.adjust(riskStep * c.target) }

func (c *RiskController) adjust(by float64) {
	if c.fixed {
		return
	}
	bound := math.Log(maxRiskFactor)
	c.logShift = min(max(c.logShift+by, -bound), bound)
}
