package scheduler

import (
	"time"

	"github.com/crocusreel/crocusreel/policy"
)

// backlog measures the rate at which a class of requests is served while some of them are queued.
// Its clock stops while nothing is queued: a class that receives one request per minute is served
// once per minute, which says nothing about the capacity of the engines. Using that rate would
// predict waits of minutes and refuse requests that fit at once.
type backlog struct {
	rate policy.ServiceRate
	// clock is the total time during which requests of the class were queued.
	clock     time.Duration
	updatedAt time.Duration
	queued    bool
}

// advance moves the clock forward to now.
func (b *backlog) advance(now time.Duration) {
	if b.queued {
		b.clock += max(now-b.updatedAt, 0)
	}
	b.updatedAt = now
}

// served records that a request was granted a permit.
func (b *backlog) served() {
	if b.queued {
		b.rate.RecordStart(b.clock)
	}
}

// perSecond returns the service rate in requests per second, or 0 if it is not known.
func (b *backlog) perSecond() float64 { return b.rate.PerSecond(b.clock) }
