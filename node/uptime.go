package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/knowledge"
)

func uptimeMessage(u knowledge.Uptime) *exchangev1.Uptime {
	return &exchangev1.Uptime{SinceMs: u.Since.Milliseconds(), UntilMs: u.Until.Milliseconds(), Era: u.Era}
}

// readUptime decodes another node's record of the store's uptime. The result is empty if the node
// has sent none.
func readUptime(m *exchangev1.Uptime) knowledge.Uptime {
	return knowledge.Uptime{
		Era:   m.GetEra(),
		Since: time.Duration(m.GetSinceMs()) * time.Millisecond,
		Until: time.Duration(m.GetUntilMs()) * time.Millisecond,
	}
}

// endpointsMaxWait returns the maximum wait of the next poll of the endpoints. While entries are
// missing, it ends when the store's answer can show which endpoints are gone.
func (n *Node) endpointsMaxWait() time.Duration {
	if grace := n.uptime.GraceRemaining(); grace > 0 && n.fleet.MissingCount() > 0 {
		return min(grace+time.Millisecond, endpointsWait)
	}
	return endpointsWait
}

// mergePeerUptime merges a follower's record of the store's uptime. The store may have answered the
// follower while it did not answer this node.
func (n *Node) mergePeerUptime(reported knowledge.Uptime) {
	if !n.uptime.MergeWithoutEntries(reported) {
		return
	}
	n.endpointUpdates.mu.Lock()
	defer n.endpointUpdates.mu.Unlock()
	n.log.Info("store answered others meanwhile", zap.Duration("since", reported.Since), zap.Duration("doubt", n.uptime.GraceRemaining()))
	n.dropMissing()
}
