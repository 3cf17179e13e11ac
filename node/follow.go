package node

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/peer"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/quarantine"
)

// One node, the reader, polls the store. The first node of each other data centre follows the
// reader, and the remaining nodes of a data centre form a tree below its first node. The number of
// calls to the store therefore hardly grows with the number of nodes, and no node has many
// followers.
//
// Each node announces whether the store answers it. A node without access to the store gets its
// data from others with a delay, and a follower of such a node would learn seconds late that an
// endpoint is leaving; so nobody follows it. If all nodes of a data centre have lost the store,
// they follow any node that still reads it.

const (
	// readerWait is how long a reader holds a follower's request open. It answers earlier when the
	// store has answered it, which is about once per second.
	readerWait = 600 * time.Millisecond
	// readerTimeout bounds that request. A reader that does not answer within it, because it is
	// frozen or disconnected, is excluded.
	readerTimeout = readerWait + 250*time.Millisecond
	// readerStaleAfter is the age of the endpoint table from which the first node of a data centre
	// polls the store itself although the reader answers: at that age, the store has not answered
	// the reader's poll of one second. Followers of that first node keep following it. If all of
	// them searched for another reader while the store answers nobody for one second, sixty nodes
	// would try one another in turn, and half of them would lag for two more seconds.
	readerStaleAfter = endpointsWait + 250*time.Millisecond
	// directStorePeriod is how long the first node then keeps polling the store.
	directStorePeriod = 5 * time.Second
	// readerExclusion is how long a reader that did not answer is excluded.
	readerExclusion = 3 * time.Second
	// endpointsStaleAfter is the age from which the endpoint table no longer shows which endpoints
	// are leaving.
	endpointsStaleAfter = 3 * time.Second
	// askPeersAfter is the time since the store's last answer from which a node that polls the
	// store also requests snapshots from other nodes.
	askPeersAfter = changesWait + 600*time.Millisecond
	// eraSpreadTime is the time after a restoration of the store within which all nodes that are
	// followed have learned of it.
	eraSpreadTime = 1500 * time.Millisecond
	// askInterval is the pause between two such requests; askTimeout bounds one of them.
	askInterval = 250 * time.Millisecond
	askTimeout  = 400 * time.Millisecond
)

// storeBackoffBounds returns the bounds of the pause between two polls while the store does not
// answer.
func (n *Node) storeBackoffBounds() backoffBounds {
	return backoffBoundsFor(n.isSeed() || n.firstInDataCentre())
}

// follow fetches snapshots from other nodes while this node does not poll the store, or while the
// store does not answer it.
func (n *Node) follow(ctx context.Context) error {
	next := 0
	for ctx.Err() == nil {
		n.reinstateEndpoints()
		if n.incomplete() && n.starter.fetchFromPeer(ctx) {
			continue
		}
		p, ok := n.reader()
		if n.follower.setReader(p.Address) {
			n.log.Info("follows", zap.String("reader", p.Address), zap.Bool("store", !ok),
				zap.Duration("endpoints_age", n.endpointTable.age()), zap.Stringer("own_link", n.storeLink()))
		}
		if ok {
			n.fetchFromReader(ctx, p)
			continue
		}
		pause(ctx, askInterval)
		if _, ages := n.config.Current(); ages.Answered < askPeersAfter {
			continue
		}
		if live := n.gossip.Live(); len(live) > 0 {
			next++
			address := live[next%len(live)].PeerAddress
			if err := n.fetchSnapshot(ctx, address, 0, askTimeout); err != nil {
				metrics.Count("peer_not_reached")
			}
		}
	}
	return nil
}

// fetchFromReader fetches a snapshot from the reader, and switches to another source if that fails
// or the reader lags.
func (n *Node) fetchFromReader(ctx context.Context, reader gossip.Peer) {
	err := n.fetchSnapshot(ctx, reader.PeerAddress, readerWait, readerTimeout)
	if connect.CodeOf(err) == connect.CodeResourceExhausted {
		// After a restoration of the store, all followers request the full table at once.
		metrics.Count("reader_busy")
		pause(ctx, jitter(tableWindow))
		return
	}
	age := n.endpointTable.age()
	behind := age >= readerStaleAfter && n.leadsDataCentre(reader)
	if ctx.Err() != nil || (err == nil && !behind) {
		return
	}
	metrics.Count("reader_passed_over")
	n.log.Info("reader passed over", zap.String("reader", reader.Address), zap.Duration("endpoints_age", age), zap.Error(err))
	if n.leadsDataCentre(reader) {
		n.follower.useStore()
		return
	}
	n.follower.exclude(reader.Address)
}

