package relay

import (
	"context"
	"slices"
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
	if p.Life().Err() != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, deathCheck)
	defer cancel()
	return j.Client.Refuses(ctx, p.Instance().Address)
}

// strikeIfDead holds the death of the placement's endpoint against the request, once. One
// that had said that it leaves did not die of the request.
func (j *job) strikeIfDead(ctx context.Context, p *fleet.Placement) {
	in := p.Instance()
	key := in.Incarnation().Key()
	if leaving(p) && p.Life().Err() == nil || slices.Contains(j.struck, key) || !j.gone(ctx, p) {
		return
	}
	j.struck = append(j.struck, key)
	// Until it ends, or waits for its turn to run again, the request may be at work elsewhere.
	j.setClaim(true)
	strikes := j.Strikes.Add(j.r.Fingerprint, uint32(key))
	metrics.Count("endpoint_died")
	j.Log.Warn("endpoint died of a request", zap.String("request", j.r.ID), zap.String("endpoint", in.ID),
		logging.Work(uint64(j.r.Fingerprint)), zap.String("address", in.Address), zap.Int("strikes", strikes))
}

// deadly tells whether so many endpoints died of the request, or may die of its copies, that
// it must not go on.
func (j *job) deadly() bool {
	strikes := j.Strikes.Count(j.r.Fingerprint)
	if strikes == 0 || j.own == nil {
		return strikes >= strikeLimit
	}
	ahead, _ := j.Claims.ahead(*j.own)
	return strikes+ahead >= strikeLimit
}

func leaving(p *fleet.Placement) bool {
	select {
	case <-p.Leaving():
		return true
	default:
		return false
	}
}
