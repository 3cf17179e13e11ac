package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/knowledge"
)

func uptimeMessage(u knowledge.Uptime) *exchangev1.Uptime {
	return &exchangev1.Uptime{SinceMs: u.Since.Milliseconds(), UntilMs: u.Until.Milliseconds()}
}

// readUptime reads what another node tells of the store's uptime; a node that tells nothing has
// an empty span.
func readUptime(m *exchangev1.Uptime) knowledge.Uptime {
	return knowledge.Uptime{
		Since: time.Duration(m.GetSinceMs()) * time.Millisecond,
		Until: time.Duration(m.GetUntilMs()) * time.Millisecond,
	}
}

// settlingWait is how long the store is to hold the next question: while entries are missing, no
// longer than until its answer tells which endpoints are gone.
func (n *Node) settlingWait() time.Duration {
	if doubt := n.uptime.GraceRemaining(); doubt > 0 && n.fleet.Missing() > 0 {
		return min(doubt+time.Millisecond, endpointsWait)
	}
	return endpointsWait
}

// heardUptime takes what a follower knows of the store's uptime. It may know of answers during a
// time in which the store did not answer this node.
func (n *Node) heardUptime(told knowledge.Uptime) {
	if !n.uptime.MergeWithoutEntries(told) {
		return
	}
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	n.log.Info("store answered others meanwhile", zap.Duration("since", told.Since), zap.Duration("doubt", n.uptime.GraceRemaining()))
	n.dropMissing()
}
