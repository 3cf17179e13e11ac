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
	// schedulerTries is the number of attempts to get a permit from the scheduler
	// before the gateway decides alone with its share of the engines.
	schedulerTries = 2
	// spareWait is how long a request waits for that share. Then the scheduler is
	// asked again: it may be back, or another gateway, and has all of the engines.
	spareWait = time.Second
)

// Acquire implements Permits. However often the scheduler moves or fails, the wait is
// bounded as a whole by the configuration's queue_wait_ms.
func (m *Manager) Acquire(ctx context.Context, req Request) (Permit, error) {
	req.Gateway = m.opts.VMID
	ctx, cancel := m.boundWait(ctx)
	defer cancel()
	for {
		for range schedulerTries {
			p, err := m.acquireMain(ctx, req)
			if err == nil || final(ctx, err) {
				return p, finalError(ctx, err)
			}
			metrics.Retried(crocusreel.ReasonSchedulerUnreachable)
			m.opts.Log.Warn("scheduler_failed", zap.String("model", req.Model),
				zap.String("request", req.RequestID), zap.Error(err))
		}
		p, err := m.acquireSpare(ctx, req)
		if err == nil || final(ctx, err) {
			return p, finalError(ctx, err)
		}
	}
}

// boundWait adds the longest wait in a queue to the caller's own deadline.
func (m *Manager) boundWait(ctx context.Context) (context.Context, context.CancelFunc) {
	v := m.view.Load()
	if v == nil || v.cfg.Limits.QueueWaitMS <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(v.cfg.Limits.QueueWaitMS)*time.Millisecond)
}

// acquireMain asks the pool's scheduler once.
func (m *Manager) acquireMain(ctx context.Context, req Request) (Permit, error) {
	pv, refusal := m.poolOf(req.Model)
	if refusal != nil {
		return Permit{}, refusal
	}
	req.Losses, req.Strikes = m.ledger.against(req.Fingerprint, pv.key, m.now())
	p, err := m.try(ctx, pv, req)
	if err == nil {
		m.ledger.add(p, pv.key, false)
	}
	return p, err
}

func (m *Manager) poolOf(model string) (*poolView, *crocusreel.Refusal) {
	v := m.view.Load()
	if v == nil {
		return nil, crocusreel.Refuse(crocusreel.ReasonNotReady, crocusreel.OutcomeNotRun, leastRetryAfter,
			"no configuration yet")
	}
	pv, ok := v.pools[model]
	if !ok {
		return nil, crocusreel.Refuse(crocusreel.ReasonUnknownModel, crocusreel.OutcomeNotRun, 0,
			"no model %q", model)
	}
	return pv, nil
}

// try asks the pool's scheduler, here or at another gateway. The wait ends with an
// error if the scheduler moves or becomes unreachable: a request that stayed in the
// queue of a gateway which no longer schedules would be forgotten there.
func (m *Manager) try(ctx context.Context, pv *poolView, req Request) (Permit, error) {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(pv.moved, cancel)()
	if pv.remote == nil {
		return pv.main.acquire(call, req)
	}
	up := pv.remote.alive()
	if up.Err() != nil {
		return Permit{}, errUnreachable
	}
	defer context.AfterFunc(up, cancel)()
	return pv.remote.acquire(call, &req, pv.key, m.now())
}

var errUnreachable = errors.New("the scheduler does not answer reports")

// acquireSpare decides alone, with this gateway's share of the engines, and waits for
// it for a short time only.
func (m *Manager) acquireSpare(ctx context.Context, req Request) (Permit, error) {
	pv, refusal := m.poolOf(req.Model)
	if refusal != nil {
		return Permit{}, refusal
	}
	metrics.Count("spare_scheduler")
	req.Losses, req.Strikes = m.ledger.against(req.Fingerprint, pv.key, m.now())
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	// No deadline: the pool would take it for the caller's and refuse for good.
	defer time.AfterFunc(spareWait, cancel).Stop()
	p, err := pv.spare.acquire(wait, req)
	if err == nil {
		m.ledger.add(p, pv.key, true)
	}
	return p, err
}

// final tells whether an error is the scheduler's decision or the caller's end,
// and not a failure to reach the scheduler.
func final(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return true
	}
	var refusal *crocusreel.Refusal
	return errors.As(err, &refusal) && refusal.Reason != crocusreel.ReasonSchedulerUnreachable
}

// finalError returns what the caller of Acquire gets.
func finalError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	var refusal *crocusreel.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return crocusreel.Refuse(crocusreel.ReasonDeadlineUnreachable, crocusreel.OutcomeNotRun, leastRetryAfter,
			"no engine had room in time")
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// Update implements Permits.
func (m *Manager) Update(permitID string, produced int) { m.ledger.update(permitID, produced) }

// Release implements Permits.
func (m *Manager) Release(r Release) {
	h := m.ledger.remove(r.Permit.ID)
	if h == nil {
		return
	}
	if r.Permit.Produced == 0 {
		r.Permit.Produced = int(h.produced.Load())
	}
	if r.End == EndEndpointLost {
		m.ledger.lose(r.Permit, m.now())
	}
	if r.End != EndEndpointLost || !m.reportLoss(h.pool, r) {
		m.ledger.give(h.pool, r)
		signal(m.wake)
	}
	if h.spare {
		m.releaseSpare(h.pool, r)
	}
}

// lossTimeout bounds the wait for a scheduler to learn of a lost answer.
const lossTimeout = 300 * time.Millisecond

// strikeDelays are the times after a loss at which its strike is asked for.
var strikeDelays = []time.Duration{20 * time.Millisecond, 200 * time.Millisecond}

// reportLoss tells the scheduler of a lost answer and waits until it knows. The
// gateway tries again or answers its caller right after. If that request reached the
// scheduler before the loss did, a deadly one would go to one more engine than the
// bound allows.
func (m *Manager) reportLoss(key string, r Release) bool {
	v := m.view.Load()
	if v == nil || v.byKey[key] == nil {
		return false
	}
	pv := v.byKey[key]
	ctx, cancel := context.WithTimeout(m.ctx, lossTimeout)
	defer cancel()
	report := &gatewayReport{Gateway: m.opts.VMID, Partial: true, Releases: []Release{r}}
	var err error
	if pv.remote == nil {
		_, err = pv.main.report(ctx, report)
	} else {
		_, err = pv.remote.report(ctx, report, key, m.now())
	}
	// The strike is counted once a poll has shown the death. Full reports soon after
	// bring it here, so that it is not lost if the scheduler moves within the second.
	if err != nil {
		m.opts.Log.Warn("loss not told to the scheduler", zap.String("pool", key), zap.String("scheduler", pv.scheduler),
			zap.String("permit", r.Permit.ID), logging.Work(r.Permit.Fingerprint), zap.Error(err))
	}
	for _, delay := range strikeDelays {
		time.AfterFunc(delay, func() { signal(m.changed) })
	}
	return err == nil
}

func (m *Manager) releaseSpare(key string, r Release) {
	if v := m.view.Load(); v != nil && v.byKey[key] != nil {
		v.byKey[key].spare.send(reportEvent{report: &gatewayReport{
			Gateway: m.opts.VMID, Partial: true, Releases: []Release{r},
		}})
	}
}
