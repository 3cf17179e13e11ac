// Package gossip tells the other nodes several times a second what this node runs and
// whether callers may be sent to it, and keeps what they tell. All of it is soft state:
// a lost datagram is replaced by the next one.
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
	"google.golang.org/protobuf/proto"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/retry"
)

const (
	// interval is the time between two datagrams to each node of this data centre, and to
	// each of the others, while there are at most fullRate of them; beyond, it grows with
	// their number, so that a node's traffic stays the same. A load that is 150 ms old is about
	// one request behind. Callers are sent to nodes of their own data centre, and work is kept
	// there, so that nodes hear of a loss nearby in a second when there are hundreds of them.
	interval = 150 * time.Millisecond
	fullRate = 8
	// shortestGap is the least time between two rounds. New work is told at once: nodes
	// that learn of it 150 ms later all choose the same engine meanwhile, and the last
	// of their callers waits two seconds for its prompt to be read.
	shortestGap = 10 * time.Millisecond
	// urgentGap is the same for news that must be everywhere before a caller comes again
	// elsewhere, a few ways between data centres later. It bounds the rounds when an engine
	// with many answers dies.
	urgentGap = 2 * time.Millisecond
	// fullEvery is the time between two datagrams to a node that also carry addresses;
	// those between are shorter by far. Nobody needs addresses often: a node that was just
	// found is told everything.
	fullEvery = 6 * time.Second
	// fullRounds is the least number of rounds between two of them: where rounds are rare,
	// each datagram would else carry addresses.
	fullRounds = 10
	// liveFor is how long a node counts as live after its last datagram, in intervals:
	// a lost datagram and a late one in a row must not take a node out.
	liveFor = 6
	// longestLive bounds that time, so that callers are not told of nodes that are gone, as
	// long as it is leastLiveFor intervals: two datagrams may be lost.
	longestLive  = 5 * time.Second
	leastLiveFor = 3
	// probeEvery is the time between datagrams to a node that is not heard of, and
	// forgetAfter the time after which it is given up. A node that was cut off that
	// long finds the others through the store.
	probeEvery  = time.Second
	forgetAfter = time.Minute
	// TellAllUpTo is the usual number of nodes up to which all are told of new work at
	// once: work goes to other data centres more often, and starts later, where the nodes
	// there hear of it late. Beyond, bytes grow with the square of the number of nodes.
	TellAllUpTo = 128
	// maxDatagram bounds a datagram in bytes: the network's packets hold no more.
	maxDatagram = 1400
	// maxKnown bounds the addresses of other nodes in a datagram to a node that was just
	// found, and fewKnown in any other: those that a node lacks come with some other.
	maxKnown = 12
	fewKnown = 4
)

// Peer is another node as it last told of itself.
type Peer struct {
	Address       string
	CallerAddress string
	PeerAddress   string
	DataCentre    string
	Ready         bool
	Leaving       bool
	// Store is the node's own way to the store.
	Store exchangev1.StoreLink
}

type peer struct {
	Peer
	incarnation, sequence uint64
	heard                 time.Duration
	added                 time.Duration
	sent                  time.Duration
	// full is when the node was last told everything; 0 if it has to be.
	full time.Duration
	live bool
}

// Options describe the node and the rest of the process.
type Options struct {
	// IP is this node's address; Port is that of all nodes' datagrams.
	IP         string
	Port       int
	DataCentre string
	// TellAllUpTo is the number of other nodes up to which Tell tells all of them.
	TellAllUpTo int
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
	// near and far are the regular rounds to the nodes of this data centre and to others.
	near, far rounds
	// changed asks for a round before the next one is due, and audience tells to whom.
	changed chan struct{}
	// urgent ends the usual pause before a round.
	urgent chan struct{}
	// audienceMu guards audience alone. Those who tell hold locks of their own, which are
	// also taken while a lost node is told of: were it mu, each would wait for the other.
	audienceMu sync.Mutex
	audience   audience
	// known is the number of peers.
	known atomic.Int32
	// view is what Live returns until something in it changes, or until viewUntil at the
	// latest; nil if it has to be made.
	view      []Peer
	viewUntil time.Duration
}

