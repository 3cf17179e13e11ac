package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/logging"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// A request may kill each endpoint that runs it, and comes again. It is known by the deaths
// at which it ran. A connection that breaks is none: links reset connections and endpoints
// lose single answers, and work that met three of those would be refused although it harms
// nobody. An endpoint that has died refuses connections, or has started again.

// deathCheck bounds the look at an endpoint that broke a connection; one that has died
// refuses within a round trip.
const deathCheck = 50 * time.Millisecond

// gone tells whether the placement's incarnation of its endpoint has ended.
func (j *job) gone(ctx context.Context, p *fleet.Placement) bool {
	if p.EndpointContext().Err() != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, deathCheck)
	defer cancel()
	return j.Client.Refuses(ctx, p.Instance().Address)
}

// strikeIfDead holds the death of the placement's endpoint against the request. One that had
// said that it leaves did not die of the request.
func (j *job) strikeIfDead(ctx context.Context, p *fleet.Placement) {
	in := p.Instance()
	if leaving(p) && p.EndpointContext().Err() == nil || !j.gone(ctx, p) {
		return
	}
	strikes := j.Strikes.Add(j.r.Fingerprint, uint32(in.Incarnation().Key()))
	metrics.Count("endpoint_died")
	j.Log.Warn("endpoint died of a request", zap.String("request", j.r.ID), zap.String("endpoint", in.ID),
		logging.Work(uint64(j.r.Fingerprint)), zap.String("address", in.Address), zap.Int("strikes", strikes))
}

// strikeIfCut does the same for a stream that was cut off and may go on from a copy, which
// should not pause for that question. Only if the death would be the last one allowed is it
// answered at once; else the returned function waits for the answer. A caller that is told
// of the loss may send the request again at once, and the strike has to be there before it.
func (j *job) strikeIfCut(ctx context.Context, p *fleet.Placement) (wait func()) {
	if j.Strikes.Count(j.r.Fingerprint)+1 >= strikeLimit {
		j.strikeIfDead(ctx, p)
		return func() {}
	}
	var asked sync.WaitGroup
	asked.Go(func() { j.strikeIfDead(ctx, p) })
	return asked.Wait
}

// deadly tells whether so many endpoints died of the request that it must not go on.
func (j *job) deadly() bool { return j.Strikes.Count(j.r.Fingerprint) >= strikeLimit }

func leaving(p *fleet.Placement) bool {
	select {
	case <-p.Leaving():
		return true
	default:
		return false
	}
}
