package node

import (
	"context"
	"hash/fnv"
	"net"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/peer"
	"github.com/crocusreel/crocusreel/platform"
)

// One node, the reader, follows the store. The first node of each other data centre follows
// the reader, and the other nodes follow the first one of theirs. The store's calls then
// hardly grow with the nodes: of the calls of 63 nodes with a reader in each of four data
// centres, two in five fell away, a hundredth of what the answers were worth. Each node
// tells the others whether the store answers it, so that nobody follows a node that was
// turned away and learns from others, with a delay: whoever followed it would hear of a
// leaving endpoint seconds late. Where all of a data centre have lost the store, they follow
// any node that reads it.
const (
	// readerWait is how long a reader holds a follower's question. It answers sooner when
	// the store has answered it, about once a second.
	readerWait = 600 * time.Millisecond
	// readerTimeout bounds the question: a reader that is frozen or cut off is passed over
	// after it.
	readerTimeout = readerWait + 250*time.Millisecond
	// staleAfter is the age of the list of endpoints from which the first node of a data
	// centre asks the store itself, although the reader answers: the store did not answer the
	// reader's question of a second. Those who follow that node stay with it: were all to
	// look for another, sixty nodes would go through each other while the store hears
	// nobody for a second, and half of them be behind for two seconds more.
	staleAfter = endpointsWait + 250*time.Millisecond
	// directFor is how long it then stays with the store.
	directFor = 5 * time.Second
	// shunFor is how long a reader that did not answer is passed over.
	shunFor = 3 * time.Second
	// startWait is how long a node that starts waits for another one that reads the store.
	// Those that are named as seeds do not wait.
	startWait = 150 * time.Millisecond
	// startCheck is how often it looks.
	startCheck = 5 * time.Millisecond
	// endpointsStale is the age from which a list of endpoints tells nothing of those that
	// leave.
	endpointsStale = 3 * time.Second
	// peersStale is the age from which a node that follows the store asks other nodes
	// as well: the store does not answer it.
	peersStale = changesWait + 600*time.Millisecond
	// askEvery is the pause between two such questions, askTimeout bounds one.
	askEvery   = 250 * time.Millisecond
	askTimeout = 400 * time.Millisecond
)

// follower remembers readers that failed this node.
type follower struct {
	mu      sync.Mutex
	shunned map[string]time.Duration
	// directUntil is until when the store is asked although there is a reader.
	directUntil time.Duration
	// reader is the address of the last one, for the log.
	reader string
}

func (f *follower) goDirect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directUntil = boottime.Now() + directFor
}

func (f *follower) direct() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return boottime.Now() < f.directUntil
}

func (f *follower) shun(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shunned == nil {
		f.shunned = make(map[string]time.Duration)
	}
	f.shunned[address] = boottime.Now() + shunFor
}

func (f *follower) shuns(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return boottime.Now() < f.shunned[address]
}

// follows records whom this node follows, empty for the store, and returns whether that
// has changed.
func (f *follower) follows(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.reader != address
	f.reader = address
	return changed
}

// storeLink is this node's own way to the store, for the others.
func (n *Node) storeLink() exchangev1.StoreLink {
	config, endpoints := n.configFeed.link(), n.endpointFeed.link()
	lost := exchangev1.StoreLink_STORE_LINK_LOST
	switch {
	case config == lost || endpoints == lost:
		return lost
	case config == endpoints:
		return config
	default:
		return exchangev1.StoreLink_STORE_LINK_UNSPECIFIED
	}
}

// reader returns the node to follow; ok is false if this node follows the store itself.
func (n *Node) reader() (reader gossip.Peer, ok bool) {
	live := n.gossip.Live()
	own := n.storeLink() != exchangev1.StoreLink_STORE_LINK_LOST
	if n.starts() {
		return n.anyReader(live)
	}
	if p, found := n.first(live, own, func(p gossip.Peer) bool { return p.DataCentre == n.settings.DataCentre }); found {
		return p, true
	}
	if !own {
		return n.anyReader(live)
	}
	if n.follower.direct() {
		return reader, false
	}
	return n.first(live, own, func(gossip.Peer) bool { return true })
}

