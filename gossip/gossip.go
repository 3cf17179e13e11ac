// Package gossip sends the state of this node to the other nodes several times a second over UDP:
// its load, and whether callers may be sent to it. It keeps the states that the other nodes send.
// All of it is soft state: a lost datagram is superseded by the next one.
package gossip

import (
	"context"
	"net"
	"slices"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
)

const (
	// interval is the time between two datagrams to each node of a group of up to fullRateNodes
	// nodes. With more nodes it grows in proportion to their number, so that the traffic of a node
	// stays the same. A load that is 150 ms old is about one request behind. The nodes of this data
	// centre form a group of their own because callers are sent to, and work stays in, their own
	// data centre: the loss of a nearby node is detected within about a second even with hundreds
	// of nodes elsewhere.
	interval      = 150 * time.Millisecond
	fullRateNodes = 8
	// minRoundGap is the minimum time between two rounds. New work is announced at once: nodes that
	// learn of it 150 ms later would all choose the same engine in the meantime, and the last of
	// their callers would wait two seconds for its prompt to be processed.
	minRoundGap = 10 * time.Millisecond
	// minUrgentRoundGap replaces minRoundGap for changes that must reach all nodes before a caller
	// retries at another node, which takes a few one-way delays between data centres. It bounds the
	// number of rounds when an engine with many running answers dies.
	minUrgentRoundGap = 2 * time.Millisecond
	// fullStateInterval is the time between two full datagrams to a node. Those between are brief:
	// they leave out the addresses and are much smaller. Addresses are rarely needed, because a
	// newly discovered node is sent a full datagram at once.
	fullStateInterval = 6 * time.Second
	// fullStateMinRounds is the minimum number of rounds between two full datagrams to a node.
	// Without it, every datagram would carry addresses where rounds are rare.
	fullStateMinRounds = 10
	// livePeriods is how long a node counts as live after its last datagram, in periods of its
	// group: one lost datagram followed by a late one must not remove a node.
	livePeriods = 6
	// maxLiveTime caps that time, so that callers are not sent to nodes that are gone. It never
	// falls below minLivePeriods periods, so that two datagrams may be lost.
	maxLiveTime    = 5 * time.Second
	minLivePeriods = 3
	// probeInterval is the time between datagrams to a node that is not live. A node that was just
	// added is probed after minProbeInterval, and then after twice the last interval: of nodes that
	// start at the same time, some do not receive the first probes yet. forgetAfter is the time
	// without a datagram after which a node is removed; a node that was disconnected for that long
	// finds the others through the store.
	probeInterval    = time.Second
	minProbeInterval = 100 * time.Millisecond
	forgetAfter      = time.Minute
	// DefaultMaxAnnounceAllNodes is the usual number of nodes up to which new work is announced to
	// all of them at once: if nodes of other data centres learn of it late, work is sent to other
	// data centres more often and starts later. Beyond it, the bytes sent would grow with the
	// square of the number of nodes.
	DefaultMaxAnnounceAllNodes = 128
	// maxDatagramDelay is the time within which a datagram arrives that was sent before a later one.
	maxDatagramDelay = 2 * time.Second
	// maxDatagramBytes bounds a datagram in bytes, so that it fits into one packet of the network.
	maxDatagramBytes = 1400
	// maxKnownDiscovered bounds the addresses of other nodes in a datagram to a newly discovered
	// node, and maxKnownRegular those in any other full datagram. Addresses that a node still lacks
	// arrive with later datagrams.
	maxKnownDiscovered = 12
	maxKnownRegular    = 4
)

// Peer is another node according to its last datagram.
type Peer struct {
	Address       string
	CallerAddress string
	PeerAddress   string
	DataCentre    string
	Ready         bool
	Leaving       bool
	// Store is the state of the node's own connection to the store.
	Store exchangev1.StoreLink
	// Forwards is set if the node serves requests for other nodes.
	Forwards bool
	// Lost holds the services of which the node reaches no endpoint, Reached those of which an
	// endpoint has answered it recently.
	Lost, Reached ServiceSet
}

// peer is a known node and the progress of the exchange with it.
type peer struct {
	Peer
	// incarnation and sequence identify the newest state that was received.
	incarnation, sequence uint64
	// incarnationSince is when the first state of this incarnation was received.
	incarnationSince time.Duration
	// lastReceived is when the last state was received, addedAt when the node became known, and
	// lastProbe when it was last probed.
	lastReceived time.Duration
	addedAt      time.Duration
	lastProbe    time.Duration
	// probeGap is the time from lastProbe to the next probe.
	probeGap time.Duration
	// lastFullSent is when the node was last sent a full datagram, 0 if the next one has to be
	// full.
	lastFullSent time.Duration
	live         bool
}

// Options configure a Gossip and connect it to the rest of the process.
type Options struct {
	// IP is the address of this node. Port is the UDP port that all nodes use.
	IP         string
	Port       int
	DataCentre string
	// MaxAnnounceAllNodes is the number of other nodes up to which Announce sends a change to all
	// of them at once.
	MaxAnnounceAllNodes int
	// Now reads a monotonic clock.
	Now func() time.Duration
	// State returns the state of this node to send, without addresses of other nodes.
	State func() *exchangev1.NodeState
	// OnState is called with each state that is newer than the last one of its node, and OnLost
	// with the address of a node that is no longer live. Both are called without locks of the
	// Gossip held.
	OnState func(*exchangev1.NodeState)
	OnLost  func(address string)
	Log     *zap.Logger
}

