package scheduler

import (
	"github.com/crocusreel/crocusreel/policy"
	"github.com/crocusreel/crocusreel/quarantine"
)

// gatewayReport is a gateway's report to the scheduler of a pool.
type gatewayReport struct {
	// Gateway is the VM ID of the gateway.
	Gateway string
	// Open lists every permit of the pool that the gateway holds, unless Partial is set.
	Open     []Permit
	Partial  bool
	Releases []Release
	// Strikes are those that the gateway received from an earlier scheduler.
	Strikes []policy.Strike
	// Quarantines are the quarantined prompt prefixes that it received from an earlier scheduler.
	Quarantines []quarantine.Verdict
}

// toRemember is what a gateway remembers for the next scheduler.
type toRemember struct {
	strikes     []policy.Strike
	quarantines []quarantine.Verdict
}
