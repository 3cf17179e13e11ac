package node

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/peer"
	"github.com/crocusreel/crocusreel/platform"
)

// One node of each data centre, the reader, follows the store; the others follow the
// reader. The store's calls then grow with the data centres and not with the nodes. A
// follower whose reader is frozen, cut off or gone notices by the age of what it knows
// and follows the store itself until a reader is better.
const (
	// readerWait is how long a reader holds a follower's question. It is short, since
	// a follower of a frozen reader learns nothing meanwhile.
	readerWait = 400 * time.Millisecond
	// readerTimeout bounds the question.
	readerTimeout = readerWait + 250*time.Millisecond
	// readerStale is the time since the store's last answer to the reader from which a
	// node follows the store itself: an answer is then missing.
	readerStale = changesWait + readerWait + 200*time.Millisecond
	// endpointsStale is that for the list of endpoints.
	endpointsStale = endpointsWait + readerWait + 400*time.Millisecond
	// directFor is how long a node then stays with the store at least.
	directFor = 3 * time.Second
	// shunFor is how long a reader that did not answer is passed over.
	shunFor = 3 * time.Second
	// peersStale is the age from which a node that follows the store asks other nodes
	// as well: the store does not answer it.
	peersStale = changesWait + 600*time.Millisecond
	// askEvery is the pause between two such questions, askTimeout bounds one.
	askEvery   = 250 * time.Millisecond
	askTimeout = 400 * time.Millisecond
)

// follower decides from whom this node learns.
type follower struct {
	mu          sync.Mutex
	shunned     map[string]time.Duration
	directUntil time.Duration
}

// reader returns the node to follow; ok is false if this node follows the store itself.
func (n *Node) reader() (address string, ok bool) {
	now := boottime.Now()
	f := &n.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ages := n.config.Current()
	if known.Table == nil || n.entries.known() == 0 {
		return "", false
	}
	if ages.Answered > readerStale || n.entries.age() > endpointsStale {
		if now >= f.directUntil {
			n.log.Info("following the store", zap.Duration("answered_age", ages.Answered), zap.Duration("endpoints_age", n.entries.age()))
		}
		f.directUntil = now + directFor
	}
	if now < f.directUntil {
		return "", false
	}
	for _, p := range n.gossip.Live() {
		if p.DataCentre != n.settings.DataCentre || p.Leaving || now < f.shunned[p.Address] {
			continue
		}
		if n.settings.IP < p.Address {
			return "", false
		}
		return p.PeerAddress, true
	}
	return "", false
}

// followsStore tells whether this node asks the store.
func (n *Node) followsStore() bool {
	_, follows := n.reader()
	return !follows
}

func (f *follower) shun(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shunned == nil {
		f.shunned = make(map[string]time.Duration)
	}
	f.shunned[address] = boottime.Now() + shunFor
}

// follow learns from other nodes while this one does not follow the store, or while the
// store does not answer it.
func (n *Node) follow(ctx context.Context) error {
	next := 0
	for ctx.Err() == nil {
		n.expireEndpoints()
		if address, ok := n.reader(); ok {
			if err := n.askPeer(ctx, address, readerWait, readerTimeout); err != nil && ctx.Err() == nil {
				n.log.Info("reader lost", zap.String("reader", address), zap.Error(err))
				n.follower.shun(hostOf(address))
			}
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

func (n *Node) expireEndpoints() {
	for _, id := range n.fleet.Expire(missingGrace) {
		n.log.Info("endpoint gone", zap.String("endpoint", id), zap.Duration("missing", missingGrace))
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
	for waiting := true; waiting; {
		changed := n.news.wait()
		known, _ := n.config.Current()
		if known.Row > req.Msg.GetConfigVersion() || n.entries.known() > req.Msg.GetEndpointsVersion() {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	known, ages := n.config.Current()
	if known.Table == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoConfiguration)
	}
	resp := &exchangev1.SnapshotResponse{
		ConfigVersion: known.Row,
		ConfigAgeMs:   uint64(ages.Certain.Milliseconds()) + 1,
		AnsweredAgeMs: uint64(ages.Answered.Milliseconds()) + 1,
		Unsteady:      n.endpointFeed.unsteady(outageShadow),
	}
	if known.Row > req.Msg.GetConfigVersion() {
		resp.Config = &exchangev1.Row{Key: platform.KeyConfiguration, Data: known.Raw, Version: known.Row}
	}
	n.entries.fill(resp, req.Msg.GetEndpointsVersion())
	return connect.NewResponse(resp), nil
}

// news wakes those who wait for a change.
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
