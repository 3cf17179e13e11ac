package node

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/peer"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/relay"
)

// exchangeServer answers nodes that cannot reach the store.
type exchangeServer struct{ n *Node }

// Snapshot implements exchangev1.ExchangeHandler.
func (s exchangeServer) Snapshot(_ context.Context, req *connect.Request[exchangev1.SnapshotRequest]) (*connect.Response[exchangev1.SnapshotResponse], error) {
	known, age := s.n.config.Current()
	if known.Table == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoConfiguration)
	}
	resp := &exchangev1.SnapshotResponse{ConfigVersion: known.Row, ConfigAgeMs: uint64(age.Milliseconds()) + 1}
	if known.Row > req.Msg.GetConfigVersion() {
		resp.Config = &exchangev1.Row{Key: platform.KeyConfiguration, Data: known.Raw, Version: known.Row}
	}
	e := &s.n.entries
	e.mu.Lock()
	defer e.mu.Unlock()
	resp.EndpointsVersion = e.version
	resp.EndpointsAgeMs = uint64((boottime.Now() - e.at).Milliseconds())
	if e.version > req.Msg.GetEndpointsVersion() {
		for _, row := range e.rows {
			resp.Endpoints = append(resp.Endpoints, &exchangev1.Row{Key: row.Key, Data: row.Data, Version: row.Version})
		}
	}
	return connect.NewResponse(resp), nil
}

const (
	// askPeersAfter is the age of the configuration from which a node asks its peers:
	// the store has then missed an answer.
	askPeersAfter = changesWait + 500*time.Millisecond
	// askPeersEvery is the pause between two questions.
	askPeersEvery = 300 * time.Millisecond
	// askPeerTimeout bounds one question; peers answer from memory.
	askPeerTimeout = 400 * time.Millisecond
	// askPeers is the number of peers asked at a time: one may be cut off, too.
	askPeers = 2
)

// followPeers learns from peers what the store does not tell this node.
func (n *Node) followPeers(ctx context.Context) error {
	next := 0
	for ctx.Err() == nil {
		pause(ctx, askPeersEvery)
		n.expireEndpoints()
		if _, age := n.config.Current(); age < askPeersAfter && !n.endpointFeed.unsteady(0) {
			continue
		}
		live := n.gossip.Live()
		for range min(askPeers, len(live)) {
			next++
			go n.askPeer(ctx, live[next%len(live)].PeerAddress)
		}
	}
	return nil
}

func (n *Node) expireEndpoints() {
	for _, id := range n.fleet.Expire(missingGrace) {
		n.log.Info("endpoint gone", zap.String("endpoint", id), zap.Duration("missing", missingGrace))
	}
}

func (n *Node) askPeer(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, askPeerTimeout)
	defer cancel()
	known, _ := n.config.Current()
	n.entries.mu.Lock()
	endpoints := n.entries.version
	n.entries.mu.Unlock()
	asked := boottime.Now()
	client := exchangev1.NewExchangeClient(n.peerClient, peer.BaseURL(address, nil))
	resp, err := client.Snapshot(ctx, connect.NewRequest(&exchangev1.SnapshotRequest{
		ConfigVersion:    known.Row,
		EndpointsVersion: endpoints,
	}))
	if err != nil {
		n.log.Debug("peer not reached", zap.String("peer", address), zap.Error(err))
		return
	}
	// The peer's answer was made after the question was sent, so its age counts back
	// from there; the way of the answer may have taken any time.
	confirmed := asked - time.Duration(resp.Msg.GetConfigAgeMs())*time.Millisecond
	if c := resp.Msg.GetConfig(); c != nil {
		n.applyConfiguration(c.GetData(), c.GetVersion(), confirmed)
	}
	n.config.Confirm(resp.Msg.GetConfigVersion(), confirmed)
	n.endpointsFromPeer(resp.Msg, endpoints)
}

func (n *Node) endpointsFromPeer(resp *exchangev1.SnapshotResponse, known int64) {
	if resp.GetEndpointsVersion() <= known || len(resp.GetEndpoints()) == 0 {
		return
	}
	listing := platform.Listing{Version: resp.GetEndpointsVersion()}
	for _, row := range resp.GetEndpoints() {
		listing.Rows = append(listing.Rows, platform.StoredRow{Key: row.GetKey(), Data: row.GetData(), Version: row.GetVersion()})
	}
	n.endpointsListed(listing, 0)
}

// state is what this node tells the others.
func (n *Node) state() *exchangev1.NodeState {
	s := &exchangev1.NodeState{
		Address:       n.settings.IP,
		CallerAddress: n.settings.CallerAddress,
		PeerAddress:   n.settings.PeerAddress,
		DataCentre:    n.settings.DataCentre,
		Incarnation:   n.incarnation,
		Ready:         n.ready(),
		Leaving:       n.gate.Leaving(),
	}
	for _, l := range n.fleet.OwnLoads() {
		s.Loads = append(s.Loads, &exchangev1.EndpointLoad{
			Key:    uint32(l.Key),
			Count:  uint32(max(l.Count, 0)),
			Tokens: uint32(max(l.Tokens, 0)),
			Unread: uint32(max(l.Unread, 0)),
		})
	}
	for _, k := range n.relay.Strikes.Fresh(strikesTold) {
		s.Strikes = append(s.Strikes, &exchangev1.Strike{Work: uint64(k.Work), Endpoint: k.Endpoint})
	}
	return s
}

// strikesTold is how long each strike is told to the other nodes: several datagrams,
// any of which may be lost.
const strikesTold = 2 * time.Second

// heard takes the state of another node.
func (n *Node) heard(s *exchangev1.NodeState) {
	loads := make([]fleet.Load, 0, len(s.GetLoads()))
	for _, l := range s.GetLoads() {
		loads = append(loads, fleet.Load{
			Key:    fleet.EndpointKey(l.GetKey()),
			Count:  int(l.GetCount()),
			Tokens: int(l.GetTokens()),
			Unread: int(l.GetUnread()),
		})
	}
	n.fleet.SetRemote(s.GetAddress(), loads)
	for _, k := range s.GetStrikes() {
		n.relay.Strikes.Merge(relay.Fingerprint(k.GetWork()), k.GetEndpoint())
	}
}

// lost forgets the work of a node that is no longer heard.
func (n *Node) lost(address string) { n.fleet.SetRemote(address, nil) }

func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(exchangev1.NewExchangeHandler(exchangeServer{n}, peer.HandlerOptions()))
	return mux
}
