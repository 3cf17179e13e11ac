package fleet

import "time"

// health tracks the recent failures of an endpoint. An endpoint may fail requests while its health
// check passes.
type health struct {
	// failures and successes decay over healthDecayTime.
	failures, successes float64
	updated             time.Duration
	// ejectedUntil is the time until which the endpoint gets no new work while others are in
	// service.
	ejectedUntil time.Duration
	ejections    int
	// reported is set once the exclusion of the endpoint has been reported through OnExclusion, and
	// reset when its readmission is reported.
	reported bool
}

const (
	// healthDecayTime is the time over which past results decay: a few seconds, the usual length of
	// an impairment of one endpoint.
	healthDecayTime = 4 * time.Second
	// minEjectFailures is the number of recent failures, and minEjectShare their share among recent
	// results, from which an endpoint is ejected. Single failures are normal: applications answer
	// some requests with a failure of their own.
	minEjectFailures = 2.5
	minEjectShare    = 0.3
	// firstEjection is the duration of the first ejection. Each further one doubles it, up to
	// maxEjection, so that an endpoint that has recovered is soon tried again.
	firstEjection = 1500 * time.Millisecond
	maxEjection   = 6 * time.Second
	// unreachableSuspension is how long an endpoint that refused a connection gets no new work.
	unreachableSuspension = 500 * time.Millisecond
	// silentSuspension is how long an endpoint gets no new work after it accepted work and did not
	// answer in time: its queue is longer than this node knows, or it hangs.
	silentSuspension = time.Second
)

func (h *health) decay(now time.Duration) {
	elapsed := now - h.updated
	h.updated = now
	if elapsed <= 0 {
		return
	}
	keep := 1 - float64(elapsed)/float64(healthDecayTime)
	h.failures *= max(keep, 0)
	h.successes *= max(keep, 0)
}

func (h *health) succeeded(now time.Duration) {
	h.decay(now)
	h.successes++
	if h.failures < 1 {
		h.ejections = 0
	}
}

// failed records a failure with the given weight, and ejects the endpoint once its recent failures
// reach minEjectFailures and minEjectShare.
func (h *health) failed(now time.Duration, weight float64) {
	h.decay(now)
	h.failures += weight
	if h.failures >= minEjectFailures && h.failures >= minEjectShare*(h.failures+h.successes) {
		h.eject(now)
	}
}

// avoid keeps new work away from the endpoint for at least the given time.
func (h *health) avoid(now, wait time.Duration) {
	h.ejectedUntil = max(h.ejectedUntil, now+wait)
}

func (h *health) eject(now time.Duration) {
	wait := min(firstEjection<<min(h.ejections, 4), maxEjection)
	h.ejections++
	h.avoid(now, wait)
	h.failures = 0
}

// failureShare returns the share of failures in recent results, from 0 to 1, smoothed by two
// assumed successes.
func (h *health) failureShare(now time.Duration) float64 {
	h.decay(now)
	const assumedSuccesses = 2
	return h.failures / (h.failures + h.successes + assumedSuccesses)
}
