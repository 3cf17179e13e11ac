package node

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
)

// exchangeServer answers the snapshot requests of nodes that follow this one.
type exchangeServer struct{ n *Node }

// Snapshot implements exchangev1.ExchangeHandler. If the caller is up to date, it waits for the
// next change or answer of the store, for at most the time that the caller allows.
func (s exchangeServer) Snapshot(ctx context.Context, req *connect.Request[exchangev1.SnapshotRequest]) (*connect.Response[exchangev1.SnapshotResponse], error) {
	n := s.n
	n.mergePeerUptime(readUptime(req.Msg.GetUptime()))
	timer := time.NewTimer(time.Duration(req.Msg.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	changed := n.changes.wait()
	// Read before the configuration, so that the configuration is at least as new.
	evacuations := n.evacuationsMessage(req.Msg)
	known, ages := n.config.Current()
	endpoints := n.endpointTable.followerRevision(req.Msg)
	if evacuations == nil && !configurationNewer(req.Msg, known) && !n.endpointTable.knownRevision().NewerThan(endpoints) {
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		evacuations = n.evacuationsMessage(req.Msg)
		endpoints = n.endpointTable.followerRevision(req.Msg)
		known, ages = n.config.Current()
	}
	if known.Table == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoConfiguration)
	}
	if size := n.endpointTable.fullSize(endpoints); size > 0 && !n.tableLimiter.allow(boottime.Now(), size) {
		metrics.Count("snapshot_whole_refused")
		return nil, connect.NewError(connect.CodeResourceExhausted, errBusy)
	}
	resp := &exchangev1.SnapshotResponse{
		StoreEra:      n.restorations.Era(),
		ConfigVersion: known.Revision.Version,
		ConfigEra:     known.Revision.Era,
		ConfigAgeMs:   uint64(ages.Confirmed.Milliseconds()) + 1,
		AnsweredAgeMs: uint64(ages.Answered.Milliseconds()) + 1,
		Away:          n.storeDegraded(),
		Evacuations:   evacuations,
	}
	if n.quarantineRows.known.Load() {
		resp.Quarantines, resp.QuarantinesKnown = encodeVerdicts(n.relay.Quarantine.Verdicts()), true
	}
	if age, restored := n.restorations.Age(); restored {
		resp.RestoredAgeMs = uint64(age.Milliseconds()) + 1
	}
	if configurationNewer(req.Msg, known) {
		resp.Config = &exchangev1.Row{Key: platform.KeyConfiguration, Version: known.Revision.Version}
		resp.ConfigPacked = n.packedConfig.get(known)
	}
	// Read before the endpoints, so that the endpoints are at least as new.
	resp.Uptime = uptimeMessage(n.uptime.Current())
	n.endpointTable.fillResponse(resp, endpoints)
	return connect.NewResponse(resp), nil
}

// newerThanAt reports whether a revision is newer than the one that the requesting node has. The
// versions of a node that knows no eras are compared without them: it could not apply an answer that
// is newer by its era alone, and would request it again without a pause.
func newerThanAt(req *exchangev1.SnapshotRequest, own, known platform.Revision) bool {
	if req.GetStoreEra() == 0 {
		return own.Version > known.Version
	}
	return own.NewerThan(known)
}

// configurationNewer reports whether a configuration is newer than that of the requesting node.
func configurationNewer(req *exchangev1.SnapshotRequest, own knowledge.Snapshot) bool {
	known := platform.Revision{Era: req.GetConfigEra(), Version: req.GetConfigVersion()}
	if req.GetStoreEra() == 0 || own.Table == nil || known.Version == 0 {
		return own.Revision.Version > known.Version
	}
	return own.NewerThan(req.GetConfigNumber(), known)
}

// changeNotifier wakes waiting requests after a change and after each answer of the store. An
// answer without changes confirms to followers that their data is current.
type changeNotifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed by the next call to notify.
func (w *changeNotifier) wait() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ch == nil {
		w.ch = make(chan struct{})
	}
	return w.ch
}

func (w *changeNotifier) notify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ch != nil {
		close(w.ch)
		w.ch = nil
	}
}
