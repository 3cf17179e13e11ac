package scheduler

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/internal/logging"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

const (
	// schedulerAttempts is the number of attempts to get a permit from the scheduler before the
	// gateway falls back to its own share of the engines.
	schedulerAttempts = 2
	// fallbackWait is how long a request waits for that share. The scheduler is then asked again:
	// it may have recovered or moved to another gateway, and it may use all of the engines'
	// capacity.
	fallbackWait = time.Second
)

// Acquire implements Permits. The configuration's queue_wait_ms bounds the total wait, however
// often the scheduler moves or fails.
func (m *Manager) Acquire(ctx context.Context, req Request) (Permit, error) {
	req.Gateway = m.opts.VMID
	ctx, cancel := m.withQueueTimeout(ctx)
	defer cancel()
	for {
		for range schedulerAttempts {
			p, err := m.acquireFromScheduler(ctx, req)
			if err == nil || isFinal(ctx, err) {
				return p, finalError(ctx, err)
			}
			metrics.CountRetry(crocusreel.ReasonSchedulerUnreachable)
			m.opts.Log.Warn("scheduler_failed", zap.String("model", req.Model),
				zap.String("request", req.RequestID), zap.Error(err))
		}
		p, err := m.acquireFallback(ctx, req)
		if err == nil || isFinal(ctx, err) {
			return p, finalError(ctx, err)
		}
	}
}

// withQueueTimeout adds the configured maximum queue wait to the caller's own deadline.
func (m *Manager) withQueueTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	v := m.view.Load()
	if v == nil || v.cfg.Limits.QueueWaitMS <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(v.cfg.Limits.QueueWaitMS)*time.Millisecond)
}

// acquireFromScheduler asks the pool's scheduler once.
func (m *Manager) acquireFromScheduler(ctx context.Context, req Request) (Permit, error) {
	pv, refusal := m.poolOf(req.Model)
	if refusal != nil {
		return Permit{}, refusal
	}
	req.Losses, req.Strikes = m.permits.lossesAndStrikes(req.Fingerprint, pv.key, m.now())
	p, err := m.acquireOnce(ctx, pv, req)
	if err == nil {
		p.Prefixes = req.Prefixes
		m.permits.add(p, pv.key, false)
	}
	return p, err
}

func (m *Manager) poolOf(model string) (*poolView, *crocusreel.Refusal) {
	v := m.view.Load()
	if v == nil {
		return nil, crocusreel.Refuse(crocusreel.ReasonNotReady, crocusreel.OutcomeNotRun, minRetryAfter,
			"no configuration yet")
	}
	pv, ok := v.byModel[model]
	if !ok {
		return nil, crocusreel.Refuse(crocusreel.ReasonUnknownModel, crocusreel.OutcomeNotRun, 0,
			"no model %q", model)
	}
	return pv, nil
}

// acquireOnce asks the pool's scheduler, in this process or at another gateway. The wait ends with
// an error if the scheduler moves or becomes unreachable: a request left in the queue of a gateway
// that no longer schedules would never be served.
func (m *Manager) acquireOnce(ctx context.Context, pv *poolView, req Request) (Permit, error) {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(pv.schedulerCtx, cancel)()
	if pv.remote == nil {
		return pv.primary.acquire(call, req)
	}
	reachable := pv.remote.reachableCtx()
	if reachable.Err() != nil {
		return Permit{}, errSchedulerUnreachable
	}
	defer context.AfterFunc(reachable, cancel)()
	return pv.remote.acquire(call, &req, pv.key, m.now())
}

var errSchedulerUnreachable = errors.New("the scheduler does not answer reports")