// rounds are the regular ones to a group of nodes.
type rounds struct {
	// members is the number of nodes that the period is for: those of this data centre, or
	// all, since bytes between data centres are dear.
	members int
	// last is when all of them were last told.
	last time.Duration
}

// period is the time between two rounds.
func (r *rounds) period() time.Duration {
	return interval * time.Duration(max(r.members, fullRate)) / fullRate
}

// liveTime is how long a node of the group counts as live after its last datagram.
func (r *rounds) liveTime() time.Duration {
	return max(min(liveFor*r.period(), longestLive), leastLiveFor*r.period())
}

// begin tells whether a round is due, and begins it.
func (r *rounds) begin(now time.Duration) bool {
	if now-r.last < r.period() {
		return false
	}
	r.last = now
	return true
}

// audience is who must hear of a change at once. Nodes that were just found always do.
type audience struct {
	all         bool
	dataCentres map[string]bool
}

func (a *audience) add(dataCentre string) {
	if a.dataCentres == nil {
		a.dataCentres = make(map[string]bool)
	}
	a.dataCentres[dataCentre] = true
}

func (a *audience) includes(dataCentre string) bool { return a.all || a.dataCentres[dataCentre] }

// New returns a Gossip that knows no other node.
func New(o Options) *Gossip {
	return &Gossip{o: o, peers: make(map[string]*peer), changed: make(chan struct{}, 1), urgent: make(chan struct{}, 1)}
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

// Tell makes the next round come at once, to the nodes of this data centre and the given
// ones, or to all if there are few. It never blocks.
func (g *Gossip) Tell(dataCentres ...string) {
	g.audienceMu.Lock()
	g.audience.all = g.audience.all || int(g.known.Load()) <= g.o.TellAllUpTo
	g.audience.add(g.o.DataCentre)
	for _, name := range dataCentres {
		g.audience.add(name)
	}
	g.audienceMu.Unlock()
	g.wake()
}

// TellAll makes the next round come at once, to all nodes. It never blocks.
func (g *Gossip) TellAll() {
	g.audienceMu.Lock()
	g.audience.all = true
	g.audienceMu.Unlock()
	g.wake()
}

// TellNow makes the next round come before the usual gap between two, to all nodes.
func (g *Gossip) TellNow() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
	g.TellAll()
}

func (g *Gossip) wake() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// Live returns the nodes heard of lately, ordered by address. The result is shared and
// must not be changed: it is asked for with each request and many times a second besides,
// and to make it anew each time would take a small VM's processor once there are hundreds.
func (g *Gossip) Live() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Now()
	if g.view == nil || now >= g.viewUntil {
		g.view, g.viewUntil = g.liveLocked(now)
	}
	return g.view
}

// FarLiveTime is how long a node of another data centre counts as live after its last datagram.
func (g *Gossip) FarLiveTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.far.liveTime()
}

// liveLocked returns the live nodes and until when they are, if nothing is heard.
func (g *Gossip) liveLocked(now time.Duration) (live []Peer, until time.Duration) {
	live, until = []Peer{}, now+g.near.liveTime()
	for _, p := range g.peers {
		ends := p.heard + g.groupLocked(p).liveTime()
		if p.live && now < ends {
			live = append(live, p.Peer)
			until = min(until, ends)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Address < live[j].Address })
	return slices.Clip(live), until
}

// Run exchanges datagrams until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(g.o.IP, strconv.Itoa(g.o.Port)))
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
		<-closed // the port is free once Run returns
	}()
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
	due := time.NewTimer(g.untilRegular())
	defer due.Stop()
	if !g.space(ctx) {
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

// space keeps two rounds apart; it returns false once ctx ends.
func (g *Gossip) space(ctx context.Context) bool {
	spaced := time.NewTimer(shortestGap)
	defer spaced.Stop()
	if !retry.Sleep(ctx, urgentGap) {
		return false
	}
	select {
	case <-spaced.C:
	case <-g.urgent:
	case <-ctx.Done():
		return false
	}
	return true
}

func (g *Gossip) untilRegular() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return min(g.near.last+g.near.period(), g.far.last+g.far.period()) - g.o.Now()
}

