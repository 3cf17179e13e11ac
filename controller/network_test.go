package controller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/peer/peerv1"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/settings"
)

// network connects the controllers of one process without sockets.
type network struct {
	mu       sync.Mutex
	nodes    map[string]*node
	platform *fakePlatform
	// dropped reports whether a message is lost; nil delivers all messages.
	dropped       func(from, to string) bool
	messages      atomic.Int64
	updates       atomic.Int64
	maxUpdates    atomic.Int64
	probeInterval time.Duration
	leaseDuration time.Duration
	// engine returns a client for the engine at an address.
	engine func(address string) endpoint.Engine
}

// node is one running controller.
type node struct {
	*Controller
	address string
	stop    func()
}

var errMessageLost = errors.New("message lost")

func newNetwork() *network {
	return &network{
		nodes: make(map[string]*node), platform: newFakePlatform(), probeInterval: 25 * time.Millisecond, leaseDuration: time.Second,
		engine: func(string) endpoint.Engine { return nil },
	}
}

// start runs a controller. A second start with the same number is a restarted VM.
func (n *network) start(i int) *node {
	id, address := fmt.Sprintf("vm-%03d", i), fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1)
	c := New(Options{
		Settings: settings.Controller{
			VM:              settings.VM{ID: id, DataCentre: fmt.Sprint("dc", i%3), Region: "r"},
			PeerAddress:     address,
			ProbeIntervalMS: int(n.probeInterval.Milliseconds()), ConfigIntervalMS: 20, LeaseMS: int(n.leaseDuration.Milliseconds()),
		},
		Platform:  n.platform,
		Transport: virtualTransport{n, address},
		Engine:    n.engine,
		Log:       zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	started := &node{Controller: c, address: address}
	started.stop = func() {
		n.mu.Lock()
		if n.nodes[address] == started {
			delete(n.nodes, address)
		}
		n.mu.Unlock()
		cancel()
		<-done
	}
	n.mu.Lock()
	n.nodes[address] = started
	n.mu.Unlock()
	n.platform.set(func(p *fakePlatform) {
		p.vms = append(p.vms[:len(p.vms):len(p.vms)], platform.VM{ID: id, PeerAddress: address})
	})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	DeferCleanup(started.stop)
	return started
}

func (n *network) startAll(count int) []*node {
	nodes := make([]*node, count)
	for i := range nodes {
		nodes[i] = n.start(i)
	}
	return nodes
}

func (n *network) setDropped(dropped func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped = dropped
}

// serversAt returns the servers of the member at an address, or errMessageLost if a message does
// not arrive.
func (n *network) serversAt(from, address string) (membershipServer, nodeServer, error) {
	n.messages.Add(1)
	n.mu.Lock()
	defer n.mu.Unlock()
	target, ok := n.nodes[address]
	if !ok || (n.dropped != nil && n.dropped(from, address)) {
		return membershipServer{}, nodeServer{}, errMessageLost
	}
	return membershipServer{target.Controller}, nodeServer{target.Controller}, nil
}

func (n *network) countUpdates(count int) {
	n.updates.Add(int64(count))
	for {
		old := n.maxUpdates.Load()
		if int64(count) <= old || n.maxUpdates.CompareAndSwap(old, int64(count)) {
			return
		}
	}
}

// virtualTransport is the Transport of one member of the network.
type virtualTransport struct {
	n    *network
	from string
}

func unwrap[T any](res *connect.Response[T], err error) (*T, error) {
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

func (v virtualTransport) Ping(ctx context.Context, address string, req *peerv1.PingRequest) (*peerv1.PingResponse, error) {
	m, _, err := v.n.serversAt(v.from, address)
	if err != nil {
		return nil, err
	}
	res, err := unwrap(m.Ping(ctx, connect.NewRequest(req)))
	if err == nil {
		v.n.countUpdates(len(req.Updates))
		v.n.countUpdates(len(res.Updates))
	}
	return res, err
}

func (v virtualTransport) IndirectPing(ctx context.Context, address string, req *peerv1.IndirectPingRequest) (*peerv1.IndirectPingResponse, error) {
	m, _, err := v.n.serversAt(v.from, address)
	if err != nil {
		return nil, err
	}
	return unwrap(m.IndirectPing(ctx, connect.NewRequest(req)))
}

func (v virtualTransport) Join(ctx context.Context, address string, req *peerv1.JoinRequest) (*peerv1.JoinResponse, error) {
	m, _, err := v.n.serversAt(v.from, address)
	if err != nil {
		return nil, err
	}
	return unwrap(m.Join(ctx, connect.NewRequest(req)))
}

func (v virtualTransport) FetchConfig(ctx context.Context, address string, req *peerv1.FetchConfigRequest) (*peerv1.ConfigDocument, error) {
	m, _, err := v.n.serversAt(v.from, address)
	if err != nil {
		return nil, err
	}
	return unwrap(m.FetchConfig(ctx, connect.NewRequest(req)))
}

func (v virtualTransport) SetLeaving(ctx context.Context, address string, req *peerv1.SetLeavingRequest) (*peerv1.SetLeavingResponse, error) {
	_, s, err := v.n.serversAt(v.from, address)
	if err != nil {
		return nil, err
	}
	return unwrap(s.SetLeaving(ctx, connect.NewRequest(req)))
}

// states returns the state of each member as this member sees it, by ID.
func (n *node) states() map[string]string {
	out := make(map[string]string)
	for _, m := range n.Snapshot().Members {
		out[m.Id] = stateName(m.State)
	}
	return out
}

// eventually polls with a long timeout, since the machine may be busy.
func eventually(f func(Gomega)) {
	GinkgoHelper()
	Eventually(f).WithTimeout(60 * time.Second).WithPolling(20 * time.Millisecond).Should(Succeed())
}
