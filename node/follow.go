package node

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/peer"
)

// One node, the reader, follows the store. The first node of each other data centre follows
// the reader, and the other nodes follow each other in a tree below the first one of theirs.
// The store's calls then hardly grow with the nodes, and no node answers many. Each node
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

// storePatience bounds the pause between two questions while the store does not answer.
func (n *Node) storePatience() patience { return patienceOf(n.seed() || n.firstInDataCentre()) }

// follow learns from other nodes while this one does not follow the store, or while the
// store does not answer it.
func (n *Node) follow(ctx context.Context) error {
	next := 0
	for ctx.Err() == nil {
		n.reinstateEndpoints()
		if n.starts() && n.starter.learn(ctx) {
			continue
		}
		p, ok := n.reader()
		if n.follower.follows(p.Address) {
			n.log.Info("follows", zap.String("reader", p.Address), zap.Bool("store", !ok),
				zap.Duration("endpoints_age", n.entries.age()), zap.Stringer("own_link", n.storeLink()))
		}
		if ok {
			n.ask(ctx, p)
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

// reinstateEndpoints takes back what health checks said that no entry has confirmed. After an
// outage the endpoints need as long to say so as to write their entries again.
func (n *Node) reinstateEndpoints() {
	if n.storeAway() || n.uptime.GraceRemaining() > 0 {
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
		ConfigVersion:    known.RowVersion,
		EndpointsVersion: endpoints,
		WaitMs:           uint32(wait.Milliseconds()),

		EvacuationsVersion: n.evacuations.Version(),
		Uptime:             uptimeMessage(n.uptime.Current()),
	}))
	if err != nil {
		return err
	}
	// The peer's answer was made after the question was sent, so its age counts back
	// from there; the way of the answer may have taken any time.
	answered := boottime.Now()
	seen := knowledge.Confirmation{
		ConfirmedAt: asked - millis(resp.Msg.GetConfigAgeMs()),
		AnsweredAt:  answered - millis(resp.Msg.GetAnsweredAgeMs()),
	}
	if c := resp.Msg.GetConfig(); c != nil {
		data, err := inflate(resp.Msg.GetConfigPacked())
		if err != nil {
			return err
		}
		n.applyConfiguration(data, c.GetVersion(), seen)
	}
	n.config.Confirm(resp.Msg.GetConfigVersion(), seen)
	n.evacuationsFromPeer(resp.Msg.GetEvacuations(), address)
	age := millis(resp.Msg.GetEndpointsAgeMs())
	return n.endpointsFromPeer(resp.Msg, endpoints, knowledge.Confirmation{ConfirmedAt: asked - age, AnsweredAt: answered - age})
}

func millis(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (n *Node) endpointsFromPeer(resp *exchangev1.SnapshotResponse, known int64, seen knowledge.Confirmation) error {
	n.awayPeer.Store(resp.GetAway())
	proof := func() time.Duration { return n.uptime.MergeWithEntries(readUptime(resp.GetUptime())) }
	if resp.GetEndpointsWhole() {
		listing, err := wholeListing(resp)
		if err != nil {
			return err
		}
		n.endpointsListed(listing, seen, proof)
		return nil
	}
	listing, err := changedRows(resp)
	if err != nil {
		return err
	}
	if resp.GetEndpointsVersion() >= known {
		n.endpointsChanged(listing, seen, proof)
	}
	return nil
}
