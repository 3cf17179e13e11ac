package scheduler

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/peer/peerv1"
)

// failuresUntilUnreachable is the number of consecutive failed reports after which a scheduler
// counts as unreachable.
const failuresUntilUnreachable = 2

// remoteScheduler is the client of a scheduler at another gateway.
type remoteScheduler struct {
	id      string
	address string
	client  peerv1.SchedulerClient

	mu       sync.Mutex
	failures int
	// reachable is cancelled when the scheduler stops answering reports. A stalled link does not
	// close the connection: without this, requests queued there would wait in vain.
	reachable       context.Context
	markUnreachable context.CancelFunc
}

func newRemoteScheduler(g *peerv1.Member, o Options) *remoteScheduler {
	r := &remoteScheduler{
		id: g.GetId(), address: g.GetGatewayAddress(),
		client: peerv1.NewSchedulerClient(o.Client, o.Scheme+"://"+g.GetGatewayAddress()),
	}
	r.reachable, r.markUnreachable = context.WithCancel(context.Background())
	return r
}

// reachableCtx returns a context that is cancelled when the scheduler becomes unreachable.
func (r *remoteScheduler) reachableCtx() context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reachable
}

// recordReport records the outcome of a report from the reporter. After failuresUntilUnreachable
// consecutive errors it cancels the reachable context; the next success creates a new one.
func (r *remoteScheduler) recordReport(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.failures = 0
		if r.reachable.Err() != nil {
			r.reachable, r.markUnreachable = context.WithCancel(context.Background())
		}
		return
	}
	r.failures++
	if r.failures >= failuresUntilUnreachable {
		r.markUnreachable()
	}
}

// acquire requests a permit from the scheduler and waits in its queue.
func (r *remoteScheduler) acquire(ctx context.Context, req *Request, pool string, now time.Duration) (Permit, error) {
	var timeLeft time.Duration
	if deadline, ok := ctx.Deadline(); ok {
		timeLeft = time.Until(deadline)
	}
	resp, err := r.client.Acquire(ctx, connect.NewRequest(requestToWire(req, pool, timeLeft, now)))
	if err != nil {
		return Permit{}, eris.Wrapf(err, "scheduler %s", r.id)
	}
	if f := resp.Msg.GetRefusal(); f != nil {
		return Permit{}, refusalFromWire(f)
	}
	if resp.Msg.GetPermit() == nil {
		return Permit{}, eris.Errorf("scheduler %s answered neither permit nor refusal", r.id)
	}
	return permitFromWire(resp.Msg.GetPermit()), nil
}

// report sends a report and returns what the gateway has to remember.
func (r *remoteScheduler) report(ctx context.Context, rep *gatewayReport, pool string, now time.Duration) (toRemember, error) {
	msg := &peerv1.ReportRequest{Gateway: rep.Gateway, Pool: pool, Partial: rep.Partial}
	msg.Open = permitsToWire(rep.Open)
	for i := range rep.Releases {
		x := &rep.Releases[i]
		msg.Releases = append(msg.Releases, releaseToWire(x))
	}
	msg.Strikes = strikesToWire(rep.Strikes, now)
	msg.Quarantines = quarantinesToWire(rep.Quarantines)
	resp, err := r.client.Report(ctx, connect.NewRequest(msg))
	if err != nil {
		return toRemember{}, eris.Wrapf(err, "scheduler %s", r.id)
	}
	return toRemember{strikes: strikesFromWire(resp.Msg.GetStrikes(), now), quarantines: quarantinesFromWire(resp.Msg.GetQuarantines())}, nil
}
