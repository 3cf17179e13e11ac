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
	// startPatience is how long a starting node keeps asking ready nodes, which may be busy with
	// other starting nodes, before it also reads the store.
	startPatience = time.Second
	// emptyPatience is how long it waits for a ready node while the store answers another node, as
	// when that store is still empty before the operator's first configuration.
	emptyPatience = 5 * time.Second
	// startCheck is the interval at which it looks for a ready node, and the pause after a refusal.
	startCheck = 10 * time.Millisecond
	// startTimeout bounds a request of a starting node.
	startTimeout = 500 * time.Millisecond
)

// starter gets a starting node ready to serve.
type starter struct {
	log *zap.Logger
	// now reads the clock; started is the time of that clock at which the node started.
	now     func() time.Duration
	started time.Duration
	// wait is how long the node waits for the first other node to become ready; 0 for a seed.
	wait time.Duration
	// lacking reports whether the node does not yet know what it needs to serve.
	lacking func() bool
	// informants returns the ready nodes that can be asked.
	informants func() []gossip.Peer
	// othersRead reports whether the store answers another node.
	othersRead func() bool
	// ask applies a snapshot of another node; shun excludes a node for a while.
	ask  func(context.Context, gossip.Peer) error
	shun func(gossip.Peer)
	// readySince is when a ready node was first seen, in nanoseconds of the clock; 0 before that.
	readySince atomic.Int64
}

// learn asks a ready node, or pauses if there is none yet. It returns false if the node is not to
// wait for one.
func (s *starter) learn(ctx context.Context) bool {
	ready := s.informants()
	if len(ready) == 0 {
		if !s.waits() {
			return false
		}
		pause(ctx, startCheck)
		return true
	}
	p := ready[rand.IntN(len(ready))]
	err := s.ask(ctx, p)
	s.log.Debug("requested snapshot at start-up", zap.String("node", p.Address), zap.Int("ready", len(ready)), zap.Error(err))
	switch {
	case err == nil && !s.lacking():
	case err == nil:
		// The peer is ready, but does not know the endpoints yet.
		pause(ctx, startCheck)
	case connect.CodeOf(err) == connect.CodeResourceExhausted:
		metrics.Count("start_node_busy")
		pause(ctx, jitter(startCheck))
	default:
		metrics.Count("start_node_failed")
		s.shun(p)
	}
	return true
}

// waits reports whether the node still leaves reading the store to others.
func (s *starter) waits() bool {
	age := s.now() - s.started
	switch {
	case !s.lacking() || s.wait == 0:
		return false
	case len(s.informants()) > 0:
		s.readySince.CompareAndSwap(0, int64(s.now()))
		return s.now()-time.Duration(s.readySince.Load()) < startPatience
	case s.othersRead():
		return age < emptyPatience
	default:
		return age < s.wait
	}
}

// startWaitOf returns the wait of a node that is not a seed, from a random number in [0, 1). If the
// seeds are gone, hundreds of nodes wait for each other; the cube root gives few of them a short
// wait, and the others learn from these while they wait.
func startWaitOf(draw float64) time.Duration {
	return startWait + time.Duration(math.Cbrt(draw)*float64(startSpread))
}

// newStarter returns the starter of this node.
func (n *Node) newStarter() *starter {
	wait := startWaitOf(rand.Float64())
	if n.seed() {
		wait = 0
	}
	return &starter{
		log: n.log, now: boottime.Now, started: n.started, wait: wait,
		lacking: n.starts, informants: n.informants, othersRead: n.othersRead,
		ask: func(ctx context.Context, p gossip.Peer) error {
			return n.askPeer(ctx, p.PeerAddress, 0, startTimeout)
		},
		shun: func(p gossip.Peer) { n.follower.shun(p.Address) },
	}
}

// starts reports whether this node does not yet know what it needs to serve.
func (n *Node) starts() bool {
	known, _ := n.config.Current()
	return known.Table == nil || n.entries.known() == 0 || n.evacuations.Version() == 0
}

// informants returns the ready nodes from which this one can get what it needs: those of its data
// centre if there are any, else all.
func (n *Node) informants() []gossip.Peer {
	var near, all []gossip.Peer
	for _, p := range n.gossip.Live() {
		if !p.Ready || p.Leaving || n.follower.shuns(p.Address) {
			continue
		}
		all = append(all, p)
		if n.near(p) {
			near = append(near, p)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

// seed reports whether this node is one of the seeds in the settings.
func (n *Node) seed() bool {
	for _, seed := range n.settings.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil && host == n.settings.IP {
			return true
		}
	}
	return false
}