// starts tells whether this node does not know yet what it needs to serve.
func (n *Node) starts() bool {
	known, _ := n.config.Current()
	return known.Table == nil || n.entries.known() == 0
}

// awaitsReader tells whether a node that starts still waits for one that reads the store.
func (n *Node) awaitsReader() bool {
	return n.starts() && !n.seed() && boottime.Now()-n.started < startWait
}

// seed tells whether this node is one of those that every node knows at its start.
func (n *Node) seed() bool {
	for _, seed := range n.settings.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil && host == n.settings.IP {
			return true
		}
	}
	return false
}

// first returns the node with the lowest address of those that fit and have not lost the
// store, if that is not this one. Own tells whether this one has the store.
func (n *Node) first(live []gossip.Peer, own bool, fits func(gossip.Peer) bool) (gossip.Peer, bool) {
	for _, p := range live {
		if own && n.settings.IP < p.Address {
			break
		}
		lost := p.Store == exchangev1.StoreLink_STORE_LINK_LOST
		if fits(p) && !p.Leaving && !lost && !n.follower.shuns(p.Address) {
			return p, true
		}
	}
	return gossip.Peer{}, false
}

// anyReader returns a node that reads the store. Nodes choose by their own address, so that
// not all go to the same one.
func (n *Node) anyReader(live []gossip.Peer) (gossip.Peer, bool) {
	var readers []gossip.Peer
	for _, p := range live {
		if p.Store == exchangev1.StoreLink_STORE_LINK_READS && !p.Leaving && !n.follower.shuns(p.Address) {
			readers = append(readers, p)
		}
	}
	if len(readers) == 0 {
		return gossip.Peer{}, false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.settings.IP))
	return readers[int(h.Sum32()%uint32(len(readers)))], true
}

// asksStore returns whether a feed is to ask the store.
func (n *Node) asksStore(f *feed) bool {
	if n.fleet.Without[fleet.OneReader] {
		return true
	}
	_, follows := n.reader()
	return (!follows && !n.awaitsReader()) || f.retryDue()
}

// storePatience bounds the pause between two questions while the store does not answer.
func (n *Node) storePatience() time.Duration {
	if n.firstInDataCentre() {
		return longestBackoff
	}
	return lostRetry
}

// follow learns from other nodes while this one does not follow the store, or while the
// store does not answer it.
func (n *Node) follow(ctx context.Context) error {
	next := 0
	for ctx.Err() == nil {
		n.expireEndpoints()
		p, ok := n.reader()
		if n.follower.follows(p.Address) {
			n.log.Info("follows", zap.String("reader", p.Address), zap.Bool("store", !ok),
				zap.Duration("endpoints_age", n.entries.age()), zap.Stringer("own_link", n.storeLink()))
		}
		if ok {
			n.ask(ctx, p)
			continue
		}
		if n.awaitsReader() {
			pause(ctx, startCheck)
			continue
		}
		pause(ctx, askEvery)
		if _, ages := n.config.Current(); ages.Answered < peersStale {
			continue
		}
		if live := n.gossip.Live(); len(live) > 0 {
			next++
			address := live[next%len(live)].PeerAddress
			if err := n.askPeer(ctx, address, 0, askTimeout); err != nil {
				metrics.Count("peer_not_reached")
			}
		}
	}
	return nil
}

// ask learns from the reader, and looks for another source if that fails or is behind.
func (n *Node) ask(ctx context.Context, reader gossip.Peer) {
	err := n.askPeer(ctx, reader.PeerAddress, readerWait, readerTimeout)
	age := n.entries.age()
	behind := age >= staleAfter && n.leads(reader)
	if ctx.Err() != nil || (err == nil && !behind) {
		return
	}
	metrics.Count("reader_passed_over")
	n.log.Info("reader passed over", zap.String("reader", reader.Address), zap.Duration("endpoints_age", age), zap.Error(err))
	if n.leads(reader) {
		n.follower.goDirect()
		return
	}
	n.follower.shun(reader.Address)
}

// leads tells whether this node, which follows the given one, is the first of its data
// centre that has not lost the store.
func (n *Node) leads(reader gossip.Peer) bool {
	return reader.DataCentre != n.settings.DataCentre && n.storeLink() != exchangev1.StoreLink_STORE_LINK_LOST
}

