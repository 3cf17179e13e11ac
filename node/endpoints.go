package node

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
)

// endpointUpdates serializes updates of the endpoints, which arrive from the store and from other
// nodes on different goroutines.
type endpointUpdates struct {
	mu sync.Mutex
	// faulty holds, by key, the revision of each entry that does not describe an endpoint, so that
	// it is logged once per revision rather than on every read.
	faulty map[string]platform.Revision
}

// maxFaultyRemembered bounds the number of faulty entries remembered. When it is reached, all are
// forgotten, so some entries are logged again.
const maxFaultyRemembered = 1024

// fromStore returns a callback for answers that this node gets from the store itself. Such an
// answer clears peerStoreDegraded, which may have been set while this node followed another node.
func (n *Node) fromStore(apply func(platform.Listing, knowledge.Confirmation, uptimeUpdate)) func(platform.Listing, knowledge.Confirmation) {
	return func(l platform.Listing, confirmation knowledge.Confirmation) {
		n.observeEra(l.Era, "store")
		n.peerStoreDegraded.Store(false)
		apply(l, confirmation, func() time.Duration { return n.uptime.RecordAnswer(l.StoreTime) })
	}
}

// uptimeUpdate updates the store's uptime record with what an answer that carries entries shows. It
// returns the length of the outage that the answer ends, or 0 if there was none.
type uptimeUpdate func() time.Duration

// recordUptime updates the uptime record after the entries of an answer have been stored, and logs
// the end of an outage.
func (n *Node) recordUptime(updateUptime uptimeUpdate) {
	if outage := updateUptime(); outage > 0 {
		known := n.uptime.Current()
		metrics.Count("store_outages")
		n.log.Info("outage of the store is over", zap.Duration("length", outage), zap.Duration("store_time", known.Since),
			zap.Duration("doubt", n.uptime.GraceRemaining()))
	}
}

func (n *Node) applyEndpointListing(l platform.Listing, confirmation knowledge.Confirmation, updateUptime uptimeUpdate) {
	n.endpointUpdates.mu.Lock()
	defer n.endpointUpdates.mu.Unlock()
	replaced, restored := n.endpointTable.replace(l, confirmation.AnsweredAt)
	if !replaced {
		metrics.Count("endpoints_outdated")
		known := n.endpointTable.knownRevision()
		n.log.Info("endpoint listing not applied: it is older than the known table", zap.Int64("version", l.Version),
			zap.Int64("era", l.Era), zap.Int64("known", known.Version), zap.Int64("known_era", known.Era))
		return
	}
	n.recordUptime(updateUptime)
	instances := make([]fleet.Instance, 0, len(l.Rows))
	for _, row := range l.Rows {
		if in, ok := n.readEndpoint(row); ok {
			instances = append(instances, in)
		}
	}
	grace := n.uptime.GraceRemaining()
	var added, removed []string
	if restored {
		added, removed = n.fleet.ReplaceRestored(instances)
	} else {
		added, removed = n.fleet.Replace(instances, grace > 0)
	}
	n.log.Info("endpoints listed", zap.Int("count", len(instances)), zap.Strings("added", added), zap.Bool("restored", restored),
		zap.Strings("removed", removed), zap.Bool("tentative", grace > 0), zap.Duration("doubt", grace),
		zap.Int64("version", l.Version), zap.Int64("era", l.Era))
	n.dropMissing()
	n.changes.notify()
}

func (n *Node) applyEndpointChanges(l platform.Listing, confirmation knowledge.Confirmation, updateUptime uptimeUpdate) {
	n.endpointUpdates.mu.Lock()
	defer n.endpointUpdates.mu.Unlock()
	fresh := n.endpointTable.update(l, confirmation.AnsweredAt)
	n.recordUptime(updateUptime)
	for _, row := range fresh {
		n.applyEndpointRow(row, confirmation)
	}
	n.dropMissing()
	n.changes.notify()
}

// dropMissing drops the endpoints whose entries are still missing although the store has been up
// long enough since the last outage for live endpoints to have written their entries again.
func (n *Node) dropMissing() {
	if n.uptime.GraceRemaining() > 0 {
		return
	}
	known := n.uptime.Current()
	for _, gone := range n.fleet.DropMissing() {
		n.log.Info("endpoint gone", zap.String("endpoint", gone.ID), zap.Duration("missing", gone.MissingFor),
			zap.Duration("store_up", known.Until-known.Since))
	}
}

func (n *Node) applyEndpointRow(row platform.Row, confirmation knowledge.Confirmation) {
	if row.Deleted {
		grace := n.uptime.GraceRemaining()
		n.fleet.Remove(row.Key, grace > 0)
		n.log.Info("endpoint removed", zap.String("endpoint", row.Key), zap.Int64("version", row.Version),
			zap.Bool("tentative", grace > 0), zap.Duration("doubt", grace))
		return
	}
	in, ok := n.readEndpoint(row)
	if !ok {
		// Treated as in a full listing, which would not contain this endpoint.
		n.fleet.Remove(row.Key, false)
		return
	}
	change := n.fleet.Update(in)
	if change == fleet.Known && !in.Leaving {
		return
	}
	n.log.Info("endpoint known", zap.String("endpoint", in.ID), zap.Int64("born", in.StartedAtMS), zap.String("service", in.Service),
		zap.String("address", in.Address), zap.Stringer("change", change), zap.Bool("leaving", in.Leaving),
		zap.Int64("version", row.Version), zap.Duration("age", boottime.Now()-confirmation.AnsweredAt))
}

// readEndpoint decodes an entry. It returns false if the entry does not describe an endpoint. The
// caller holds endpointUpdates.mu.
func (n *Node) readEndpoint(row platform.Row) (in fleet.Instance, ok bool) {
	entry := platform.ReadEndpoint(row.Key, row.Value)
	if entry.Fault == platform.FaultNone {
		return entry.Instance, true
	}
	r := &n.endpointUpdates
	if revision, logged := r.faulty[row.Key]; logged && revision == row.Revision() {
		return in, false
	}
	if r.faulty == nil || len(r.faulty) >= maxFaultyRemembered {
		r.faulty = make(map[string]platform.Revision)
	}
	r.faulty[row.Key] = row.Revision()
	metrics.Count("endpoint_entry_" + string(entry.Fault))
	n.log.Warn("entry names no endpoint", zap.String("endpoint", row.Key), zap.Int64("version", row.Version),
		zap.String("fault", string(entry.Fault)), zap.String("detail", entry.Detail))
	return in, false
}
