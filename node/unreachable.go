package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/reach"
)

// ownUnreachable returns the endpoints that refused a connection of this node, to be announced to
// the other nodes. A node that has lost a service since then announces none of its endpoints.
func (n *Node) ownUnreachable() []*exchangev1.UnreachableEndpoint {
	var endpoints []*exchangev1.UnreachableEndpoint
	for _, r := range n.fleet.OwnUnreachable() {
		if n.reach.Verdict(r.Service) == reach.Lost {
			continue
		}
		endpoints = append(endpoints, &exchangev1.UnreachableEndpoint{Key: uint32(r.Key), AgeMs: uint32(r.Age.Milliseconds())})
	}
	return endpoints
}

// applyPeerUnreachable applies which endpoints refused a connection of another node.
func (n *Node) applyPeerUnreachable(s *exchangev1.NodeState) {
	reports := make([]fleet.UnreachableReport, 0, len(s.GetUnreachable()))
	for _, e := range s.GetUnreachable() {
		reports = append(reports, fleet.UnreachableReport{
			Key: fleet.EndpointKey(e.GetKey()), Age: time.Duration(e.GetAgeMs()) * time.Millisecond,
		})
	}
	n.fleet.SetRemoteUnreachable(s.GetAddress(), reports)
}

// logUnreachable logs that an endpoint is suspended by the report of another node.
func (n *Node) logUnreachable(s fleet.Suspension) {
	metrics.Count("unreachable_by_report")
	n.log.Info("endpoint suspended by another node's report", zap.String("endpoint", s.Instance.ID),
		zap.String("service", s.Instance.Service), zap.String("address", s.Instance.Address), zap.String("node", s.Node),
		zap.Duration("age", s.Age), zap.Duration("for", s.Duration))
}
