package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/internal/logging"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/peer"
	"github.com/crocusreel/crocusreel/peer/peerv1"
)

// struckTimeout bounds the wait for other gateways to learn of a strike, as that of a pool's
// scheduler is bounded for a loss: one that is frozen or cut off costs the caller of a lost
// call no more.
const struckTimeout = 300 * time.Millisecond

// gatewayPeers reaches other gateways.
type gatewayPeers struct {
	client connect.HTTPClient
	scheme string
}

// tellStruck tells all other gateways that a service died of a call, and waits until they
// know. The caller is answered right after and may send the call again through any of them:
// were it there before the strike, a deadly call would take one more service down at each
// gateway.
func (g *Gateway) tellStruck(strike *peerv1.ServiceStrike) {
	ctx, cancel := context.WithTimeout(context.Background(), struckTimeout)
	defer cancel()
	var told sync.WaitGroup
	for _, m := range g.state.Load().members {
		if m.GetGatewayAddress() == "" || m.GetId() == g.settings.vm.ID || m.GetState() == peerv1.MemberState_MEMBER_STATE_DEAD {
			continue
		}
		told.Go(func() { g.tellOneStruck(ctx, m, strike) })
	}
	told.Wait()
}

func (g *Gateway) tellOneStruck(ctx context.Context, m *peerv1.Member, strike *peerv1.ServiceStrike) {
	client := peerv1.NewGatewayClient(g.peers.client, g.peers.scheme+"://"+m.GetGatewayAddress())
	_, err := client.Struck(ctx, connect.NewRequest(&peerv1.StruckRequest{Gateway: g.settings.vm.ID, Strike: strike}))
	if err != nil {
		metrics.Count("strike_not_told")
		g.log.Warn("strike not told to a gateway", zap.String("gateway", m.GetId()),
			zap.String("service", strike.GetService()), logging.Work(strike.GetContent()), zap.Error(err))
	}
}

// struckHandler returns the path and the handler of what other gateways tell.
func (g *Gateway) struckHandler() (string, http.Handler) {
	return peerv1.NewGatewayHandler(gatewayRPC{g}, peer.HandlerOptions())
}

// gatewayRPC serves other gateways.
type gatewayRPC struct{ g *Gateway }

// Struck implements peer.v1.Gateway.
func (s gatewayRPC) Struck(_ context.Context, r *connect.Request[peerv1.StruckRequest]) (*connect.Response[peerv1.StruckResponse], error) {
	strike := r.Msg.GetStrike()
	began := time.Now().Add(-time.Duration(strike.GetBeganMs()) * time.Millisecond)
	if n, counted := s.g.strikes.add(strike.GetService(), strike.GetContent(), began); counted {
		s.g.logStruck(strike, n, r.Msg.GetGateway())
	}
	return connect.NewResponse(&peerv1.StruckResponse{}), nil
}

func (g *Gateway) logStruck(strike *peerv1.ServiceStrike, strikes int, by string) {
	g.log.Info("service died of a call", zap.String("service", strike.GetService()), logging.Work(strike.GetContent()),
		zap.Int("strikes", strikes), zap.String("gateway", by))
}
