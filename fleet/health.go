package fleet

import "time"

// health tracks the recent failures of an endpoint. Its health check may pass all the while.
type health struct {
	// failures and successes decay over healthMemory.
	failures, successes float64
	updated             time.Duration
	// ejectedUntil is the time until which the endpoint gets no new work while others are in
	// service.
	ejectedUntil time.Duration
	ejections    int
	// told is set from when the ejection was reported until the endpoint has recovered.
	told bool
}

const (
	// healthMemory is the time over which past results decay: a few seconds, the usual length of an
	// impairment of one endpoint.
	healthMemory = 4 * time.Second
	// ejectAfter is the number of recent failures, and ejectShare their share among recent results,
	// from which an endpoint is ejected. Single failures are normal: applications answer some
	// requests with a failure of their own.
	ejectAfter = 2.5
	ejectShare = 0.3
	// ejectFirst is the duration of the first ejection. Each further one doubles it, up to
	// ejectLongest, so that an endpoint that has recovered is soon tried again.
	ejectFirst   = 1500 * time.Millisecond
	ejectLongest = 6 * time.Second
	// unreachableFor is how long an endpoint that refused a connection gets no new work.
	unreachableFor = 500 * time.Millisecond
	// silentFor is how long an endpoint gets no new work after it accepted work and did not answer
	// in time: its queue is longer than this node knows, or it hangs.
	silentFor = time.Second
)

func (h *health) decay(now time.Duration) {
	elapsed := now - h.updated
	h.updated = now
	if elapsed <= 0 {
		return
	}
	keep := 1 - float64(elapsed)/float64(healthMemory)
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
// reach ejectAfter and ejectShare.
func (h *health) failed(now time.Duration, weight float64) {
	h.decay(now)
	h.failures += weight
	if h.failures >= ejectAfter && h.failures >= ejectShare*(h.failures+h.successes) {
		h.eject(now)
	}
}

// avoid keeps new work away from the endpoint for at least the given time.
func (h *health) avoid(now, wait time.Duration) {
	h.ejectedUntil = max(h.ejectedUntil, now+wait)
}

func (h *health) eject(now time.Duration) {
	wait := min(ejectFirst<<min(h.ejections, 4), ejectLongest)
	h.ejections++
	h.avoid(now, wait)
	h.failures = 0
}

// penalty returns the share of failures in recent results, from 0 to 1, smoothed by two assumed
// successes.
func (h *health) penalty(now time.Duration) float64 {
	h.decay(now)
	const goodPrior = 2
	return h.failures / (h.failures + h.successes + goodPrior)
}
