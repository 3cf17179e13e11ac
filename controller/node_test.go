package controller

import (
	"context"
	"math"
	"net"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/crocusreel/crocusreel/peer"
	"github.com/crocusreel/crocusreel/peer/peerv1"
)

// serveNode serves a controller's peer listener over TCP and returns a client for its Node service.
func serveNode(n *node) peerv1.NodeClient {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := peer.NewServer(n.PeerHandler(), nil)
	go server.Serve(l)
	client := peer.NewHTTPClient(nil)
	DeferCleanup(func() {
		client.CloseIdleConnections()
		_ = server.Close()
	})
	return peerv1.NewNodeClient(client, peer.BaseURL(l.Addr().String(), nil))
}

// watch opens a gateway's Watch stream and reads its snapshots in the background.
func watch(client peerv1.NodeClient, leaving bool) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := client.Watch(ctx, connect.NewRequest(&peerv1.WatchRequest{
		GatewayAddress: "10.1.0.1:1", CallerAddress: "10.1.0.1:2", Leaving: leaving,
	}))
	Expect(err).NotTo(HaveOccurred())
	Expect(stream.Receive()).To(BeTrue())
	go func() {
		for stream.Receive() {
		}
	}()
	DeferCleanup(cancel)
	return cancel
}

// expectSeenBy waits until another VM sees vm-000 with the given caller address and state.
func expectSeenBy(other *node, caller, state string) {
	GinkgoHelper()
	eventually(func(g Gomega) {
		for _, m := range other.Snapshot().Members {
			if m.Id == "vm-000" {
				g.Expect([]string{m.CallerAddress, stateName(m.State)}).To(Equal([]string{caller, state}))
			}
		}
	})
}

var _ = Describe("A gateway", func() {
	// A gateway dies while its VM and controller keep running. Callers must not be sent to its
	// address.
	It("is advertised only while its stream is open", func() {
		net := newNetwork()
		nodes := net.startAll(3)
		expectAll(nodes, 3, "alive")
		client := serveNode(nodes[0])
		expectSeenBy(nodes[2], "", "alive")
		stop := watch(client, false)
		expectSeenBy(nodes[2], "10.1.0.1:2", "alive")
		stop()
		expectSeenBy(nodes[2], "", "alive")
	})

	// The stream of a draining gateway breaks and is opened again: the VM must not accept callers.
	// A new gateway that takes its place must be advertised again.
	It("stays leaving when its stream is opened again, and a new gateway does not", func() {
		net := newNetwork()
		nodes := net.startAll(3)
		expectAll(nodes, 3, "alive")
		client := serveNode(nodes[0])
		stop := watch(client, false)
		_, err := client.SetLeaving(context.Background(), connect.NewRequest(&peerv1.SetLeavingRequest{}))
		Expect(err).NotTo(HaveOccurred())
		expectSeenBy(nodes[1], "10.1.0.1:2", "leaving")
		stop()
		expectSeenBy(nodes[1], "", "leaving")
		stop = watch(client, true)
		expectSeenBy(nodes[1], "10.1.0.1:2", "leaving")
		stop()
		watch(client, false)
		expectSeenBy(nodes[1], "10.1.0.1:2", "alive")
	})

	It("stays leaving on a VM that an operator drains", func() {
		net := newNetwork()
		nodes := net.startAll(2)
		expectAll(nodes, 2, "alive")
		client := serveNode(nodes[0])
		Expect(nodes[1].Leave(context.Background(), "vm-000")).To(Succeed())
		watch(client, false)
		expectSeenBy(nodes[1], "10.1.0.1:2", "leaving")
	})
})

var _ = Describe("A peer's message", func() {
	// A member cannot supersede a record with the highest incarnation. If such a record were
	// accepted, it would keep a live VM out of service permanently.
	It("cannot make a member impossible to refute", func() {
		n := newNetwork().start(0)
		self := proto.CloneOf(n.Snapshot().Self)
		self.Incarnation, self.State = math.MaxUint64, peerv1.MemberState_MEMBER_STATE_DEAD
		from := &peerv1.Member{Id: "vm-9", ControllerAddress: "10.0.0.9:1", State: peerv1.MemberState_MEMBER_STATE_ALIVE}
		_, err := membershipServer{n.Controller}.Ping(context.Background(),
			connect.NewRequest(&peerv1.PingRequest{From: from, Updates: []*peerv1.Member{self}}))
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Snapshot().Self.Incarnation).To(BeNumerically("<", 1<<62))
		Expect(n.states()).To(Equal(map[string]string{"vm-000": "alive", "vm-9": "alive"}))
	})
})

// FuzzPeerMessages passes any input that unmarshals to the handlers of a controller.
func FuzzPeerMessages(f *testing.F) {
	member := &peerv1.Member{Id: "a", ControllerAddress: "10.0.0.1:1", State: peerv1.MemberState_MEMBER_STATE_ALIVE}
	good, err := proto.Marshal(&peerv1.PingRequest{From: member, Updates: []*peerv1.Member{member}, ConfigVersion: 1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{})
	net := &network{nodes: map[string]*node{}, platform: newFakePlatform()}
	c := New(Options{Transport: virtualTransport{net, "fuzz"}, Platform: net.platform, Log: zap.NewNop()})
	m := membershipServer{c}
	f.Fuzz(func(t *testing.T, data []byte) {
		ping, join, fetch := new(peerv1.PingRequest), new(peerv1.JoinRequest), new(peerv1.FetchConfigRequest)
		if proto.Unmarshal(data, ping) == nil {
			_, _ = m.Ping(t.Context(), connect.NewRequest(ping))
		}
		if proto.Unmarshal(data, join) == nil {
			_, _ = m.Join(t.Context(), connect.NewRequest(join))
		}
		if proto.Unmarshal(data, fetch) == nil {
			_, _ = m.FetchConfig(t.Context(), connect.NewRequest(fetch))
		}
		if c.Snapshot().Self.Incarnation >= 1<<62 {
			t.Fatal("incarnation out of bounds")
		}
	})
}

// Clients of /healthz and /debug/vars use HTTP/1.
var _ = Describe("The peer listener", func() {
	It("answers health checks and counters", func() {
		n := newNetwork().start(0)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := peer.NewServer(n.PeerHandler(), nil)
		go server.Serve(l)
		DeferCleanup(server.Close)
		for _, path := range []string{"/healthz", "/debug/vars"} {
			res, err := http.Get("http://" + l.Addr().String() + path)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Body.Close()).To(Succeed())
			Expect(res.StatusCode).To(Equal(http.StatusOK))
		}
	})
})
