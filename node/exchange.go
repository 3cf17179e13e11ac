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

// exchangeServer answers nodes that follow this one.
type exchangeServer struct{ n *Node }

// Snapshot implements exchangev1.ExchangeHandler.
func (s exchangeServer) Snapshot(ctx context.Context, req *connect.Request[exchangev1.SnapshotRequest]) (*connect.Response[exchangev1.SnapshotResponse], error) {
	n := s.n
	n.heardUptime(readUptime(req.Msg.GetUptime()))
	timer := time.NewTimer(time.Duration(req.Msg.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	changed := n.news.wait()
	// Taken before the configuration, which is then at least as new.
	evacuations := n.evacuationsMessage(req.Msg.GetEvacuationsVersion())
	known, ages := n.config.Current()
	if evacuations == nil && known.RowVersion <= req.Msg.GetConfigVersion() && n.entries.known() <= req.Msg.GetEndpointsVersion() {
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
	if size := n.entries.wholeSize(req.Msg.GetEndpointsVersion()); size > 0 && !n.wholes.take(boottime.Now(), size) {
		metrics.Count("snapshot_whole_refused")
		return nil, connect.NewError(connect.CodeResourceExhausted, errBusy)
	}
	resp := &exchangev1.SnapshotResponse{
		ConfigVersion: known.RowVersion,
		ConfigAgeMs:   uint64(ages.Confirmed.Milliseconds()) + 1,
		AnsweredAgeMs: uint64(ages.Answered.Milliseconds()) + 1,
		Away:          n.storeAway(),
		Evacuations:   evacuations,
	}
	if known.RowVersion > req.Msg.GetConfigVersion() {
		resp.Config = &exchangev1.Row{Key: platform.KeyConfiguration, Version: known.RowVersion}
		resp.ConfigPacked = n.packedConfig.of(known)
	}
	// Taken before the endpoints, which are then at least as new.
	resp.Uptime = uptimeMessage(n.uptime.Current())
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
