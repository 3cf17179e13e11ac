package controller

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"github.com/crocusreel/crocusreel/internal/tlsreload"
	"github.com/crocusreel/crocusreel/peer"
	"github.com/crocusreel/crocusreel/peer/peerv1"
)

// Transport sends messages to other controllers. Addresses have the form IP:port.
type Transport interface {
	Ping(ctx context.Context, address string, req *peerv1.PingRequest) (*peerv1.PingResponse, error)
	IndirectPing(ctx context.Context, address string, req *peerv1.IndirectPingRequest) (*peerv1.IndirectPingResponse, error)
	Join(ctx context.Context, address string, req *peerv1.JoinRequest) (*peerv1.JoinResponse, error)
	FetchConfig(ctx context.Context, address string, req *peerv1.FetchConfigRequest) (*peerv1.ConfigDocument, error)
	SetLeaving(ctx context.Context, address string, req *peerv1.SetLeavingRequest) (*peerv1.SetLeavingResponse, error)
}

// maxCachedClients bounds the cached clients; the cache is cleared when it is full. VMs are
// replaced continually, so without a bound every address ever seen would stay in memory.
const maxCachedClients = 64

// connectTransport is the Transport over the network.
type connectTransport struct {
	http *http.Client
	tls  *tls.Config

	mu      sync.Mutex
	clients map[string]*peerClients
}

type peerClients struct {
	membership peerv1.MembershipClient
	node       peerv1.NodeClient
}

// NewTransport returns a Transport over Connect, with TLS if source is not nil.
func NewTransport(source *tlsreload.Source) Transport {
	return &connectTransport{http: source.HTTPClient(), tls: source.Config(), clients: make(map[string]*peerClients)}
}

// clientsFor returns the cached clients for an address, or creates them.
func (t *connectTransport) clientsFor(address string) *peerClients {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.clients[address]
	if !ok {
		if len(t.clients) >= maxCachedClients {
			clear(t.clients)
		}
		url := peer.BaseURL(address, t.tls)
		limit := connect.WithReadMaxBytes(peer.MaxMessageBytes)
		c = &peerClients{
			membership: peerv1.NewMembershipClient(t.http, url, limit),
			node:       peerv1.NewNodeClient(t.http, url, limit),
		}
		t.clients[address] = c
	}
	return c
}

// call wraps the request and unwraps the response of a Connect method.
func call[Req, Res any](ctx context.Context, req *Req,
	method func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error),
) (*Res, error) {
	res, err := method(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

func (t *connectTransport) Ping(ctx context.Context, address string, req *peerv1.PingRequest) (*peerv1.PingResponse, error) {
	return call(ctx, req, t.clientsFor(address).membership.Ping)
}

func (t *connectTransport) IndirectPing(ctx context.Context, address string, req *peerv1.IndirectPingRequest) (*peerv1.IndirectPingResponse, error) {
	return call(ctx, req, t.clientsFor(address).membership.IndirectPing)
}

func (t *connectTransport) Join(ctx context.Context, address string, req *peerv1.JoinRequest) (*peerv1.JoinResponse, error) {
	return call(ctx, req, t.clientsFor(address).membership.Join)
}

func (t *connectTransport) FetchConfig(ctx context.Context, address string, req *peerv1.FetchConfigRequest) (*peerv1.ConfigDocument, error) {
	return call(ctx, req, t.clientsFor(address).membership.FetchConfig)
}

func (t *connectTransport) SetLeaving(ctx context.Context, address string, req *peerv1.SetLeavingRequest) (*peerv1.SetLeavingResponse, error) {
	return call(ctx, req, t.clientsFor(address).node.SetLeaving)
}
