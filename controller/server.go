package controller

import (
	"context"
	"net/netip"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/peer/peerv1"
)

// membershipServer implements peerv1.MembershipHandler for other controllers.
type membershipServer struct{ c *Controller }

var errStopped = connect.NewError(connect.CodeUnavailable, eris.New("controller has stopped"))

// Ping implements peerv1.MembershipHandler.
func (m membershipServer) Ping(_ context.Context, req *connect.Request[peerv1.PingRequest]) (*connect.Response[peerv1.PingResponse], error) {
	if err := checkMembers(append(req.Msg.Updates, req.Msg.From)); err != nil {
		return nil, err
	}
	res := &peerv1.PingResponse{}
	ok := m.c.withState(func(s *state) {
		m.c.applyAll(s, req.Msg.Updates)
		m.c.applyAll(s, []*peerv1.Member{req.Msg.From})
		res.Updates = append(res.Updates, s.table.Self())
		// The caller may be recorded as dead here. The response must include that record, or the
		// caller never refutes it.
		if r := s.table.Record(req.Msg.From.Id); r != nil && r.State > peerv1.MemberState_MEMBER_STATE_ALIVE {
			res.Updates = append(res.Updates, r)
		}
		res.Updates = append(res.Updates, s.table.Updates()...)
		res.ConfigVersion = s.config.GetVersion()
	})
	if !ok {
		return nil, errStopped
	}
	m.c.fetchIfNewer(req.Msg.From.ControllerAddress, req.Msg.ConfigVersion)
	return connect.NewResponse(res), nil
}

// IndirectPing implements peerv1.MembershipHandler.
func (m membershipServer) IndirectPing(ctx context.Context, req *connect.Request[peerv1.IndirectPingRequest]) (*connect.Response[peerv1.IndirectPingResponse], error) {
	if _, err := netip.ParseAddrPort(req.Msg.TargetAddress); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, eris.Wrap(err, "target address"))
	}
	err := m.c.ping(ctx, req.Msg.TargetAddress, req.Msg.TargetId)
	return connect.NewResponse(&peerv1.IndirectPingResponse{Reached: err == nil}), nil
}

// Join implements peerv1.MembershipHandler.
func (m membershipServer) Join(_ context.Context, req *connect.Request[peerv1.JoinRequest]) (*connect.Response[peerv1.JoinResponse], error) {
	if err := checkMembers([]*peerv1.Member{req.Msg.From}); err != nil {
		return nil, err
	}
	res := &peerv1.JoinResponse{}
	ok := m.c.withState(func(s *state) {
		m.c.applyAll(s, []*peerv1.Member{req.Msg.From})
		res.Members = s.table.All()
		res.ConfigVersion = s.config.GetVersion()
	})
	if !ok {
		return nil, errStopped
	}
	return connect.NewResponse(res), nil
}

// FetchConfig implements peerv1.MembershipHandler.
func (m membershipServer) FetchConfig(_ context.Context, req *connect.Request[peerv1.FetchConfigRequest]) (*connect.Response[peerv1.ConfigDocument], error) {
	doc := m.c.Snapshot().Config
	if doc == nil || doc.Version < req.Msg.MinVersion {
		return nil, connect.NewError(connect.CodeNotFound, eris.New("no such version here"))
	}
	return connect.NewResponse(doc), nil
}

// checkMembers rejects records that no controller could act on, because they would be spread to all
// members.
func checkMembers(members []*peerv1.Member) error {
	const maxNameLength = 63
	for _, m := range members {
		_, err := netip.ParseAddrPort(m.GetControllerAddress())
		if err != nil || m.GetId() == "" || len(m.GetId()) > maxNameLength || m.GetState() > peerv1.MemberState_MEMBER_STATE_DEAD {
			return connect.NewError(connect.CodeInvalidArgument, eris.Errorf("malformed member %q", m.GetId()))
		}
	}
	return nil
}