// leadsDataCentre reports whether this node, which follows the given one, is the first node of its
// data centre with access to the store.
func (n *Node) leadsDataCentre(reader gossip.Peer) bool {
	return reader.DataCentre != n.settings.DataCentre && n.storeLink() != exchangev1.StoreLink_STORE_LINK_LOST
}

// reinstateEndpoints reverts leaving marks that stem from health checks alone and that no entry has
// confirmed. It does nothing while entries may be missing after an outage: endpoints need as long
// to announce in their entries that they leave as to write their entries again.
func (n *Node) reinstateEndpoints() {
	if n.storeDegraded() || n.uptime.GraceRemaining() > 0 {
		return
	}
	for _, id := range n.fleet.Reinstate(reinstateAfter) {
		n.log.Info("endpoint stays after all: its entry does not announce that it leaves", zap.String("endpoint", id))
	}
}

// fetchSnapshot fetches a snapshot from another node and applies it.
func (n *Node) fetchSnapshot(ctx context.Context, address string, wait, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	known, _ := n.config.Current()
	endpoints, evacuations := n.endpointTable.knownRevision(), n.evacuations.Revision()
	sentAt := boottime.Now()
	client := exchangev1.NewExchangeClient(n.peerClient, peer.BaseURL(address, nil))
	resp, err := client.Snapshot(ctx, connect.NewRequest(&exchangev1.SnapshotRequest{
		StoreEra:           n.store.Era(),
		ConfigVersion:      known.Revision.Version,
		ConfigEra:          known.Revision.Era,
		ConfigNumber:       known.Number(),
		EndpointsVersion:   endpoints.Version,
		EndpointsEra:       endpoints.Era,
		EvacuationsVersion: evacuations.Version,
		EvacuationsEra:     evacuations.Era,
		WaitMs:             uint32(wait.Milliseconds()),
		Uptime:             uptimeMessage(n.uptime.Current()),
	}))
	if err != nil {
		return err
	}
	n.observePeerEra(resp.Msg, address)
	n.relay.Quarantine.Merge(address, quarantine.Report{Verdicts: readVerdicts(resp.Msg.GetQuarantines())})
	if resp.Msg.GetQuarantinesKnown() {
		n.quarantineRows.known.Store(true)
	}
	// ConfirmedAt counts back from the time the request was sent: the peer computed the ages later
	// than that, and how long its answer was in transit is unknown.
	answered := boottime.Now()
	confirmation := knowledge.Confirmation{
		ConfirmedAt: sentAt - millis(resp.Msg.GetConfigAgeMs()),
		AnsweredAt:  answered - millis(resp.Msg.GetAnsweredAgeMs()),
	}
	configRevision := platform.Revision{Era: resp.Msg.GetConfigEra(), Version: resp.Msg.GetConfigVersion()}
	if resp.Msg.GetConfig() != nil {
		data, err := inflate(resp.Msg.GetConfigPacked())
		if err != nil {
			return err
		}
		n.applyConfiguration(knowledge.Snapshot{Revision: configRevision, Raw: data, Confirmation: confirmation})
	}
	n.config.Confirm(configRevision, confirmation)
	n.applyPeerEvacuations(resp.Msg.GetEvacuations(), address)
	age := millis(resp.Msg.GetEndpointsAgeMs())
	return n.applyPeerEndpoints(resp.Msg, endpoints, knowledge.Confirmation{ConfirmedAt: sentAt - age, AnsweredAt: answered - age})
}

func millis(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (n *Node) applyPeerEndpoints(resp *exchangev1.SnapshotResponse, known platform.Revision, confirmation knowledge.Confirmation) error {
	if own := n.endpointTable.knownRevision(); resp.GetEndpointsEra() < own.Era {
		if age, restored := n.restorations.Age(); restored && age < eraSpreadTime {
			return nil
		}
		return eris.Errorf("peer has the endpoints of era %d of the store, which is in era %d", resp.GetEndpointsEra(), own.Era)
	}
	n.peerStoreDegraded.Store(resp.GetAway())
	updateUptime := func() time.Duration { return n.uptime.MergeWithEntries(readUptime(resp.GetUptime())) }
	if resp.GetEndpointsWhole() {
		listing, err := fullListing(resp)
		if err != nil {
			return err
		}
		n.applyEndpointListing(listing, confirmation, updateUptime)
		return nil
	}
	listing, err := changedRows(resp)
	if err != nil {
		return err
	}
	if !known.NewerThan(listing.Revision()) {
		n.applyEndpointChanges(listing, confirmation, updateUptime)
	}
	return nil
}
