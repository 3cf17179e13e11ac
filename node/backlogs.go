package node

import (
	"math"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/admission"
	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// encodeBacklogs converts the waiting work of this node to its form in messages.
func encodeBacklogs(own []fleet.ServiceBacklog) []*exchangev1.ServiceBacklog {
	backlogs := make([]*exchangev1.ServiceBacklog, 0, len(own))
	for _, b := range own {
		backlogs = append(backlogs, &exchangev1.ServiceBacklog{
			Service: uint32(b.Service), Rank: uint32(max(b.Rank, 0)), Requests: uint32(b.Requests), Tokens: uint32(b.Tokens),
			PromisedTokens: uint32(b.PromisedTokens), CompletedPerSecond: uint32(math.Round(b.CompletedPerSecond)),
		})
	}
	return backlogs
}

// decodeBacklogs is the inverse of encodeBacklogs.
func decodeBacklogs(reported []*exchangev1.ServiceBacklog) []fleet.ServiceBacklog {
	backlogs := make([]fleet.ServiceBacklog, 0, len(reported))
	for _, b := range reported {
		backlogs = append(backlogs, fleet.ServiceBacklog{Service: fleet.QueueKey(b.GetService()), Backlog: admission.Backlog{
			Rank: int(b.GetRank()), Requests: int(b.GetRequests()), Tokens: int(b.GetTokens()),
			PromisedTokens: int(b.GetPromisedTokens()), CompletedPerSecond: float64(b.GetCompletedPerSecond()),
		}})
	}
	return backlogs
}

// applyPeerBacklogs applies the waiting work of another node. Impossible values change nothing; they
// are counted, and logged for the first datagram of a node that has them.
func (n *Node) applyPeerBacklogs(s *exchangev1.NodeState) {
	err := n.fleet.SetRemoteBacklogs(s.GetAddress(), decodeBacklogs(s.GetBacklogs()))
	if err == nil {
		n.invalidBacklogs.Delete(s.GetAddress())
		return
	}
	metrics.Count("admission_report_invalid")
	if _, logged := n.invalidBacklogs.LoadOrStore(s.GetAddress(), true); !logged {
		n.log.Warn("backlog of another node not valid", zap.String("node", s.GetAddress()), zap.Error(err))
	}
}

// logAdmissionRefusal logs a refusal whose time is based on the predicted wait.
func (n *Node) logAdmissionRefusal(r fleet.AdmissionRefusal) {
	p := r.Prediction
	n.log.Info("refused by predicted wait", zap.String("request", r.RequestID), zap.String("service", r.Service),
		zap.String("workspace", r.Workspace), zap.Duration("waited", r.Waited),
		zap.Int("waiting", p.Requests), zap.Int("waiting_tokens", p.Tokens), zap.Int("promised_tokens", p.Promised),
		zap.Int("free_tokens", p.Free), zap.Float64("tokens_per_second", p.Rate),
		zap.Duration("predicted_wait", p.Wait), zap.Duration("predicted_late_wait", p.LateWait),
		zap.Duration("retry_after", r.RetryAfter), zap.Bool("promised", r.Promised))
}