func (n *Node) expireEndpoints() {
	for _, id := range n.fleet.Expire(missingGrace) {
		n.log.Info("endpoint gone", zap.String("endpoint", id), zap.Duration("missing", missingGrace))
	}
	if n.storeAway() {
		return
	}
	for _, id := range n.fleet.Reinstate(healthDoubt) {
		n.log.Info("endpoint stays after all, its entry does not say that it leaves", zap.String("endpoint", id))
	}
}

// askPeer takes over what another node knows.
func (n *Node) askPeer(ctx context.Context, address string, wait, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	known, _ := n.config.Current()
	endpoints := n.entries.known()
	asked := boottime.Now()
	client := exchangev1.NewExchangeClient(n.peerClient, peer.BaseURL(address, nil))
	resp, err := client.Snapshot(ctx, connect.NewRequest(&exchangev1.SnapshotRequest{
		ConfigVersion:    known.Row,
		EndpointsVersion: endpoints,
		WaitMs:           uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return err
	}
	// The peer's answer was made after the question was sent, so its age counts back
	// from there; the way of the answer may have taken any time.
	answered := boottime.Now()
	seen := knowledge.Seen{
		Certain:  asked - millis(resp.Msg.GetConfigAgeMs()),
		Answered: answered - millis(resp.Msg.GetAnsweredAgeMs()),
	}
	if c := resp.Msg.GetConfig(); c != nil {
		n.applyConfiguration(c.GetData(), c.GetVersion(), seen)
	}
	n.config.Confirm(resp.Msg.GetConfigVersion(), seen)
	n.endpointsFromPeer(resp.Msg, endpoints, knowledge.Seen{Answered: answered - millis(resp.Msg.GetEndpointsAgeMs())})
	return nil
}

func millis(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (n *Node) endpointsFromPeer(resp *exchangev1.SnapshotResponse, known int64, seen knowledge.Seen) {
	listing := platform.Listing{Version: resp.GetEndpointsVersion()}
	for _, row := range resp.GetEndpoints() {
		listing.Rows = append(listing.Rows, platform.Row{
			Key: row.GetKey(), Value: row.GetData(), Version: row.GetVersion(), Deleted: row.GetDeleted(),
		})
	}
	n.unsteadyPeer.Store(resp.GetUnsteady())
	n.awayPeer.Store(resp.GetAway())
	if resp.GetEndpointsWhole() {
		n.endpointsListed(listing, seen)
		return
	}
	if resp.GetEndpointsVersion() >= known {
		n.endpointsChanged(listing, seen)
	}
}

// exchangeServer answers nodes that follow this one.
type exchangeServer struct{ n *Node }

// Snapshot implements exchangev1.ExchangeHandler.
func (s exchangeServer) Snapshot(ctx context.Context, req *connect.Request[exchangev1.SnapshotRequest]) (*connect.Response[exchangev1.SnapshotResponse], error) {
	n := s.n
	timer := time.NewTimer(time.Duration(req.Msg.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	changed := n.news.wait()
	known, ages := n.config.Current()
	if known.Row <= req.Msg.GetConfigVersion() && n.entries.known() <= req.Msg.GetEndpointsVersion() {
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		known, ages = n.config.Current()
	}
	if known.Table == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoConfiguration)
	}
	resp := &exchangev1.SnapshotResponse{
		ConfigVersion: known.Row,
		ConfigAgeMs:   uint64(ages.Certain.Milliseconds()) + 1,
		AnsweredAgeMs: uint64(ages.Answered.Milliseconds()) + 1,
		Unsteady:      n.tentative(),
		Away:          n.storeAway(),
	}
	if known.Row > req.Msg.GetConfigVersion() {
		resp.Config = &exchangev1.Row{Key: platform.KeyConfiguration, Data: known.Raw, Version: known.Row}
	}
	n.entries.fill(resp, req.Msg.GetEndpointsVersion())
	return connect.NewResponse(resp), nil
}

// news wakes those who wait for a change, or for the store's next answer: a follower knows
// by it that nothing has changed.
type news struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed at the next change.
func (w *news) wait() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ch == nil {
		w.ch = make(chan struct{})
	}
	return w.ch
}

func (w *news) tell() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ch != nil {
		close(w.ch)
		w.ch = nil
	}
}