// groupLocked returns the regular rounds that a node is in. One that was not heard of yet
// is taken for a far one.
func (g *Gossip) groupLocked(p *peer) *rounds {
	if p.DataCentre == g.o.DataCentre {
		return &g.near
	}
	return &g.far
}

// recipients are the nodes of one round, by what they are told.
type recipients struct {
	// brief get loads only, whole everything, and found many known addresses as well. Probed
	// are those that are not heard of: whoever answers has its addresses from others.
	brief, whole, found, probed []string
}

// round sends this node's state to every node that is due.
func (g *Gossip) round(conn net.PacketConn) {
	to := g.due()
	g.send(conn, to.brief, func(s *exchangev1.NodeState) { shorten(s) })
	g.send(conn, to.whole, func(s *exchangev1.NodeState) { s.Known = g.someLive(fewKnown) })
	g.send(conn, to.found, func(s *exchangev1.NodeState) { s.Known = g.someLive(maxKnown) })
	g.send(conn, to.probed, func(*exchangev1.NodeState) {})
}

func (g *Gossip) send(conn net.PacketConn, targets []string, shape func(*exchangev1.NodeState)) {
	if len(targets) == 0 {
		return
	}
	data := g.encode(shape)
	for _, address := range targets {
		to := &net.UDPAddr{IP: net.ParseIP(address), Port: g.o.Port}
		if _, err := conn.WriteTo(data, to); err != nil {
			metrics.Count("gossip_send_failed")
		}
	}
}

// takeAudience returns who has to hear of changes and empties the list.
func (g *Gossip) takeAudience() audience {
	g.audienceMu.Lock()
	defer g.audienceMu.Unlock()
	a := g.audience
	g.audience = audience{}
	return a
}

// due lists the nodes to send to and drops those that are given up.
func (g *Gossip) due() recipients {
	to, lost := g.look(g.takeAudience())
	for _, address := range lost {
		g.o.Lost(address)
	}
	return to
}

// look goes through all nodes; lost are those that were live until now.
func (g *Gossip) look(heard audience) (to recipients, lost []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Now()
	if g.near.begin(now) {
		heard.add(g.o.DataCentre)
	}
	farToo := g.far.begin(now)
	near := 0
	for address, p := range g.peers {
		group := g.groupLocked(p)
		if group == &g.near {
			near++
		}
		quiet := now - max(p.heard, p.added)
		if p.live && quiet >= group.liveTime() {
			p.live, p.full = false, 0
			g.o.Log.Info("node lost", zap.String("node", address), zap.Duration("quiet", quiet))
			lost = append(lost, address)
			g.view = nil
		}
		switch {
		case quiet >= forgetAfter:
			delete(g.peers, address)
		case p.live:
			if heard.includes(p.DataCentre) || (farToo && group == &g.far) || p.full == 0 {
				to.addLive(address, p, now, max(fullEvery, fullRounds*group.period()))
			}
		case p.sent == 0 || now-p.sent >= probeEvery:
			p.sent = now
			to.probed = append(to.probed, address)
		}
	}
	g.near.members, g.far.members = near, len(g.peers)
	g.known.Store(int32(len(g.peers)))
	return to, lost
}

// addLive adds a live node, which is told its share of addresses again after the given time.
func (r *recipients) addLive(address string, p *peer, now, fullAfter time.Duration) {
	switch {
	case p.full == 0:
		r.found = append(r.found, address)
	case now-p.full >= fullAfter:
		r.whole = append(r.whole, address)
	default:
		r.brief = append(r.brief, address)
		return
	}
	p.full = now
}

// someLive returns addresses of live nodes, at most the given number. A map's order is
// random, so that others come at other times.
func (g *Gossip) someLive(most int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var known []string
	for address, p := range g.peers {
		if p.live && len(known) < most {
			known = append(known, address)
		}
	}
	return known
}

func (g *Gossip) encode(shape func(*exchangev1.NodeState)) []byte {
	state := g.o.State()
	shape(state)
	g.mu.Lock()
	g.sequence++
	state.Sequence = g.sequence
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
