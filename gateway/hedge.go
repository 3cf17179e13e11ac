package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

const (
	// leastHedgeDelay keeps ordinary jitter from causing a second call.
	leastHedgeDelay = 20 * time.Millisecond
	// firstHedgeDelay is used until latencies are known.
	firstHedgeDelay = 100 * time.Millisecond
	// lateDeviations is the number of mean deviations above the mean at which a call
	// is late.
	lateDeviations = 6
	// latencyWeight is the weight of one call in the running mean.
	latencyWeight = 0.05
)

// errOvertaken is the cause of cancelling the slower of two calls.
var errOvertaken = errors.New("another endpoint replied first")

// latency keeps a running mean and mean deviation of call times.
type latency struct {
	known           bool
	mean, deviation float64 // seconds
}

func (l *latency) add(d time.Duration) {
	s := d.Seconds()
	if !l.known {
		l.known, l.mean, l.deviation = true, s, s/2
		return
	}
	difference := s - l.mean
	l.mean += latencyWeight * difference
	l.deviation += latencyWeight * (max(difference, -difference) - l.deviation)
}

func (l *latency) late() time.Duration {
	if !l.known {
		return firstHedgeDelay
	}
	return max(time.Duration((l.mean+lateDeviations*l.deviation)*float64(time.Second)), leastHedgeDelay)
}

// exchanged is the end of one of a call's exchanges.
type exchanged struct {
	spec  *config.EndpointSpec
	reply endpoint.Reply
	err   error
}

// send makes the call. An idempotent call that is late is sent to a second endpoint
// as well, and the first reply wins: a frozen endpoint breaks no connection, and a
// lookup would otherwise wait for the route's whole timeout. Each second call is
// paid from the workspace's retry budget, so that slow endpoints are not given
// twice the load.
func (c *call) send(ctx context.Context, first *config.EndpointSpec) (endpoint.Reply, *config.EndpointSpec, error) {
	c.excluded = append(c.excluded, first.Name)
	if c.NonIdempotent {
		reply, err := c.exchange(ctx, first)
		return reply, first, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errOvertaken)
	ends := make(chan exchanged, 2)
	begin := func(spec *config.EndpointSpec) {
		go func() {
			reply, err := c.exchange(ctx, spec)
			ends <- exchanged{spec: spec, reply: reply, err: err}
		}()
	}
	begin(first)
	running := 1
	late := time.NewTimer(c.g.balancer.hedgeDelay())
	defer late.Stop()
	for {
		select {
		case e := <-ends:
			running--
			if e.err == nil || running == 0 {
				return e.reply, e.spec, e.err
			}
		case <-late.C:
			if second, ok := c.second(); ok {
				begin(second)
				running++
			}
		}
	}
}

// second chooses another endpoint for a late call, if one is left and the budget
// allows it.
func (c *call) second() (*config.EndpointSpec, bool) {
	spec, _ := c.choose()
	if spec == nil || !c.g.payRetry(c.Workspace.Name, spec.Name, c.snap.config.Limits.RetryRatio) {
		return nil, false
	}
	c.excluded = append(c.excluded, spec.Name)
	c.track.step("hedged", spec.Name, "")
	metrics.Retried("hedge")
	return spec, true
}
