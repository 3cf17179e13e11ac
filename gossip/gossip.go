// Package gossip tells the other nodes several times a second what this node runs and
// whether callers may be sent to it, and keeps what they tell. All of it is soft state:
// a lost datagram is replaced by the next one.
package gossip

import (
	"context"
	"net"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

const (
	// interval is the time between two datagrams to each node while there are at most
	// fullRate of them; beyond, it grows with their number, so that a node's traffic
	// stays the same. A load that is 150 ms old is about one request behind.
	interval = 150 * time.Millisecond
	fullRate = 16
	// shortestGap is the least time between two rounds. New work is told at once: nodes
	// that learn of it 150 ms later all choose the same engine meanwhile, and the last
	// of their callers waits two seconds for its prompt to be read.
	shortestGap = 10 * time.Millisecond
	// fullEvery is the time between two datagrams that also carry addresses; those
	// between are a third of their size, and bytes between data centres have a price.
	fullEvery = time.Second
	// liveFor is how long a node counts as live after its last datagram, in intervals:
	// a lost datagram and a late one in a row must not take a node out.
	liveFor = 6
	// probeEvery is the time between datagrams to a node that is not heard of, and
	// forgetAfter the time after which it is given up. A node that was cut off that
	// long finds the others through the store.
	probeEvery  = time.Second
	forgetAfter = time.Minute
	// maxDatagram bounds a datagram in bytes: the network's packets hold no more.
	maxDatagram = 1400
	// maxKnown bounds the addresses of other nodes in a datagram.
	maxKnown = 32
)

// Peer is another node as it last told of itself.
type Peer struct {
	Address       string
	CallerAddress string
	PeerAddress   string
	DataCentre    string
	Ready         bool
	Leaving       bool
}

type peer struct {
	Peer
	incarnation, sequence uint64
	heard                 time.Duration
	added                 time.Duration
	sent                  time.Duration
	live                  bool
}

// Options describe the node and the rest of the process.
type Options struct {
	// IP is this node's address; Port is that of all nodes' datagrams.
	IP   string
	Port int
	// Now reads a monotonic clock.
	Now func() time.Duration
	// State returns what to tell, without addresses of other nodes.
	State func() *exchangev1.NodeState
	// Heard takes each state that is newer than the last of its node; Lost takes the
	// address of a node that is no longer live.
	Heard func(*exchangev1.NodeState)
	Lost  func(address string)
	Log   *zap.Logger
}

// Gossip exchanges states with the other nodes.
type Gossip struct {
	o        Options
	mu       sync.Mutex
	peers    map[string]*peer
	sequence uint64
	// full is when addresses were last told.
	full time.Duration
	// changed asks for a round before the next one is due.
	changed chan struct{}
}

// New returns a Gossip that knows no other node.
func New(o Options) *Gossip {
	return &Gossip{o: o, peers: make(map[string]*peer), changed: make(chan struct{}, 1)}
}

// Add makes nodes known by their IPs.
func (g *Gossip) Add(addresses ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range addresses {
		g.addLocked(a)
	}
}

func (g *Gossip) addLocked(address string) *peer {
	if address == g.o.IP || net.ParseIP(address) == nil {
		return nil
	}
	p, ok := g.peers[address]
	if !ok {
		p = &peer{Peer: Peer{Address: address}, added: g.o.Now()}
		g.peers[address] = p
	}
	return p
}

// Tell makes the next round come at once. It never blocks.
func (g *Gossip) Tell() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// Live returns the nodes heard of lately, ordered by address.
func (g *Gossip) Live() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var live []Peer
	for _, p := range g.peers {
		if p.live && g.o.Now()-p.heard < g.liveTimeLocked() {
			live = append(live, p.Peer)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Address < live[j].Address })
	return live
}

// Run exchanges datagrams until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(g.o.IP, strconv.Itoa(g.o.Port)))
	if err != nil {
		return eris.Wrap(err, "gossip")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go g.receive(ctx, conn)
	for {
		g.round(conn)
		if !g.wait(ctx) {
			return nil
		}
	}
}

// wait waits until the next round is due or asked for; it returns false once ctx ends.
func (g *Gossip) wait(ctx context.Context) bool {
	due := time.NewTimer(g.period())
	defer due.Stop()
	spaced := time.NewTimer(shortestGap)
	defer spaced.Stop()
	select {
	case <-spaced.C:
	case <-ctx.Done():
		return false
	}
	select {
	case <-due.C:
	case <-g.changed:
	case <-ctx.Done():
		return false
	}
	return true
}

func (g *Gossip) period() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.periodLocked()
}

func (g *Gossip) periodLocked() time.Duration {
	return interval * time.Duration(max(len(g.peers), fullRate)) / fullRate
}

func (g *Gossip) liveTimeLocked() time.Duration { return liveFor * g.periodLocked() }

