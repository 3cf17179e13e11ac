package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/routing"
)

const (
	// healthEvery is the time between two rounds of health checks while the store is away
	// or slow. Engines are gone 1.5 s after their notice; a round costs one check for each
	// busy engine, so there are none while the store tells who leaves.
	healthEvery = 300 * time.Millisecond
	// healthDoubt is the time after which a health check that said that an endpoint leaves
	// is doubted, if the store is there and the endpoint's entry does not say so: longer
	// than the notice of any endpoint and the way of its entry. Health answers may be false.
	healthDoubt = 4 * time.Second
	// healthTimeout bounds a check, which takes milliseconds.
	healthTimeout = 250 * time.Millisecond
	// maxHealthChecks is the most checks under way: an outage may have taken thousands of entries.
	maxHealthChecks = 32
)

// checkHealth asks endpoints of this data centre whether they go on while the store does not
// tell: busy engines while it is away, and those whose entries are missing, which may have
// been withdrawn. Of the nodes of a data centre, the first does it for all.
func (n *Node) checkHealth(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, healthEvery)
		if !n.firstInDataCentre() || n.fleet.Disabled[fleet.HealthChecks] {
			continue
		}
		known, _ := n.config.Current()
		if known.Table == nil {
			continue
		}
		for name, service := range known.Table.Services {
			if service.HealthPath != "" {
				n.checkAll(ctx, n.doubtful(name, service), service.HealthPath)
			}
		}
	}
	return nil
}

// doubtful returns the endpoints of a service in this data centre that are to be asked now.
func (n *Node) doubtful(name string, service *routing.Service) []fleet.Instance {
	doubtful := n.fleet.Unvouched(name, n.settings.DataCentre)
	if service.Engine != nil && n.storeAway() {
		doubtful = append(doubtful, n.fleet.Busy(name, n.settings.DataCentre)...)
	}
	return doubtful
}

// storeAway tells whether the store does not tell in time which endpoints leave: it cannot
// be followed, or it is so slow that the endpoints' own writes come late.
func (n *Node) storeAway() bool {
	return n.configFeed.isLost() || n.endpointFeed.isLost() || n.entries.age() > endpointsStale ||
		n.configFeed.slow() || n.endpointFeed.slow() || n.awayPeer.Load()
}

func (n *Node) firstInDataCentre() bool {
	for _, p := range n.gossip.Live() {
		if p.DataCentre == n.settings.DataCentre && !p.Leaving && p.Address < n.settings.IP {
			return false
		}
	}
	return !n.gate.Leaving()
}

func (n *Node) checkAll(ctx context.Context, endpoints []fleet.Instance, path string) {
	var running sync.WaitGroup
	places := make(chan struct{}, maxHealthChecks)
	for _, in := range endpoints {
		places <- struct{}{}
		running.Go(func() {
			defer func() { <-places }()
			n.check(ctx, in, path)
		})
	}
	running.Wait()
}

func (n *Node) check(ctx context.Context, in fleet.Instance, path string) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	metrics.Count("health_checks")
	answer, err := n.engines.Health(ctx, in.Address, path, in.ID)
	if err != nil {
		n.log.Debug("health check not answered", zap.String("endpoint", in.ID), zap.Error(err))
		return
	}
	if answer.ColdFault != nil {
		n.log.Warn("health answer not readable", zap.String("endpoint", in.ID), zap.Error(answer.ColdFault))
	}
	if answer.GoesOn {
		n.fleet.Vouch(in.Incarnation().Key())
		if answer.Cold > 0 && n.fleet.SetCold(in.Incarnation().Key(), answer.Cold) {
			n.log.Info("endpoint is cold by its health check", zap.String("endpoint", in.ID), zap.Duration("for", answer.Cold))
		}
		return
	}
	if n.fleet.Unhealthy(in.Incarnation().Key()) {
		n.log.Info("endpoint leaves by its health check", zap.String("endpoint", in.ID), zap.String("address", in.Address))
		n.gossip.TellAll()
	}
}

// believed logs that an endpoint is left out or taken back.
func (n *Node) believed(e fleet.Exclusion) {
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
