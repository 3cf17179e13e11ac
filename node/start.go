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

// A node that starts learns the configuration and the endpoints from any node that is
// ready. Where all start at once, the seeds read the store, and what they know spreads from
// node to node. No node waits for one that itself waits: only those that are ready are
// asked, and a node that finds none, or only busy ones, reads the store itself.

const (
	// startWait is the least time for which a node that starts waits for the first other one
	// that is ready, and startSpread the most that is added. Those that are named as seeds do
	// not wait.
	startWait   = 80 * time.Millisecond
	startSpread = 300 * time.Millisecond
	// startPatience is how long it goes on asking once some are ready, which may be busy with
	// others that start, before it reads the store as well.
	startPatience = time.Second
	// emptyPatience is how long it waits while another one reads a store that holds nothing
	// yet, as before the operator's first configuration.
	emptyPatience = 5 * time.Second
	// startCheck is how often it looks for one, and the pause after a refusal.
	startCheck = 10 * time.Millisecond
	// startTimeout bounds a question of a node that starts.
	startTimeout = 500 * time.Millisecond
)

// starter brings a node that starts to where it can serve.
type starter struct {
	log *zap.Logger
	// now reads the clock, and started is when the node started by it.
	now     func() time.Duration
	started time.Duration
	// wait is how long the node waits for the first other one that is ready, 0 for a seed.
	wait time.Duration
	// lacking tells whether the node does not know yet what it needs to serve.
	lacking func() bool
	// informants returns the nodes that can tell it.
	informants func() []gossip.Peer
	// othersRead tells whether the store answers another node.
	othersRead func() bool
	// ask takes over what a node knows; shun leaves a node out for a while.
	ask  func(context.Context, gossip.Peer) error
	shun func(gossip.Peer)
	// readySince is when a node was first seen that is ready, in nanoseconds of the clock; 0
	// before that.
	readySince atomic.Int64
}

// learn asks a node that is ready; it returns false if there is none to wait for.
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
	s.log.Debug("asked at the start", zap.String("node", p.Address), zap.Int("ready", len(ready)), zap.Error(err))
	switch {
	case err == nil && !s.lacking():
	case err == nil:
		// It is ready and knows no endpoints yet.
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

// waits tells whether the node leaves the store to others still.
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

// startWaitOf draws the wait of a node that is no seed. Where the seeds are gone, hundreds of
// nodes wait for each other: few of them draw a short wait, and the others learn from these
// while they wait.
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

// starts tells whether this node does not know yet what it needs to serve.
func (n *Node) starts() bool {
	known, _ := n.config.Current()
	return known.Table == nil || n.entries.known() == 0 || n.evacuations.Version() == 0
}

// informants are the nodes that can tell this one what it needs: those of its data centre
// if there are any.
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

// seed tells whether this node is one of those that every node knows at its start.
func (n *Node) seed() bool {
	for _, seed := range n.settings.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil && host == n.settings.IP {
			return true
		}
	}
	return false
}
