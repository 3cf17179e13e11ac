package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/retry"
)

// An attempt whose connection could not be opened never arrived at an endpoint. The next attempt is
// then no retry for the endpoints and needs no retry budget, as long as no attempt of the request
// has arrived anywhere. Otherwise an endpoint that has just died, and looks empty until all nodes
// know of it, uses up the budget, and requests are refused although other endpoints have capacity.

const (
	// maxFreeSends is the number of further attempts that a request gets outside the budget.
	// Endpoints that refuse connections are soon known to all nodes, so that a request meets only a
	// few of them.
	maxFreeSends = 8
	// immediateFreeSends is the number of these attempts that follow the previous one at once. The
	// others wait, as the nodes have first to learn which endpoints are affected.
	immediateFreeSends = 3
	// freeSendPause is the wait before the first attempt that does not follow at once: a report of
	// another node arrives within two announcement intervals. It doubles with each attempt.
	freeSendPause = 20 * time.Millisecond
	// freeTargetShare is the share of the latency target that connection attempts and pauses may
	// take, and freeDeadlineShare that of the time until the deadline if there is no target. A
	// refused connection takes milliseconds, but one that times out takes most of that share.
	freeTargetShare   = 0.5
	freeDeadlineShare = 0.125
)

// arrivals records what became of the attempts of a request before one of them arrived.
type arrivals struct {
	// arrived is set once an attempt may have arrived at an endpoint.
	arrived bool
	// free is the number of attempts that were made outside the retry budget.
	free int
	// lost is the time spent on connections that could not be opened and on pauses.
	lost time.Duration
}

// newArrivals returns the record of a request that begins at this node. What the attempts of
// another node have met is not known here, so they count as arrived.
func newArrivals(r *Request) arrivals { return arrivals{arrived: r.Runs > 0 || r.Counted} }

// recordArrival records whether an attempt that took this long arrived at its endpoint.
func (j *job) recordArrival(p *fleet.Placement, took time.Duration, err error) {
	var failed *h1.Error
	if errors.As(err, &failed) && !failed.Sent {
		j.arrivals.lost += took
		if h1.Refused(err) {
			j.recordRefused(p)
		}
		return
	}
	j.arrivals.arrived = true
}

// freeSend reports whether the request may be sent again outside the retry budget after this
// result, and counts the attempt.
func (j *job) freeSend(got attemptResult) bool {
	a := &j.arrivals
	if got.cause != causeUnreachable || a.arrived || a.free >= maxFreeSends || a.lost >= j.freeTime() ||
		j.Fleet.Disabled[fleet.UnreachableReports] || j.Fleet.Disabled[fleet.Retries] {
		return false
	}
	a.free++
	metrics.Count("send_not_arrived")
	j.Log.Debug("request not arrived, sent again", zap.String("request", j.r.ID), zap.String("endpoint", j.result.Endpoint),
		zap.Int("again", a.free), zap.Duration("lost", a.lost))
	return true
}

// paidAttempts returns the number of attempts that count against maxSends.
func (j *job) paidAttempts() int { return j.result.Attempts - j.arrivals.free }

// freeTime returns the time that connection attempts and pauses may take.
func (j *job) freeTime() time.Duration {
	if target := j.r.Route.TargetLatency; target > 0 {
		return time.Duration(freeTargetShare * float64(target))
	}
	return time.Duration(freeDeadlineShare * float64(j.r.Deadline.Sub(j.r.Received)))
}

// pauseBeforeFreeSend waits before an attempt that does not follow the previous one at once. The
// wait ends early with ctx.
func (j *job) pauseBeforeFreeSend(ctx context.Context) {
	if pause := j.arrivals.pause(j.freeTime()); pause > 0 {
		retry.Sleep(ctx, pause)
	}
}

// pause returns the wait before the next attempt and counts it as lost time.
func (a *arrivals) pause(limit time.Duration) time.Duration {
	further := a.free - immediateFreeSends
	if a.arrived || further <= 0 {
		return 0
	}
	pause := min(freeSendPause<<(further-1), max(limit-a.lost, 0))
	a.lost += pause
	return pause
}
