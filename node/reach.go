package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/reach"
)

const (
	// probesPerRound is the number of endpoints of a service that are probed in one round.
	probesPerRound = 3
	// probeTimeout bounds a probe, which usually takes milliseconds. An endpoint of a plain service
	// answers it after the requests in its queue.
	probeTimeout = 500 * time.Millisecond
	// reachInterval is the interval at which due rounds of probes are begun.
	reachInterval = 50 * time.Millisecond
)

// newReach returns the tracker of whether this node reaches the endpoints.
func (n *Node) newReach() *reach.Tracker {
	t := reach.NewTracker(boottime.Now, func() int { return n.population.current().Nodes }, func() float64 { return 0.5 + rand.Float64() })
	t.OnChange = n.reachChanged
	t.OnSuspicion = func() { metrics.Count("reach_suspected") }
	metrics.GaugeFunc("services_out_of_reach", func() any { return t.Services(reach.Lost) })
	return t
}

// reachRecorder implements relay.ReachRecorder.
type reachRecorder struct{ n *Node }

// RecordAnswer implements relay.ReachRecorder.
func (r reachRecorder) RecordAnswer(in fleet.Instance, newConnection bool) {
	r.n.reach.RecordAnswer(in.Service, newConnection)
}

// RecordFailure implements relay.ReachRecorder.
func (r reachRecorder) RecordFailure(in fleet.Instance, kind reach.Failure) {
	r.n.reach.RecordFailure(in.Service, in.ID, kind, r.n.fleet.Count(in.Service))
}

// watchReach probes the endpoints of services that may be out of this node's reach, or are.
func (n *Node) watchReach(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, reachInterval)
		for _, service := range n.reach.DueRounds() {
			go n.probeRound(ctx, service)
		}
	}
	return nil
}

// probeRound probes some endpoints of a service at the same time.
func (n *Node) probeRound(ctx context.Context, service string) {
	path, ok := n.probePath(service)
	if !ok {
		n.reach.RecordRound(service, 0, 0)
		return
	}
	targets := n.fleet.ProbeTargets(service, probesPerRound)
	var answered atomic.Int32
	var probes sync.WaitGroup
	for _, in := range targets {
		probes.Go(func() {
			if n.probe(ctx, in, path) {
				answered.Add(1)
			}
		})
	}
	probes.Wait()
	n.reach.RecordRound(service, len(targets), int(answered.Load()))
}

// probePath returns the path at which endpoints of the service are probed. ok is false if there is
// none.
func (n *Node) probePath(service string) (path string, ok bool) {
	known, _ := n.config.Current()
	if known.Table == nil || known.Table.Services[service] == nil {
		return "", false
	}
	s := known.Table.Services[service]
	if s.Engine != nil {
		return platform.PathReport, true
	}
	return s.HealthPath, s.HealthPath != ""
}

// probe reports whether the endpoint answers over a new connection.
func (n *Node) probe(ctx context.Context, in fleet.Instance, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	metrics.Count("reach_probes")
	err := n.engines.Probe(ctx, in.Address, path)
	n.log.Debug("endpoint probed", zap.String("endpoint", in.ID), zap.String("address", in.Address), zap.Error(err))
	return err == nil
}

// reachChanged logs that the endpoints of a service are out of this node's reach, or no longer are.
func (n *Node) reachChanged(c reach.Change) {
	fields := []zap.Field{
		zap.String("service", c.Service), zap.Int("probed", c.Probed), zap.Int("answered", c.Answered),
		zap.Int("failed", c.Failed), zap.Duration("since_answer", c.SinceAnswer),
	}
	n.gossip.AnnounceAllUrgent()
	if !c.Lost {
		metrics.Count("reach_restored")
		n.log.Info("endpoints within reach again", append(fields, zap.Duration("after", c.Duration))...)
		return
	}
	metrics.Count("reach_lost")
	n.log.Warn("endpoints out of reach", fields...)
	n.suspectOtherServices(c.Service)
}

// suspectOtherServices has the endpoints of the other services probed: a node that has lost one
// service has probably lost all.
func (n *Node) suspectOtherServices(lost string) {
	known, _ := n.config.Current()
	if known.Table == nil {
		return
	}
	for name := range known.Table.Services {
		if name != lost {
			n.reach.Suspect(name)
		}
	}
}