// round sends this node's state to every node that is due.
func (g *Gossip) round(conn net.PacketConn) {
	live, others := g.due()
	if len(live) > 0 {
		g.send(conn, live, g.briefly())
	}
	// A node that does not know this one's addresses yet can do nothing with less.
	g.send(conn, others, false)
}

func (g *Gossip) send(conn net.PacketConn, targets []string, brief bool) {
	if len(targets) == 0 {
		return
	}
	data := g.encode(brief)
	for _, address := range targets {
		to := &net.UDPAddr{IP: net.ParseIP(address), Port: g.o.Port}
		if _, err := conn.WriteTo(data, to); err != nil {
			metrics.Count("gossip_send_failed")
		}
	}
}

// briefly tells whether live nodes are told of loads only this time.
func (g *Gossip) briefly() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Now()
	if g.full == 0 || now-g.full >= fullEvery {
		g.full = now
		return false
	}
	return true
}

// due lists the nodes to send to, those that are live and others, and drops those that
// are given up.
func (g *Gossip) due() (live, others []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Now()
	for address, p := range g.peers {
		quiet := now - max(p.heard, p.added)
		if p.live && quiet >= g.liveTimeLocked() {
			p.live = false
			g.o.Log.Info("node lost", zap.String("node", address), zap.Duration("quiet", quiet))
			g.o.Lost(address)
		}
		if quiet >= forgetAfter {
			delete(g.peers, address)
			continue
		}
		if p.live {
			live = append(live, address)
			continue
		}
		if p.sent == 0 || now-p.sent >= probeEvery {
			p.sent = now
			others = append(others, address)
		}
	}
	return live, others
}

func (g *Gossip) encode(brief bool) []byte {
	state := g.o.State()
	g.mu.Lock()
	g.sequence++
	state.Sequence = g.sequence
	if brief {
		shorten(state)
	}
	for address, p := range g.peers {
		if !brief && p.live && len(state.Known) < maxKnown {
			state.Known = append(state.Known, address)
		}
	}
	g.mu.Unlock()
	data, err := proto.Marshal(state)
	for err == nil && len(data) > maxDatagram && len(state.GetLoads()) > 0 {
		// A node with work on very many endpoints tells of the first ones only; the
		// others are then a little more crowded than nodes think.
		state.Loads = state.GetLoads()[:len(state.GetLoads())/2]
		metrics.Count("gossip_loads_cut")
		data, err = proto.Marshal(state)
	}
	if err != nil {
		metrics.Count("gossip_encode_failed")
	}
	return data
}

// shorten leaves out what changes with a new incarnation only.
func shorten(s *exchangev1.NodeState) {
	s.Brief = true
	s.CallerAddress, s.PeerAddress, s.DataCentre = "", "", ""
}

func (g *Gossip) receive(ctx context.Context, conn net.PacketConn) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := conn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			metrics.Count("gossip_receive_failed")
			time.Sleep(time.Millisecond)
			continue
		}
		state := &exchangev1.NodeState{}
		if err := proto.Unmarshal(buf[:n], state); err != nil {
			metrics.Count("gossip_malformed")
			continue
		}
		if g.take(state) {
			g.o.Heard(state)
		}
	}
}

// take records a state; it returns false for one that is not newer than the last.
func (g *Gossip) take(s *exchangev1.NodeState) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.addLocked(s.GetAddress())
	if p == nil {
		return false
	}
	stale := s.GetIncarnation() == p.incarnation && s.GetSequence() <= p.sequence
	if s.GetIncarnation() < p.incarnation || stale {
		metrics.Count("gossip_stale")
		return false
	}
	if s.GetBrief() && s.GetIncarnation() != p.incarnation {
		// Its addresses come with the next whole datagram; it is asked for by telling
		// the node of this one.
		p.live, p.sent = false, 0
		return false
	}
	p.incarnation, p.sequence = s.GetIncarnation(), s.GetSequence()
	p.heard = g.o.Now()
	if !p.live || p.Ready != s.GetReady() || p.Leaving != s.GetLeaving() {
		g.o.Log.Info("node heard", zap.String("node", s.GetAddress()), zap.Bool("ready", s.GetReady()),
			zap.Bool("leaving", s.GetLeaving()), zap.Uint64("incarnation", s.GetIncarnation()))
	}
	if !p.live {
		// A node that was not live may have missed the addresses.
		g.full = 0
	}
	p.live = true
	p.Ready, p.Leaving = s.GetReady(), s.GetLeaving()
	if s.GetBrief() {
		return true
	}
	p.Peer = Peer{
		Address:       s.GetAddress(),
		CallerAddress: s.GetCallerAddress(),
		PeerAddress:   s.GetPeerAddress(),
		DataCentre:    s.GetDataCentre(),
		Ready:         s.GetReady(),
		Leaving:       s.GetLeaving(),
	}
	for _, address := range s.GetKnown() {
		g.addLocked(address)
	}
	return true
}
