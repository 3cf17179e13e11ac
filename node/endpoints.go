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

// registry serializes listings of endpoints, which come from the store and from other nodes
// in different goroutines.
type registry struct {
	mu sync.Mutex
	// faulty holds the version of each entry that names no endpoint, so that it is logged
	// once and not at each reading.
	faulty map[string]int64
}

// maxFaulty bounds the remembered faulty entries; beyond, some are logged again.
const maxFaulty = 1024

// ownEndpoints takes answers of the store itself. What was known of the store through the
// followed node no longer matters.
func (n *Node) ownEndpoints(take func(platform.Listing, knowledge.Seen, uptimeSource)) func(platform.Listing, knowledge.Seen) {
	return func(l platform.Listing, seen knowledge.Seen) {
		n.awayPeer.Store(false)
		take(l, seen, func() time.Duration { return n.uptime.Answered(l.At) })
	}
}

// uptimeSource adds to the account of the store's uptime what an answer with entries proves, and
// returns the length of the outage that it ends, 0 for none.
type uptimeSource func() time.Duration

// served takes the proof of an answer whose entries are known.
func (n *Node) served(proof uptimeSource) {
	if outage := proof(); outage > 0 {
		known := n.uptime.Current()
		metrics.Count("store_outages")
		n.log.Info("outage of the store is over", zap.Duration("length", outage), zap.Duration("store_time", known.Since),
			zap.Duration("doubt", n.uptime.Doubt()))
	}
}

func (n *Node) endpointsListed(l platform.Listing, seen knowledge.Seen, proof uptimeSource) {
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	if !n.entries.replace(l, seen.Answered) {
		metrics.Count("endpoints_outdated")
		return
	}
	n.served(proof)
	instances := make([]fleet.Instance, 0, len(l.Rows))
	for _, row := range l.Rows {
		if in, ok := n.readEndpoint(row); ok {
			instances = append(instances, in)
		}
	}
	doubt := n.uptime.Doubt()
	added, removed := n.fleet.Replace(instances, doubt > 0)
	n.log.Info("endpoints listed", zap.Int("count", len(instances)), zap.Strings("added", added),
		zap.Strings("removed", removed), zap.Bool("tentative", doubt > 0), zap.Duration("doubt", doubt),
		zap.Int64("version", l.Version))
	n.dropMissing()
	n.news.tell()
}

func (n *Node) endpointsChanged(l platform.Listing, seen knowledge.Seen, proof uptimeSource) {
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	fresh := n.entries.update(l, seen.Answered)
	n.served(proof)
	for _, row := range fresh {
		n.endpointChanged(row, seen)
	}
	n.dropMissing()
	n.news.tell()
}

// dropMissing gives up the endpoints whose entries would be back by now if an outage had taken
// them.
func (n *Node) dropMissing() {
	if n.uptime.Doubt() > 0 {
		return
	}
	known := n.uptime.Current()
	for _, gone := range n.fleet.DropMissing() {
		n.log.Info("endpoint gone", zap.String("endpoint", gone.ID), zap.Duration("missing", gone.Missing),
			zap.Duration("store_up", known.Until-known.Since))
	}
}

func (n *Node) endpointChanged(row platform.Row, seen knowledge.Seen) {
	if row.Deleted {
		doubt := n.uptime.Doubt()
		n.fleet.Remove(row.Key, doubt > 0)
		n.log.Info("endpoint removed", zap.String("endpoint", row.Key), zap.Int64("version", row.Version),
			zap.Bool("tentative", doubt > 0), zap.Duration("doubt", doubt))
		return
	}
	in, ok := n.readEndpoint(row)
	if !ok {
		// As in a listing, where it would be missing.
		n.fleet.Remove(row.Key, false)
		return
	}
	change := n.fleet.Update(in)
	if change == fleet.Known && !in.Leaving {
		return
	}
	n.log.Info("endpoint known", zap.String("endpoint", in.ID), zap.Int64("born", in.StartedAtMS), zap.String("service", in.Service),
		zap.String("address", in.Address), zap.Stringer("change", change), zap.Bool("leaving", in.Leaving),
		zap.Int64("version", row.Version), zap.Duration("age", boottime.Now()-seen.Answered))
}

// readEndpoint reads an entry; ok is false for one that names no endpoint.
func (n *Node) readEndpoint(row platform.Row) (in fleet.Instance, ok bool) {
	entry := platform.ReadEndpoint(row.Key, row.Value)
	if entry.Fault == platform.FaultNone {
		return entry.Instance, true
	}
	r := &n.registry
	if version, told := r.faulty[row.Key]; told && version == row.Version {
		return in, false
	}
	if r.faulty == nil || len(r.faulty) >= maxFaulty {
		r.faulty = make(map[string]int64)
	}
	r.faulty[row.Key] = row.Version
	metrics.Count("endpoint_entry_" + string(entry.Fault))
	n.log.Warn("entry names no endpoint", zap.String("endpoint", row.Key), zap.Int64("version", row.Version),
		zap.String("fault", string(entry.Fault)), zap.String("detail", entry.Detail))
	return in, false
}