// acquireFallback requests a permit from this gateway's fallback pool, which uses only this
// gateway's share of the engines, and waits for at most fallbackWait.
func (m *Manager) acquireFallback(ctx context.Context, req Request) (Permit, error) {
	pv, refusal := m.poolOf(req.Model)
	if refusal != nil {
		return Permit{}, refusal
	}
	metrics.Count("spare_scheduler")
	req.Losses, req.Strikes = m.permits.lossesAndStrikes(req.Fingerprint, pv.key, m.now())
	if known := m.permits.quarantinesFrom(pv.key); len(known) > 0 {
		pv.fallback.send(reportEvent{report: &gatewayReport{Gateway: m.opts.VMID, Partial: true, Quarantines: known}})
	}
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	// Cancel without setting a deadline: the pool would treat a deadline as the caller's and refuse
	// the request for good.
	defer time.AfterFunc(fallbackWait, cancel).Stop()
	p, err := pv.fallback.acquire(wait, req)
	if err == nil {
		p.Prefixes = req.Prefixes
		m.permits.add(p, pv.key, true)
	}
	return p, err
}

// isFinal reports whether an error is the scheduler's decision or is caused by the end of the
// caller's context, as opposed to a failure to reach the scheduler.
func isFinal(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return true
	}
	var refusal *crocusreel.Refusal
	return errors.As(err, &refusal) && refusal.Reason != crocusreel.ReasonSchedulerUnreachable
}

// finalError returns the error that Acquire returns to its caller.
func finalError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	var refusal *crocusreel.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return crocusreel.Refuse(crocusreel.ReasonDeadlineUnreachable, crocusreel.OutcomeNotRun, minRetryAfter,
			"no engine had room in time")
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// Update implements Permits.
func (m *Manager) Update(permitID string, produced int) { m.permits.update(permitID, produced) }

// Release implements Permits.
func (m *Manager) Release(r Release) {
	h := m.permits.remove(r.Permit.ID)
	if h == nil {
		return
	}
	if r.Permit.Produced == 0 {
		r.Permit.Produced = int(h.produced.Load())
	}
	if r.End == EndEndpointLost {
		m.permits.recordLoss(r.Permit, m.now())
	}
	if r.End != EndEndpointLost || !m.reportLoss(h.pool, r) {
		m.permits.queueReleases(h.pool, r)
		signal(m.releasesDue)
	}
	if h.fallback {
		m.releaseFallback(h.pool, r)
	}
}

// lossReportTimeout bounds the wait for the scheduler to acknowledge a lost answer.
const lossReportTimeout = 300 * time.Millisecond

// strikeReportDelays are the delays after reportLoss at which full reports fetch the strike.
var strikeReportDelays = []time.Duration{20 * time.Millisecond, 200 * time.Millisecond}

// reportLoss reports a lost answer to the scheduler and waits for the acknowledgement. The gateway
// retries, or returns an error to its caller, right afterwards. If a repeated request reached the
// scheduler before the loss did, a request that crashes engines would get one engine more than the
// limit on strikes allows. It returns false if the scheduler did not acknowledge the loss; the
// caller then queues the release.
func (m *Manager) reportLoss(key string, r Release) bool {
	v := m.view.Load()
	if v == nil || v.byKey[key] == nil {
		return false
	}
	pv := v.byKey[key]
	ctx, cancel := context.WithTimeout(m.ctx, lossReportTimeout)
	defer cancel()
	report := &gatewayReport{Gateway: m.opts.VMID, Partial: true, Releases: []Release{r}}
	var err error
	if pv.remote == nil {
		_, err = pv.primary.report(ctx, report)
	} else {
		_, err = pv.remote.report(ctx, report, key, m.now())
	}
	if err != nil {
		m.opts.Log.Warn("loss not told to the scheduler", zap.String("pool", key), zap.String("scheduler", pv.schedulerID),
			zap.String("permit", r.Permit.ID), logging.FingerprintField(r.Permit.Fingerprint), zap.Error(err))
	}
	// The scheduler counts the strike once a poll has confirmed the engine's death. Full reports
	// shortly afterwards fetch the strike, so that it is not lost if the scheduler moves within a
	// second.
	for _, delay := range strikeReportDelays {
		time.AfterFunc(delay, func() { signal(m.fullReportDue) })
	}
	return err == nil
}

func (m *Manager) releaseFallback(key string, r Release) {
	if v := m.view.Load(); v != nil && v.byKey[key] != nil {
		v.byKey[key].fallback.send(reportEvent{report: &gatewayReport{
			Gateway: m.opts.VMID, Partial: true, Releases: []Release{r},
		}})
	}
}
