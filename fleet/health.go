package fleet

import "time"

// health remembers failures of an endpoint whose health check may be good.
type health struct {
	// failures and successes decay with healthMemory.
	failures, successes float64
	updated             time.Duration
	// ejectedUntil keeps new work away.
	ejectedUntil time.Duration
	ejections    int
	// told is set from when the exclusion was told of until the endpoint is good again.
	told bool
}

const (
	// healthMemory is the time constant at which past results are forgotten: a few
	// seconds, the length of a usual impairment of one endpoint.
	healthMemory = 4 * time.Second
	// ejectAfter is the number of recent failures, and ejectShare their share among
	// recent results, from which an endpoint is ejected. Single failures are usual:
	// applications answer some requests with a failure of their own.
	ejectAfter = 2.5
	ejectShare = 0.3
	// ejectFirst is the first time of ejection; each further one doubles it up to
	// ejectLongest, so that an endpoint that has recovered is soon tried again.
	ejectFirst   = 1500 * time.Millisecond
	ejectLongest = 6 * time.Second
	// unreachableFor keeps work away from an endpoint that refused a connection.
	unreachableFor = 500 * time.Millisecond
	// silentFor keeps work away from an endpoint that has taken work and answered nothing
	// for long: its queue is longer than is known here, or it hangs.
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

// failed records a failure of the given weight; enough of them eject.
func (h *health) failed(now time.Duration, weight float64) {
	h.decay(now)
	h.failures += weight
	if h.failures >= ejectAfter && h.failures >= ejectShare*(h.failures+h.successes) {
		h.eject(now)
	}
}

// avoid keeps new work away for some time.
func (h *health) avoid(now, wait time.Duration) {
	h.ejectedUntil = max(h.ejectedUntil, now+wait)
}

func (h *health) eject(now time.Duration) {
	wait := min(ejectFirst<<min(h.ejections, 4), ejectLongest)
	h.ejections++
	h.avoid(now, wait)
	h.failures = 0
}

// penalty is the share of recent failures, 0 to 1, smoothed by two good results.
func (h *health) penalty(now time.Duration) float64 {
	h.decay(now)
	const goodPrior = 2
	return h.failures / (h.failures + h.successes + goodPrior)
}