// Gossip exchanges states with the other nodes. Its methods are safe for concurrent use.
type Gossip struct {
	opts     Options
	mu       sync.Mutex
	peers    map[string]*peer
	sequence uint64
	// near schedules the rounds to the nodes of this data centre, far those to all others.
	near, far roundSchedule
	// roundRequested requests a round before the next one is due; pending holds its recipients.
	roundRequested chan struct{}
	// urgent ends the wait of minRoundGap before a round early, but not before minUrgentRoundGap.
	urgent chan struct{}
	// pendingMu guards pending only. Callers of Announce hold locks of their own that OnLost also
	// takes: if Announce took mu instead, a callback that runs with mu held would deadlock with it.
	pendingMu sync.Mutex
	pending   recipientFilter
	// sent is closed when the pending changes have been sent; nil if nobody waits for that.
	sent chan struct{}
	// peerCount is the number of peers; Announce reads it without mu.
	peerCount atomic.Int32
	// liveCache caches the result of Live until a live node changes, or until liveCacheUntil at the
	// latest. It is nil if it has to be built.
	liveCache      []Peer
	liveCacheUntil time.Duration
}

// New returns a Gossip that knows no other node. Run starts it.
func New(o Options) *Gossip {
	return &Gossip{opts: o, peers: make(map[string]*peer), roundRequested: make(chan struct{}, 1), urgent: make(chan struct{}, 1)}
}

// Add adds nodes by their IP addresses. Invalid addresses and that of this node are ignored.
func (g *Gossip) Add(addresses ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range addresses {
		g.addLocked(a)
	}
}

// addLocked returns the peer with the given address and adds it if it is new. It returns nil for an
// invalid address and for that of this node. The caller holds g.mu.
func (g *Gossip) addLocked(address string) *peer {
	if address == g.opts.IP || net.ParseIP(address) == nil {
		return nil
	}
	p, ok := g.peers[address]
	if !ok {
		p = &peer{Peer: Peer{Address: address}, addedAt: g.opts.Now(), probeGap: minProbeInterval}
		g.peers[address] = p
	}
	return p
}

// Announce requests an immediate round to the nodes of this data centre and of the given ones, or
// to all nodes if there are at most MaxAnnounceAllNodes. It never blocks.
func (g *Gossip) Announce(dataCentres ...string) {
	g.pendingMu.Lock()
	g.pending.all = g.pending.all || int(g.peerCount.Load()) <= g.opts.MaxAnnounceAllNodes
	g.pending.addDataCentre(g.opts.DataCentre)
	for _, name := range dataCentres {
		g.pending.addDataCentre(name)
	}
	g.pendingMu.Unlock()
	g.requestRound()
}

// AnnounceAll requests an immediate round to all nodes. It never blocks.
func (g *Gossip) AnnounceAll() {
	g.pendingMu.Lock()
	g.pending.all = true
	g.pendingMu.Unlock()
	g.requestRound()
}

// AnnounceAllUrgent requests a round to all nodes without waiting for the usual gap between two
// rounds. It never blocks.
func (g *Gossip) AnnounceAllUrgent() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
	g.AnnounceAll()
}

// AnnounceAllAndWait is like AnnounceAllUrgent and returns once the round has been sent, or when ctx
// ends.
func (g *Gossip) AnnounceAllAndWait(ctx context.Context) {
	g.pendingMu.Lock()
	if g.sent == nil {
		g.sent = make(chan struct{})
	}
	sent := g.sent
	g.pending.all = true
	g.pendingMu.Unlock()
	g.AnnounceAllUrgent()
	select {
	case <-sent:
	case <-ctx.Done():
	}
}

// Live returns the live nodes, ordered by address. The result is shared and must not be modified:
// it is read for each request and many times a second besides, and building it each time would use
// up the CPU of a small VM once there are hundreds of nodes.
func (g *Gossip) Live() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.opts.Now()
	if g.liveCache == nil || now >= g.liveCacheUntil {
		g.liveCache, g.liveCacheUntil = g.liveLocked(now)
	}
	return g.liveCache
}

// FarLiveTime returns how long a node of another data centre counts as live after its last
// datagram.
func (g *Gossip) FarLiveTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.far.liveTime()
}

// liveLocked returns the live nodes, and the time until which they stay live if no further datagram
// arrives. The caller holds g.mu.
func (g *Gossip) liveLocked(now time.Duration) (live []Peer, until time.Duration) {
	live, until = []Peer{}, now+g.near.liveTime()
	for _, p := range g.peers {
		liveUntil := p.lastReceived + g.scheduleLocked(p).liveTime()
		if p.live && now < liveUntil {
			live = append(live, p.Peer)
			until = min(until, liveUntil)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Address < live[j].Address })
	return slices.Clip(live), until
}

// Run exchanges datagrams until ctx is cancelled. It returns an error if it cannot listen on the
// node's address.
func (g *Gossip) Run(ctx context.Context) error {
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(g.opts.IP, strconv.Itoa(g.opts.Port)))
	if err != nil {
		return eris.Wrap(err, "gossip")
	}
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = conn.Close()
		close(closed)
	})
	defer func() {
		if stop() {
			_ = conn.Close()
			return
		}
		<-closed // The port is free once Run has returned.
	}()
	go g.receive(ctx, conn)
	for {
		g.sendRound(conn)
		if !g.waitForRound(ctx) {
			return nil
		}
	}
}
