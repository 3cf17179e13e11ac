// Package brittle decides how much many nodes together may send to an endpoint that falls over if it
// has to turn away more than a given number of requests per second. The nodes divide a rate below the
// endpoint's capacity among themselves, tell each other of each request that was turned away, and all
// of them then send less.
package brittle

import (
	"time"

	"github.com/crocusreel/crocusreel/pace"
)

const (
	// utilization is the share of an endpoint's capacity that all nodes together use at most.
	utilization = 0.7
	// overlapShare is the number of nodes whose slots overlap, as a share of the requests that an
	// endpoint runs at a time.
	overlapShare = 0.4
	// window is the length of the sliding window in which rejections are counted.
	window = time.Second
	// holdShare is the share of the allowed rejections from which nothing is sent until the oldest
	// ones have left the window. The rest is for requests that are under way at that time.
	holdShare = 0.4
	// holdJitter is the maximum random time that is added to a hold, so that not all nodes send
	// again at the same moment.
	holdJitter = 300 * time.Millisecond
	// decreaseFactor is applied to the share of the rate after a rejection, at most once in
	// decreaseGap: the rejections of one moment have one cause.
	decreaseFactor = 0.6
	decreaseGap    = 150 * time.Millisecond
	// increaseFactor is applied to that share in each increaseGap without a rejection.
	increaseFactor = 1.12
	increaseGap    = 500 * time.Millisecond
	// pacedFrom is the utilization from which nodes send in slots only. Below it, requests rarely
	// meet.
	pacedFrom = 0.45
	// pacedAfterRejection is how long nodes send in slots only after a rejection.
	pacedAfterRejection = 10 * time.Second
	minShare            = 0.02
)

// Rate returns the number of requests per second that all nodes together send to an endpoint that
// runs slots requests at a time, each for workTime, before any rejection.
func Rate(slots int, workTime time.Duration) float64 {
	return utilization * float64(max(slots, 1)) / max(workTime, time.Millisecond).Seconds()
}

// SlotLength returns how long each node's slots at the endpoint last if all nodes together have
// perSecond slots per second: the nodes whose slots overlap may send at the same moment, and the
// endpoint must have room for all of them.
func SlotLength(slots int, perSecond float64) time.Duration {
	overlapping := max(overlapShare*float64(slots), 1)
	return min(time.Duration(overlapping/perSecond*float64(time.Second)), pace.SlotLength)
}

// Guard is what one node knows about the rejections of one endpoint. The zero value knows of none. It
// is not safe for concurrent use.
type Guard struct {
	// rejections are the times of the rejections, by any node's requests, within the window.
	rejections []time.Duration
	// reduction is 1 less the share of the rate that is used. changedAt is the time of its last
	// change.
	reduction float64
	changedAt time.Duration
	heldUntil time.Duration
	// rejectedAt is the time of the last rejection, 0 if there was none.
	rejectedAt time.Duration
}

// Rejected records that the endpoint, which may turn away perSecond requests per second, has turned
// away count requests of any node. jitter is a random number from 0 to 1.
func (g *Guard) Rejected(now time.Duration, count int, perSecond, jitter float64) {
	g.prune(now)
	g.rejectedAt = now
	for range count {
		g.rejections = append(g.rejections, now)
	}
	share := g.Share(now)
	if share == 1 || now-g.changedAt >= decreaseGap {
		g.reduction, g.changedAt = 1-max(decreaseFactor*share, minShare), now
	}
	allowed := max(int(holdShare*perSecond), 1)
	if over := len(g.rejections) - allowed; over >= 0 {
		g.heldUntil = max(g.heldUntil, g.rejections[over]+window+time.Duration(jitter*float64(holdJitter)))
	}
}

func (g *Guard) prune(now time.Duration) {
	kept := g.rejections[:0]
	for _, at := range g.rejections {
		if now-at < window {
			kept = append(kept, at)
		}
	}
	g.rejections = kept
}

// Share returns the share of the rate that is used now, at most 1.
func (g *Guard) Share(now time.Duration) float64 {
	for g.reduction > 0 && now-g.changedAt >= increaseGap {
		g.changedAt += increaseGap
		g.reduction = max(1-(1-g.reduction)*increaseFactor, 0)
	}
	return 1 - g.reduction
}

// Paced reports whether the nodes send in slots only, given the utilization of the endpoints.
func (g *Guard) Paced(now time.Duration, utilization float64) bool {
	return utilization > pacedFrom || g.rejectedAt != 0 && now-g.rejectedAt < pacedAfterRejection
}

// HeldUntil returns the time until which nothing is sent; it may have passed.
func (g *Guard) HeldUntil() time.Duration { return g.heldUntil }
