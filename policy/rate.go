package policy

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the exponential average of a service rate.
const rateTimeConstant = 10 * time.Second

// ServiceRate measures the rate at which requests start, as an exponential moving average.
type ServiceRate struct {
	perSecond          float64
	updatedAt, firstAt time.Duration
	started            bool
}

// RecordStart records that a request started at the time now.
func (r *ServiceRate) RecordStart(now time.Duration) {
	if !r.started {
		r.started, r.firstAt, r.updatedAt = true, now, now
	}
	r.decay(now)
	r.perSecond += 1 / rateTimeConstant.Seconds()
}

// PerSecond returns the rate at the time now, in requests per second; 0 if it is not known yet.
func (r *ServiceRate) PerSecond(now time.Duration) float64 {
	if !r.started {
		return 0
	}
	r.decay(now)
	// Shortly after the first request, the average covers only part of its time constant; the rate
	// is scaled up accordingly.
	covered := 1 - math.Exp(-float64(now-r.firstAt)/float64(rateTimeConstant))
	if covered < minCoverage {
		return 0
	}
	return r.perSecond / covered
}

// minCoverage is the fraction of the average that must be covered before the rate is reported.
const minCoverage = 0.1

func (r *ServiceRate) decay(now time.Duration) {
	if now <= r.updatedAt {
		return
	}
	r.perSecond *= math.Exp(-float64(now-r.updatedAt) / float64(rateTimeConstant))
	r.updatedAt = now
}
