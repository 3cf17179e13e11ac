package scheduler

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/peer/peerv1"
	"github.com/crocusreel/crocusreel/policy"
)

// failuresUntilUnreachable is the number of failed reports in a row after which a
// scheduler counts as unreachable.
const failuresUntilUnreachable = 2

// remoteScheduler is the way to the scheduler at another gateway.
type remoteScheduler struct {
	id      string
	address string
	client  peerv1.SchedulerClient

	mu       sync.Mutex
	failures int
	// reachable ends when the scheduler stops answering reports. A stalled link breaks no
	// connection: without this, requests that wait there would wait for nothing.
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

// reachableCtx returns a context that ends when the scheduler becomes unreachable.
func (r *remoteScheduler) reachableCtx() context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reachable
}

// recordReport tells the outcome of a report.
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

// acquire asks the scheduler for a permit and waits in its queue.
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

// report sends a report and returns the strikes to remember.
func (r *remoteScheduler) report(ctx context.Context, rep *gatewayReport, pool string, now time.Duration) ([]policy.Strike, error) {
	msg := &peerv1.ReportRequest{Gateway: rep.Gateway, Pool: pool, Partial: rep.Partial}
	msg.Open = permitsToWire(rep.Open)
	for i := range rep.Releases {
		x := &rep.Releases[i]
		msg.Releases = append(msg.Releases, &peerv1.Release{Permit: permitToWire(&x.Permit), End: string(x.End)})
	}
	msg.Strikes = strikesToWire(rep.Strikes, now)
	resp, err := r.client.Report(ctx, connect.NewRequest(msg))
	if err != nil {
		return nil, eris.Wrapf(err, "scheduler %s", r.id)
	}
	return strikesFromWire(resp.Msg.GetStrikes(), now), nil
}
