package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/logging"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/quarantine"
	"github.com/crocusreel/crocusreel/retry"
)

// A deadly request kills each endpoint that runs it, and its caller sends it again. It is
// recognized by the deaths of endpoints on which it ran. A broken connection alone does not count
// as a death: links reset connections and endpoints lose single answers, and work that met three of
// those would be refused although it is harmless. An endpoint that has died refuses connections or
// has restarted.

// A node that is cut off from some endpoints, or from all, is refused by live ones, too. A refused
// connection is therefore compared with one to another endpoint, and with one of another node.

// maxComparedEndpoints is the number of other endpoints that are tried for the comparison.
const maxComparedEndpoints = 3

// deathCheckTimeout limits the connection attempt to an endpoint that broke a connection. An
// endpoint that has died refuses within a round trip.
const deathCheckTimeout = 50 * time.Millisecond

// endpointGone reports whether the placement's incarnation of its endpoint seems to have ended from
// this node's point of view.
func (j *job) endpointGone(ctx context.Context, p *fleet.Placement) bool {
	if p.EndpointContext().Err() != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, deathCheckTimeout)
	defer cancel()
	return h1.Refused(j.Client.Dial(ctx, p.Instance().Address))
}

// endpointDied reports whether the placement's incarnation of its endpoint has ended.
func (j *job) endpointDied(ctx context.Context, p *fleet.Placement) bool {
	if p.EndpointContext().Err() != nil {
		return true
	}
	if !j.endpointGone(ctx, p) {
		return false
	}
	j.recordRefused(p)
	cause := ""
	switch others := j.Fleet.OtherEndpoints(p.Instance(), maxComparedEndpoints); {
	case len(others) > 0 && !j.connectsToAny(ctx, others):
		cause = "this node reaches no other one either"
	case j.acceptsOthers(ctx, p.Instance()):
		cause = "it accepts connections of another node"
	default:
		return true
	}
	metrics.Count("endpoint_death_not_counted")
	j.Log.Info("death of an endpoint not counted", zap.String("request", j.r.ID),
		zap.String("endpoint", p.Instance().ID), zap.String("cause", cause))
	return false
}

// witnessTimeout limits the question to another node, which connects to the endpoint.
const witnessTimeout = deathCheckTimeout + 30*time.Millisecond

// acceptsOthers reports whether the endpoint is known to accept connections of another node.
func (j *job) acceptsOthers(ctx context.Context, in fleet.Instance) bool {
	if j.Witness == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	refuses, known := j.Witness(ctx, in)
	return known && !refuses
}

func (l *Relay) connectsToAny(ctx context.Context, endpoints []fleet.Instance) bool {
	for _, in := range endpoints {
		if l.connects(ctx, in.Address) {
			return true
		}
	}
	return false
}

func (l *Relay) connects(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, deathCheckTimeout)
	defer cancel()
	return l.Client.Dial(ctx, address) == nil
}

// strikeIfDead records a strike against the request if the placement's endpoint has died. An
// endpoint that announced its departure is exempt, because it did not die of the request, unless
// its incarnation is known to have ended: a restart marks the old incarnation as leaving, too. events is
// the number of events that the caller had when the run was lost.
func (j *job) strikeIfDead(ctx context.Context, p *fleet.Placement, events int) {
	in := p.Instance()
	if leaving(p) && p.EndpointContext().Err() == nil || !j.endpointDied(ctx, p) {
		return
	}
	j.recordPartsCrash(p)
	strikes := j.Strikes.Add(j.r.Fingerprint, uint32(in.Incarnation().Key()))
	metrics.Count("endpoint_died")
	j.Log.Warn("endpoint died of a request", zap.String("request", j.r.ID), zap.String("endpoint", in.ID),
		logging.FingerprintField(uint64(j.r.Fingerprint)), zap.String("address", in.Address), zap.Int("strikes", strikes),
		zap.Strings("parts", quarantine.Strings(j.r.Parts)), zap.Int("events", events))
	j.struck.Store(true)
}

// announceTimeout limits the wait until a death has been announced.
const announceTimeout = 100 * time.Millisecond

// announceDeath returns once the other nodes know the death. The caller learns of it afterwards only: it
// may send the request again at once, and at any node.
func (j *job) announceDeath(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	j.Strikes.Announce(ctx)
	retry.Sleep(ctx, claimSettleTime)
}

// strikeAfterCut calls strikeIfDead for a stream that was cut off and may be resumed from a copy.
// The check runs in the background so that it does not delay the resumption, and the returned
// function waits for it. If this death would reach strikeLimit, or the run had not gone on past its
// first event, the check is finished before strikeAfterCut returns. A caller that learns of the loss
// may send the request again immediately, and the strike must be recorded before that.
func (j *job) strikeAfterCut(ctx context.Context, p *fleet.Placement) (wait func()) {
	events := j.prog.count
	if !j.proven || j.Strikes.Count(j.r.Fingerprint)+1 >= strikeLimit {
		j.strikeIfDead(ctx, p, events)
		return func() {}
	}
	var check sync.WaitGroup
	check.Go(func() { j.strikeIfDead(ctx, p, events) })
	return check.Wait
}

// strikeLimitReached reports whether so many endpoints died of the request that it must not
// continue.
func (j *job) strikeLimitReached() bool { return j.Strikes.Count(j.r.Fingerprint) >= strikeLimit }

func leaving(p *fleet.Placement) bool {
	select {
	case <-p.Leaving():
		return true
	default:
		return false
	}
}
