package node

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// A starting node gets the configuration and the endpoints from any ready node. If all nodes start
// at once, the seeds read the store, and the data spreads from node to node. Waiting cannot become
// circular: only ready nodes are asked, and a node that finds none, or only busy ones, reads the
// store itself.

const (
	// startWait is the minimum time that a starting node waits for the first other node to become
	// ready; up to startSpread is added. Seeds do not wait.
	startWait   = 80 * time.Millisecond
	startSpread = 300 * time.Millisecond
	// busyPeersWait is how long a starting node keeps asking ready nodes, which may be busy with
	// other starting nodes, before it also reads the store.
	busyPeersWait = time.Second
	// emptyStoreWait is how long it waits for a ready node while the store answers another node, as
	// when that store is still empty before the operator's first configuration.
	emptyStoreWait = 5 * time.Second
	// startPollInterval is the interval at which it looks for a ready node, and the pause after a
	// refusal.
	startPollInterval = 10 * time.Millisecond
	// startTimeout bounds a request of a starting node.
	startTimeout = 500 * time.Millisecond
)

// starter fetches from other nodes what a starting node needs in order to serve.
type starter struct {
	log *zap.Logger
	// now reads the clock; started is the time of that clock at which the node started.
	now     func() time.Duration
	started time.Duration
	// wait is how long the node waits for the first other node to become ready; 0 for a seed.
	wait time.Duration
	// incomplete reports whether the node does not yet know what it needs to serve.
	incomplete func() bool
	// readyPeers returns the ready nodes that can be asked.
	readyPeers func() []gossip.Peer
	// othersReadStore reports whether the store answers another node.
	othersReadStore func() bool
	// fetch fetches a snapshot from another node and applies it; exclude excludes a node for a
	// while.
	fetch   func(context.Context, gossip.Peer) error
	exclude func(gossip.Peer)
	// readySince is when a ready node was first seen, in nanoseconds of the clock; 0 before that.
	readySince atomic.Int64
}

// fetchFromPeer requests a snapshot from a ready node, or pauses if there is none yet. It returns
// false if this node must not wait for one.
func (s *starter) fetchFromPeer(ctx context.Context) bool {
	ready := s.readyPeers()
	if len(ready) == 0 {
		if !s.waitsForPeers() {
			return false
		}
		pause(ctx, startPollInterval)
		return true
	}
	p := ready[rand.IntN(len(ready))]
	err := s.fetch(ctx, p)
	s.log.Debug("requested snapshot at start-up", zap.String("node", p.Address), zap.Int("ready", len(ready)), zap.Error(err))
	switch {
	case err == nil && !s.incomplete():
	case err == nil:
		// The peer is ready, but does not know the endpoints yet.
		pause(ctx, startPollInterval)
	case connect.CodeOf(err) == connect.CodeResourceExhausted:
		metrics.Count("start_node_busy")
		pause(ctx, jitter(startPollInterval))
	default:
		metrics.Count("start_node_failed")
		s.exclude(p)
	}
	return true
}

// waitsForPeers reports whether the node waits for other nodes instead of reading the store.
func (s *starter) waitsForPeers() bool {
	age := s.now() - s.started
	switch {
	case !s.incomplete() || s.wait == 0:
		return false
	case len(s.readyPeers()) > 0:
		s.readySince.CompareAndSwap(0, int64(s.now()))
		return s.now()-time.Duration(s.readySince.Load()) < busyPeersWait
	case s.othersReadStore():
		return age < emptyStoreWait
	default:
		return age < s.wait
	}
}

// startWaitFor returns the wait of a node that is not a seed, from a random number in [0, 1). If
// the seeds are gone, hundreds of nodes wait for each other; the cube root gives few of them a
// short wait, and the others fetch the data from these while they wait.
func startWaitFor(draw float64) time.Duration {
	return startWait + time.Duration(math.Cbrt(draw)*float64(startSpread))
}

func (n *Node) newStarter() *starter {
	wait := startWaitFor(rand.Float64())
	if n.isSeed() {
		wait = 0
	}
	return &starter{
		log: n.log, now: boottime.Now, started: n.started, wait: wait,
		incomplete: n.incomplete, readyPeers: n.readyPeers, othersReadStore: n.othersReadStore,
		fetch: func(ctx context.Context, p gossip.Peer) error {
			return n.fetchSnapshot(ctx, p.PeerAddress, 0, startTimeout)
		},
		exclude: func(p gossip.Peer) { n.follower.exclude(p.Address) },
	}
}

// incomplete reports whether this node does not yet know what it needs to serve.
func (n *Node) incomplete() bool {
	known, _ := n.config.Current()
	return known.Table == nil || n.endpointTable.knownRevision().Version == 0 || n.evacuations.Revision().Version == 0
}

// readyPeers returns the ready nodes from which this one can get what it needs: those of its data
// centre if there are any, else all.
func (n *Node) readyPeers() []gossip.Peer {
	var sameDataCentre, all []gossip.Peer
	for _, p := range n.gossip.Live() {
		if !p.Ready || p.Leaving || n.follower.excludes(p.Address) {
			continue
		}
		all = append(all, p)
		if n.sameDataCentre(p) {
			sameDataCentre = append(sameDataCentre, p)
		}
	}
	if len(sameDataCentre) > 0 {
		return sameDataCentre
	}
	return all
}

// isSeed reports whether this node is one of the seeds in the settings.
func (n *Node) isSeed() bool {
	for _, seed := range n.settings.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil && host == n.settings.IP {
			return true
		}
	}
	return false
}
