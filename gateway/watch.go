package gateway

import (
	"context"
	"encoding/json"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/peer/peerv1"
	"github.com/crocusreel/crocusreel/retry"
	"github.com/crocusreel/crocusreel/scheduler"
)

const (
	watchBackoff      = 100 * time.Millisecond
	watchBackoffLimit = 2 * time.Second
	setLeavingTimeout = time.Second
)

// watch follows the controller of this VM until ctx ends. It runs in the only goroutine that
// changes the gateway's state. While the controller is unreachable, requests are served with the
// last snapshot.
func (g *Gateway) watch(ctx context.Context) error {
	for attempt := 1; ctx.Err() == nil; attempt++ {
		received, err := g.watchOnce(ctx)
		if received {
			attempt = 1
		}
		metrics.Count("watch_ended")
		g.log.Info("watch stream from the controller ended", zap.Error(err))
		retry.Sleep(ctx, retry.Backoff(attempt, watchBackoff, watchBackoffLimit))
	}
	return nil
}

func (g *Gateway) watchOnce(ctx context.Context) (received bool, err error) {
	if g.drain.leaving() {
		// A controller that was restarted in the meantime does not know that this gateway is
		// leaving and would advertise it as soon as the watch opens.
		g.reportLeaving(ctx)
	}
	stream, err := g.node.Watch(ctx, connect.NewRequest(&peerv1.WatchRequest{
		GatewayAddress: g.settings.peerAddress,
		CallerAddress:  g.settings.callerAddress,
		Leaving:        g.drain.leaving(),
	}))
	if err != nil {
		return false, eris.Wrap(err, "watch")
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		received = true
		g.apply(stream.Msg())
	}
	return received, stream.Err()
}

// apply applies a snapshot from the controller. The configuration version never decreases: a
// controller that was just restarted may have an older configuration than this gateway.
func (g *Gateway) apply(m *peerv1.WatchResponse) {
	current := g.state.Load()
	next := current
	if doc := m.GetConfig(); doc.GetVersion() > 0 && (current == nil || doc.GetVersion() > current.version) {
		if cfg, err := compile(doc, g.settings.vm.DataCentre); err != nil {
			metrics.Count("config_rejected")
			g.log.Error("configuration rejected", zap.Uint64("version", doc.GetVersion()), zap.Error(err))
		} else {
			next = newSnapshot(doc.GetVersion(), cfg, m.GetMembers())
			metrics.Gauge("config_version", int64(doc.GetVersion()))
			g.log.Info("configuration in force", zap.Uint64("version", doc.GetVersion()))
		}
	}
	if next == nil {
		return
	}
	next = next.withMembers(m.GetMembers())
	g.state.Store(next)
	g.permits.Apply(scheduler.Snapshot{Members: next.members, Config: next.config})
}

func compile(doc *peerv1.ConfigDocument, dataCentre string) (*config.Config, error) {
	var d config.Document
	if err := json.Unmarshal(doc.GetDocument(), &d); err != nil {
		return nil, eris.Wrap(err, "decode configuration document")
	}
	return config.Compile(d, dataCentre)
}

func (g *Gateway) reportLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, setLeavingTimeout)
	defer cancel()
	if _, err := g.node.SetLeaving(ctx, connect.NewRequest(&peerv1.SetLeavingRequest{})); err != nil {
		g.log.Warn("failed to report to the controller that this gateway is leaving", zap.Error(err))
	}
}
