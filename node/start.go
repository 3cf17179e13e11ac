package node

import (
	"context"
	"math/rand/v2"
	"net"
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
	// startWait is how long a node that starts waits for the first other one that is ready.
	// Those that are named as seeds do not wait.
	startWait = 150 * time.Millisecond
	// startPatience is how long it goes on asking those that are ready, which may be busy
	// with others that start, before it reads the store as well.
	startPatience = time.Second
	// startCheck is how often it looks for one, and the pause after a refusal.
	startCheck = 10 * time.Millisecond
	// startTimeout bounds a question of a node that starts.
	startTimeout = 500 * time.Millisecond
)

// starts tells whether this node does not know yet what it needs to serve.
func (n *Node) starts() bool {
	known, _ := n.config.Current()
	return known.Table == nil || n.entries.known() == 0
}

// learn asks a node that is ready for what this one needs to serve; it returns false if
// there is none to wait for.
func (n *Node) learn(ctx context.Context) bool {
	ready := n.informants()
	if len(ready) == 0 {
		waits := n.awaitsOthers()
		if waits {
			pause(ctx, startCheck)
		}
		return waits
	}
	p := ready[rand.IntN(len(ready))]
	err := n.askPeer(ctx, p.PeerAddress, 0, startTimeout)
	n.log.Debug("asked at the start", zap.String("node", p.Address), zap.Int("ready", len(ready)), zap.Error(err))
	switch {
	case err == nil && !n.starts():
	case err == nil:
		// It is ready and knows no endpoints yet.
		pause(ctx, startCheck)
	case connect.CodeOf(err) == connect.CodeResourceExhausted:
		metrics.Count("start_node_busy")
		pause(ctx, jitter(startCheck))
	default:
		metrics.Count("start_node_failed")
		n.follower.shun(p.Address)
	}
	return true
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
		if p.DataCentre == n.settings.DataCentre {
			near = append(near, p)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

// awaitsOthers tells whether a node that starts leaves the store to others still.
func (n *Node) awaitsOthers() bool {
	age := boottime.Now() - n.started
	if !n.starts() || n.seed() || age >= startPatience {
		return false
	}
	return age < startWait || len(n.informants()) > 0
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
