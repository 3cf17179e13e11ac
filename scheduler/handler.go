package scheduler

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/peer"
	"github.com/crocusreel/crocusreel/peer/peerv1"
)

// Handler returns the path and the handler of the peer.v1.Scheduler service, for the listener that
// serves other gateways.
func (m *Manager) Handler() (string, http.Handler) {
	return peerv1.NewSchedulerHandler(rpc{m}, peer.HandlerOptions())
}

// rpc implements the peer.v1.Scheduler service for other gateways.
type rpc struct{ m *Manager }

// Acquire implements peer.v1.Scheduler. It serves the request even if this gateway does not
// consider itself the scheduler, because the views of gateways differ briefly after a change.
func (s rpc) Acquire(ctx context.Context, r *connect.Request[peerv1.AcquireRequest]) (*connect.Response[peerv1.AcquireResponse], error) {
	pv, err := s.pool(r.Msg.GetModel())
	if err != nil {
		return nil, err
	}
	p, err := pv.primary.acquire(ctx, requestFromWire(r.Msg, s.m.now()))
	var refusal *crocusreel.Refusal
	switch {
	case errors.As(err, &refusal) && refusal.Reason == crocusreel.ReasonSchedulerUnreachable:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	case refusal != nil:
		return connect.NewResponse(&peerv1.AcquireResponse{Refusal: refusalToWire(refusal)}), nil
	case err != nil:
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	return connect.NewResponse(&peerv1.AcquireResponse{Permit: permitToWire(&p)}), nil
}

// Report implements peer.v1.Scheduler. It ignores a report for a pool that is not in this gateway's
// configuration.
func (s rpc) Report(ctx context.Context, r *connect.Request[peerv1.ReportRequest]) (*connect.Response[peerv1.ReportResponse], error) {
	v := s.m.view.Load()
	if v == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoView)
	}
	pv, ok := v.byKey[r.Msg.GetPool()]
	if !ok {
		// The configurations of gateways may differ briefly; the gateway's next report follows
		// soon.
		return connect.NewResponse(&peerv1.ReportResponse{}), nil
	}
	now := s.m.now()
	rep := &gatewayReport{
		Gateway: r.Msg.GetGateway(), Partial: r.Msg.GetPartial(),
		Strikes: strikesFromWire(r.Msg.GetStrikes(), now), Quarantines: quarantinesFromWire(r.Msg.GetQuarantines()),
	}
	rep.Open = permitsFromWire(r.Msg.GetOpen())
	for _, x := range r.Msg.GetReleases() {
		rep.Releases = append(rep.Releases, Release{Permit: permitFromWire(x.GetPermit()), End: EndReason(x.GetEnd())})
	}
	remember, err := pv.primary.report(ctx, rep)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peerv1.ReportResponse{
		Strikes: strikesToWire(remember.strikes, now), Quarantines: quarantinesToWire(remember.quarantines),
	}), nil
}

var errNoView = errors.New("no configuration yet")

func (s rpc) pool(model string) (*poolView, error) {
	v := s.m.view.Load()
	if v == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoView)
	}
	pv, ok := v.byModel[model]
	if !ok {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("model not known here"))
	}
	return pv, nil
}
