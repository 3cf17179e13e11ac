package node

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
)

// missingGrace is how long an endpoint stays in use whose entry vanished around an outage of
// the store. Entries expire while heartbeats cannot be written and come back within two seconds.
const missingGrace = 2100 * time.Millisecond

// outageShadow is the time after an outage in which entries may still vanish by it.
const outageShadow = 2 * time.Second

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
func (n *Node) ownEndpoints(take func(platform.Listing, knowledge.Seen)) func(platform.Listing, knowledge.Seen) {
	return func(l platform.Listing, seen knowledge.Seen) {
		n.unsteadyPeer.Store(false)
		n.awayPeer.Store(false)
		take(l, seen)
	}
}

// tentative tells whether entries may be missing although their endpoints live, as around an
// outage of the store. A loss of this node alone is no outage: its followers would go on using
// endpoints that have left.
func (n *Node) tentative() bool { return n.outage().suspected() }

// outage is what makes a node doubt that an entry was removed for good.
type outage struct {
	// own is set if this node has lost the store, or had until lately; alone if others had not.
	own, alone bool
	// peer is set if the node that this one follows doubts removals.
	peer bool
	// back is the time since this node's loss ended; negative if there was none, or if it goes on.
	back time.Duration
}

func (o outage) suspected() bool { return (o.own && !o.alone) || o.peer }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (o outage) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddBool("own", o.own)
	e.AddBool("alone", o.alone)
	e.AddBool("peer", o.peer)
	e.AddDuration("back", o.back)
	return nil
}

func (n *Node) outage() outage {
	return outage{
		own: n.endpointFeed.unsteady(outageShadow), alone: n.endpointFeed.lostHereOnly(),
		peer: n.unsteadyPeer.Load(), back: n.endpointFeed.sinceBack(),
	}
}

func (n *Node) endpointsListed(l platform.Listing, seen knowledge.Seen) {
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	if !n.entries.replace(l, seen.Answered) {
		metrics.Count("endpoints_outdated")
		return
	}
	instances := make([]fleet.Instance, 0, len(l.Rows))
	for _, row := range l.Rows {
		if in, ok := n.readEndpoint(row); ok {
			instances = append(instances, in)
		}
	}
	outage := n.outage()
	tentative := outage.suspected()
	added, removed := n.fleet.Replace(instances, tentative)
	n.log.Info("endpoints listed", zap.Int("count", len(instances)), zap.Strings("added", added),
		zap.Strings("removed", removed), zap.Bool("tentative", tentative), zap.Int64("version", l.Version), zap.Inline(outage))
	n.news.tell()
}

func (n *Node) endpointsChanged(l platform.Listing, seen knowledge.Seen) {
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	fresh := n.entries.update(l, seen.Answered)
	for _, row := range fresh {
		n.endpointChanged(row, seen)
	}
	n.news.tell()
}

func (n *Node) endpointChanged(row platform.Row, seen knowledge.Seen) {
	if row.Deleted {
		outage := n.outage()
		tentative := outage.suspected()
		n.fleet.Remove(row.Key, tentative)
		n.log.Info("endpoint removed", zap.String("endpoint", row.Key), zap.Int64("version", row.Version),
			zap.Bool("tentative", tentative), zap.Inline(outage))
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
	n.log.Info("endpoint known", zap.String("endpoint", in.ID), zap.Int64("born", in.Born), zap.String("service", in.Service),
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
