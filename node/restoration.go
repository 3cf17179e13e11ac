package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// The store may be restored from a copy that is some seconds old. Its era then increases, and it
// assigns its versions again. Everything known of it stays in use, but nothing that it says in the
// new era confirms what was known before: all tables are read again, and what the store lacks stays
// in force until the operator and the endpoints have had the time to write it again. What the nodes
// wrote themselves, they write again.

// observeEra records the era of an answer of the store. source is the node that received it, or
// "store".
func (n *Node) observeEra(era int64, source string) {
	before := n.restorations.Era()
	n.store.ObserveEra(era)
	restored := n.restorations.Observe(era)
	n.uptime.BeginEra(era, restored)
	if !restored {
		return
	}
	metrics.Count("store_restorations")
	known, ages := n.config.Current()
	endpoints := n.endpointTable.knownRevision()
	n.log.Warn("store was restored from a copy", zap.Int64("era", era), zap.Int64("era_before", before), zap.String("source", source),
		zap.Int64("config_version", known.Number()), zap.Int64("config_row", known.Revision.Version),
		zap.Duration("config_age", ages.Confirmed), zap.Int64("endpoints_version", endpoints.Version))
	n.changes.notify()
	select {
	case n.registrationLost <- struct{}{}:
	default:
	}
}

// observePeerEra records what another node knows of the store's era.
func (n *Node) observePeerEra(resp *exchangev1.SnapshotResponse, address string) {
	if resp.GetStoreEra() == 0 {
		return
	}
	n.observeEra(resp.GetStoreEra(), address)
	n.restorations.ObserveAge(resp.GetStoreEra(), time.Duration(resp.GetRestoredAgeMs())*time.Millisecond)
}
