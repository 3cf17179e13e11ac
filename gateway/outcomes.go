package gateway

import "github.com/crocusreel/crocusreel"

// outcomes combines the outcomes of the attempts at one request. If the first attempt was lost at
// an endpoint and the second was refused for lack of capacity, the request may have run: the
// refusal of the last attempt alone would wrongly report not_run.
type outcomes struct {
	mayHaveRun bool
}

// add records the refusal of one attempt and returns it with the outcome that holds for all
// attempts so far.
func (o *outcomes) add(r *crocusreel.Refusal) *crocusreel.Refusal {
	if r.Outcome != crocusreel.OutcomeNotRun {
		o.mayHaveRun = true
		return r
	}
	if !o.mayHaveRun {
		return r
	}
	t := *r
	t.Outcome = crocusreel.OutcomeUnknown
	return &t
}
