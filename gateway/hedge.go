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
	// minHedgeDelay keeps normal jitter from causing a hedged call.
	minHedgeDelay = 20 * time.Millisecond
	// initialHedgeDelay is the hedge delay while no latency has been recorded.
	initialHedgeDelay = 100 * time.Millisecond
	// hedgeDeviations is the number of mean deviations above the mean latency at which a call is
	// late.
	hedgeDeviations = 6
	// latencyWeight is the weight of one call in the moving averages.
	latencyWeight = 0.05
)

// errHedgeLost is the cancellation cause of the slower of two hedged calls.
var errHedgeLost = errors.New("another endpoint replied first")

// latency holds the moving averages of call latencies and of their deviations from the mean.
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

func (l *latency) hedgeDelay() time.Duration {
	if !l.known {
		return initialHedgeDelay
	}
	return max(time.Duration((l.mean+hedgeDeviations*l.deviation)*float64(time.Second)), minHedgeDelay)
}

// sendResult is the result of sending a call to one endpoint.
type sendResult struct {
	spec  *config.EndpointSpec
	reply endpoint.Reply
	err   error
}

// sendHedged sends the call. If an idempotent call is late, it is also sent to a second endpoint,
// and the first reply is used: a frozen endpoint does not break its connections, and a lookup would
// otherwise wait for the route's whole timeout. The second call is charged to the retry budgets of
// the workspace and of the second endpoint, so that hedging does not double the load on slow
// endpoints.
func (c *call) sendHedged(ctx context.Context, first *config.EndpointSpec) (endpoint.Reply, *config.EndpointSpec, error) {
	c.excluded = append(c.excluded, first.Name)
	if c.NonIdempotent {
		reply, err := c.sendTo(ctx, first)
		return reply, first, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errHedgeLost)
	results := make(chan sendResult, 2)
	start := func(spec *config.EndpointSpec) {
		go func() {
			reply, err := c.sendTo(ctx, spec)
			results <- sendResult{spec: spec, reply: reply, err: err}
		}()
	}
	start(first)
	running := 1
	hedgeTimer := time.NewTimer(c.g.balancer.hedgeDelay())
	defer hedgeTimer.Stop()
	for {
		select {
		case e := <-results:
			running--
			if e.err == nil || running == 0 {
				return e.reply, e.spec, e.err
			}
		case <-hedgeTimer.C:
			if second, ok := c.hedgeEndpoint(); ok {
				start(second)
				running++
			}
		}
	}
}

// hedgeEndpoint chooses another endpoint for a late call, if one is left and the budgets allow it.
func (c *call) hedgeEndpoint() (*config.EndpointSpec, bool) {
	spec, _ := c.chooseEndpoint()
	if spec == nil || !c.g.allowRetry(c.Workspace.Name, spec.Name, c.snap.config.Limits.RetryRatio) {
		return nil, false
	}
	c.excluded = append(c.excluded, spec.Name)
	c.track.step("hedged", spec.Name, "")
	metrics.CountRetry("hedge")
	return spec, true
}
