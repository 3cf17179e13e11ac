package controller

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/peer/peerv1"
)

// minSnapshotInterval is the minimum time between two snapshots on one stream. When many members
// change at once, the gateway receives one snapshot instead of hundreds.
const minSnapshotInterval = 50 * time.Millisecond

// nodeServer implements peerv1.NodeHandler for the gateway of this VM. SetLeaving is also called by
// other controllers, to drain the VM.
type nodeServer struct{ c *Controller }

// Watch implements peerv1.NodeHandler. The gateway's addresses are advertised to other members only
// while the stream is open, so that callers are not sent to a gateway that has died.
func (n nodeServer) Watch(ctx context.Context, req *connect.Request[peerv1.WatchRequest], out *connect.ServerStream[peerv1.WatchResponse]) error {
	stream := &gatewayStream{request: req.Msg}
	ok := n.c.withState(func(s *state) {
		s.gateway = stream
		s.gatewayLeaving = req.Msg.Leaving
		n.c.updateSelf(s)
	})
	if !ok {
		return errStopped
	}
	n.c.log.Info("gateway connected", zap.String("gateway", req.Msg.GatewayAddress))
	defer n.closeStream(stream)
	for {
		snapshot := n.c.Snapshot()
		err := out.Send(&peerv1.WatchResponse{Members: snapshot.Members, Config: snapshot.Config})
		if err != nil {
			return err
		}
		select {
		case <-snapshot.Changed():
		case <-ctx.Done():
			return ctx.Err()
		case <-n.c.stopped:
			return errStopped
		}
		time.Sleep(minSnapshotInterval)
	}
}

// closeStream withdraws the gateway's addresses. It has no effect if a newer stream of a restarted
// gateway has already replaced this one.
func (n nodeServer) closeStream(stream *gatewayStream) {
	n.c.log.Info("gateway disconnected", zap.String("gateway", stream.request.GatewayAddress))
	n.c.withState(func(s *state) {
		if s.gateway == stream {
			s.gateway = nil
			n.c.updateSelf(s)
		}
	})
}

// SetLeaving implements peerv1.NodeHandler.
func (n nodeServer) SetLeaving(_ context.Context, req *connect.Request[peerv1.SetLeavingRequest]) (*connect.Response[peerv1.SetLeavingResponse], error) {
	ok := n.c.withState(func(s *state) {
		s.drained = s.drained || req.Msg.Drain
		s.gatewayLeaving = s.gatewayLeaving || !req.Msg.Drain
		n.c.updateSelf(s)
	})
	if !ok {
		return nil, errStopped
	}
	n.c.log.Info("VM is leaving", zap.Bool("drain", req.Msg.Drain))
	return connect.NewResponse(&peerv1.SetLeavingResponse{}), nil
}
