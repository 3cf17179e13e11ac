package node

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/metrics"
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
	evacuations := n.evacuationsMessage(req.Msg.GetEvacuationsVersion())
	known, ages := n.config.Current()
	if evacuations == nil && known.RowVersion <= req.Msg.GetConfigVersion() && n.endpointTable.knownVersion() <= req.Msg.GetEndpointsVersion() {
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		evacuations = n.evacuationsMessage(req.Msg.GetEvacuationsVersion())
		known, ages = n.config.Current()
	}
	if known.Table == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoConfiguration)
	}
	if size := n.endpointTable.fullSize(req.Msg.GetEndpointsVersion()); size > 0 && !n.tableLimiter.allow(boottime.Now(), size) {
		metrics.Count("snapshot_whole_refused")
		return nil, connect.NewError(connect.CodeResourceExhausted, errBusy)
	}
	resp := &exchangev1.SnapshotResponse{
		ConfigVersion: known.RowVersion,
		ConfigAgeMs:   uint64(ages.Confirmed.Milliseconds()) + 1,
		AnsweredAgeMs: uint64(ages.Answered.Milliseconds()) + 1,
		Away:          n.storeDegraded(),
		Evacuations:   evacuations,
	}
	if known.RowVersion > req.Msg.GetConfigVersion() {
		resp.Config = &exchangev1.Row{Key: platform.KeyConfiguration, Version: known.RowVersion}
		resp.ConfigPacked = n.packedConfig.get(known)
	}
	// Read before the endpoints, so that the endpoints are at least as new.
	resp.Uptime = uptimeMessage(n.uptime.Current())
	n.endpointTable.fillResponse(resp, req.Msg.GetEndpointsVersion())
	return connect.NewResponse(resp), nil
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
