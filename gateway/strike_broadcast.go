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

const (
	// strikeTimeout bounds the wait for other gateways to receive a strike, just as the wait for a
	// pool's scheduler to receive a loss is bounded. It is the longest delay that a frozen or
	// partitioned gateway can cause to the caller of a lost call.
	strikeTimeout = 300 * time.Millisecond
	// strikeBatchDelay is how long strikes are collected before they are sent. Otherwise, a service
	// that dies with several hundred calls would cause as many messages to each gateway.
	strikeBatchDelay = 5 * time.Millisecond
	// maxBatchStrikes bounds the number of strikes in one message; further ones are dropped and
	// counted.
	maxBatchStrikes = 1024
)

// gatewayPeers holds what is needed to connect to other gateways.
type gatewayPeers struct {
	client connect.HTTPClient
	scheme string
}

// strikeBroadcaster collects the strikes to be sent to other gateways.
type strikeBroadcaster struct {
	mu sync.Mutex
	// collecting is the batch that is being collected, nil if there is none.
	collecting *strikeBatch
}

// strikeBatch is one message to all gateways. done is closed once each of them has received it,
// failed or timed out.
type strikeBatch struct {
	strikes []*peerv1.ServiceStrike
	done    chan struct{}
}

// broadcastStrike notifies all other gateways that a service died of a call, and waits until they
// have received it or strikeTimeout has passed. The caller is answered right after that and may
// send the call again through any of them: if its retry arrived before the strike, a call that
// crashes services would take down one more service at each gateway.
func (g *Gateway) broadcastStrike(strike *peerv1.ServiceStrike) {
	g.strikeBroadcaster.mu.Lock()
	batch := g.strikeBroadcaster.collecting
	if batch == nil {
		batch = &strikeBatch{done: make(chan struct{})}
		g.strikeBroadcaster.collecting = batch
		time.AfterFunc(strikeBatchDelay, func() { g.sendStrikeBatch(batch) })
	}
	if len(batch.strikes) < maxBatchStrikes {
		batch.strikes = append(batch.strikes, strike)
	} else {
		metrics.Count("strike_not_told")
	}
	g.strikeBroadcaster.mu.Unlock()
	<-batch.done
}

// sendStrikeBatch sends a batch to all gateways in parallel.
func (g *Gateway) sendStrikeBatch(batch *strikeBatch) {
	defer close(batch.done)
	g.strikeBroadcaster.mu.Lock()
	g.strikeBroadcaster.collecting = nil
	g.strikeBroadcaster.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), strikeTimeout)
	defer cancel()
	var sends sync.WaitGroup
	for _, m := range g.state.Load().members {
		if m.GetGatewayAddress() == "" || m.GetId() == g.settings.vm.ID || m.GetState() == peerv1.MemberState_MEMBER_STATE_DEAD {
			continue
		}
		sends.Go(func() { g.sendStrikes(ctx, m, batch.strikes) })
	}
	sends.Wait()
}

func (g *Gateway) sendStrikes(ctx context.Context, m *peerv1.Member, strikes []*peerv1.ServiceStrike) {
	client := peerv1.NewGatewayClient(g.peers.client, g.peers.scheme+"://"+m.GetGatewayAddress())
	_, err := client.Struck(ctx, connect.NewRequest(&peerv1.StruckRequest{Gateway: g.settings.vm.ID, Strikes: strikes}))
	if err != nil {
		metrics.CountN("strike_not_told", int64(len(strikes)))
		g.log.Warn("strikes not told to a gateway", zap.String("gateway", m.GetId()), zap.Int("strikes", len(strikes)),
			zap.String("service", strikes[0].GetService()), logging.FingerprintField(strikes[0].GetContent()), zap.Error(err))
	}
}

// strikeHandler returns the path and the handler of the RPCs from other gateways.
func (g *Gateway) strikeHandler() (string, http.Handler) {
	return peerv1.NewGatewayHandler(gatewayRPC{g}, peer.HandlerOptions())
}

// gatewayRPC serves the RPCs from other gateways.
type gatewayRPC struct{ g *Gateway }

// Struck implements the Gateway service of peer.v1. It records the strikes reported by another
// gateway.
func (s gatewayRPC) Struck(_ context.Context, r *connect.Request[peerv1.StruckRequest]) (*connect.Response[peerv1.StruckResponse], error) {
	now := time.Now()
	for _, strike := range r.Msg.GetStrikes() {
		began := now.Add(-time.Duration(strike.GetBeganMs()) * time.Millisecond)
		if n, counted := s.g.strikes.add(strike.GetService(), strike.GetContent(), began); counted {
			s.g.logStrike(strike, n, r.Msg.GetGateway())
		}
	}
	return connect.NewResponse(&peerv1.StruckResponse{}), nil
}

func (g *Gateway) logStrike(strike *peerv1.ServiceStrike, strikes int, reporter string) {
	g.log.Info("service died of a call", zap.String("service", strike.GetService()), logging.FingerprintField(strike.GetContent()),
		zap.Int("strikes", strikes), zap.String("gateway", reporter))
}
