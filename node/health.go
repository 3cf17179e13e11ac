package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/reach"
	"github.com/crocusreel/crocusreel/routing"
)

const (
	// healthInterval is the interval of health checks while the store is unavailable or slow.
	// Engines stop 1.5 s after their notice. A round costs one check per busy engine, so none are
	// made while the store reports leaving endpoints.
	healthInterval = 300 * time.Millisecond
	// reinstateAfter is the time after which a health check that reported an endpoint as leaving is
	// reverted if the store is available and the endpoint's entry does not confirm it, because
	// health answers may be wrong. It is longer than any endpoint's notice period plus the
	// propagation time of its entry.
	reinstateAfter = 4 * time.Second
	// healthTimeout bounds a check, which usually takes milliseconds.
	healthTimeout = 250 * time.Millisecond
	// maxHealthChecks bounds the number of concurrent checks: an outage may have expired thousands
	// of entries.
	maxHealthChecks = 32
)

// checkHealth checks endpoints of this data centre while the store does not report which ones are
// leaving: busy engines while the store is unavailable or slow, and endpoints whose entries are
// missing and may have been withdrawn. The first node of a data centre that has not lost the service
// does it for all its nodes.
func (n *Node) checkHealth(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, healthInterval)
		if n.fleet.Disabled[fleet.HealthChecks] {
			continue
		}
		known, _ := n.config.Current()
		if known.Table == nil {
			continue
		}
		for name, service := range known.Table.Services {
			if service.HealthPath != "" && n.checksHealthOf(name) {
				n.checkAll(ctx, n.endpointsToCheck(name, service), service.HealthPath)
			}
		}
	}
	return nil
}

// endpointsToCheck returns the endpoints of a service in this data centre that are to be checked
// now.
func (n *Node) endpointsToCheck(name string, service *routing.Service) []fleet.Instance {
	endpoints := n.fleet.UnconfirmedEndpoints(name, n.settings.DataCentre)
	if service.Engine != nil && n.storeDegraded() {
		endpoints = append(endpoints, n.fleet.BusyEndpoints(name, n.settings.DataCentre)...)
	}
	return endpoints
}

// storeDegraded reports whether the store fails to show in time which endpoints leave: it is
// unavailable to this node or to the node followed, or so slow that the endpoints' own writes are
// late.
func (n *Node) storeDegraded() bool {
	return n.configFeed.isLost() || n.endpointFeed.isLost() || n.endpointTable.age() > endpointsStaleAfter ||
		n.configFeed.isSlow() || n.endpointFeed.isSlow() || n.peerStoreDegraded.Load()
}

func (n *Node) firstInDataCentre() bool {
	return n.firstAmong(func(gossip.Peer) bool { return true })
}

// checksHealthOf reports whether this node checks the endpoints of the service in its data centre.
func (n *Node) checksHealthOf(service string) bool {
	key := gossip.KeyOf(service)
	return n.reach.Verdict(service) != reach.Lost && n.firstAmong(func(p gossip.Peer) bool { return !p.Lost.Has(key) })
}

// firstAmong reports whether this node is the first one in its data centre of those that counts
// returns true for.
func (n *Node) firstAmong(counts func(gossip.Peer) bool) bool {
	for _, p := range n.gossip.Live() {
		if p.DataCentre == n.settings.DataCentre && !p.Leaving && p.Address < n.settings.IP && counts(p) {
			return false
		}
	}
	return !n.gate.Leaving()
}

func (n *Node) checkAll(ctx context.Context, endpoints []fleet.Instance, path string) {
	var checks sync.WaitGroup
	slots := make(chan struct{}, maxHealthChecks)
	for _, in := range endpoints {
		slots <- struct{}{}
		checks.Go(func() {
			defer func() { <-slots }()
			n.check(ctx, in, path)
		})
	}
	checks.Wait()
}

func (n *Node) check(ctx context.Context, in fleet.Instance, path string) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	metrics.Count("health_checks")
	answer, err := n.engines.Health(ctx, in.Address, path, in.ID)
	if err != nil {
		n.log.Debug("health check failed", zap.String("endpoint", in.ID), zap.Error(err))
		return
	}
	if answer.ColdErr != nil {
		n.log.Warn("health answer not readable", zap.String("endpoint", in.ID), zap.Error(answer.ColdErr))
	}
	if answer.Healthy {
		n.fleet.ConfirmHealthy(in.Incarnation().Key())
		if answer.Cold > 0 && n.fleet.SetCold(in.Incarnation().Key(), answer.Cold) {
			n.log.Info("endpoint is cold by its health check", zap.String("endpoint", in.ID), zap.Duration("for", answer.Cold))
		}
		return
	}
	if n.fleet.MarkUnhealthy(in.Incarnation().Key()) {
		n.log.Info("endpoint leaves by its health check", zap.String("endpoint", in.ID), zap.String("address", in.Address))
		n.gossip.AnnounceAll()
	}
}

// logExclusion logs that an endpoint is excluded or reinstated.
func (n *Node) logExclusion(e fleet.Exclusion) {
	fields := []zap.Field{
		zap.String("endpoint", e.Instance.ID), zap.String("service", e.Instance.Service),
		zap.String("address", e.Instance.Address), zap.Stringer("cause", e.Cause),
	}
	if !e.Excluded {
		n.log.Info("endpoint taken back", fields...)
		return
	}
	metrics.Count("endpoint_left_out")
	n.log.Info("endpoint left out", append(fields, zap.Duration("for", e.Duration), zap.Float64("failures", e.Failures))...)
}
