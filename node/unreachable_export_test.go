package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/reach"
)

// NewReporter returns the part of a node that exchanges reports of refused connections.
func NewReporter(f *fleet.Fleet, t *reach.Tracker, log *zap.Logger) *Node {
	n := &Node{fleet: f, reach: t, log: log}
	f.OnUnreachable = n.logUnreachable
	return n
}

// Reports returns what the node announces, with the address of the node.
func (n *Node) Reports(address string) *exchangev1.NodeState {
	return &exchangev1.NodeState{Address: address, Unreachable: n.ownUnreachable()}
}

// ApplyReports applies what another node announces.
func (n *Node) ApplyReports(s *exchangev1.NodeState) { n.applyPeerUnreachable(s) }

// LoseService has the tracker count the service as out of reach.
func LoseService(t *reach.Tracker, service string, now *time.Duration) {
	t.Suspect(service)
	for range 4 {
		*now += time.Second
		t.DueRounds()
		t.RecordRound(service, 3, 0)
	}
}
