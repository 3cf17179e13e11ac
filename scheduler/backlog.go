package scheduler

import (
	"time"

	"github.com/crocusreel/crocusreel/policy"
)

// backlog measures how fast a class of work is served while some of it waits. Its
// clock stands still otherwise: what comes once a minute is served once a minute,
// and says nothing about what the engines could do. Taken as their rate it would
// predict waits of minutes and refuse work that fits at once.
type backlog struct {
	rate policy.ServiceRate
	// clock is the time during which something waited.
	clock     time.Duration
	updatedAt time.Duration
	queued    bool
}

// advance moves the clock to the time now.
func (b *backlog) advance(now time.Duration) {
	if b.queued {
		b.clock += max(now-b.updatedAt, 0)
	}
	b.updatedAt = now
}

// served tells that a request began.
func (b *backlog) served() {
	if b.queued {
		b.rate.Served(b.clock)
	}
}

// perSecond returns the service rate; 0 if nothing is known.
func (b *backlog) perSecond() float64 { return b.rate.PerSecond(b.clock) }
