package node

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/peer"
)

// checkTimeout limits the connection to an endpoint on behalf of another node.
const checkTimeout = 50 * time.Millisecond

// CheckEndpoint implements exchangev1.ExchangeHandler.
func (s exchangeServer) CheckEndpoint(ctx context.Context, req *connect.Request[exchangev1.CheckEndpointRequest]) (*connect.Response[exchangev1.CheckEndpointResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	metrics.Count("endpoint_checked_for_others")
	err := s.n.client.Dial(ctx, req.Msg.GetAddress())
	return connect.NewResponse(&exchangev1.CheckEndpointResponse{Refuses: h1.Refused(err), Accepts: err == nil}), nil
}

// askWitness asks a random node that has not lost the endpoint's service whether the endpoint refuses
// its connections. known is false if there is no such node, or if it does not know or answer.
func (n *Node) askWitness(ctx context.Context, in fleet.Instance) (refuses, known bool) {
	key := gossip.KeyOf(in.Service)
	var witnesses []gossip.Peer
	for _, p := range n.gossip.Live() {
		if p.Forwards && p.Ready && !p.Leaving && !p.Lost.Has(key) {
			witnesses = append(witnesses, p)
		}
	}
	if len(witnesses) == 0 {
		return false, false
	}
	p := witnesses[rand.IntN(len(witnesses))]
	client := exchangev1.NewExchangeClient(n.peerClient, peer.BaseURL(p.PeerAddress, nil))
	resp, err := client.CheckEndpoint(ctx, connect.NewRequest(&exchangev1.CheckEndpointRequest{Address: in.Address}))
	if err != nil {
		n.log.Info("other node does not say whether an endpoint refuses it", zap.String("endpoint", in.ID),
			zap.String("node", p.Address), zap.Error(err))
		return false, false
	}
	return resp.Msg.GetRefuses(), resp.Msg.GetRefuses() || resp.Msg.GetAccepts()
}
