package scheduler

import (
	"errors"
	"time"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/policy"
)

const (
	// failuresToEject is the number of failed polls in a row after which an engine
	// gets no new work; a refused connection counts at once.
	failuresToEject = 2
	// lossResolveTimeout is how long a loss may wait for a poll to confirm it.
	lossResolveTimeout = 3 * time.Second
)

// engine is one engine of a pool.
type engine struct {
	spec        config.EndpointSpec
	view        *policy.Endpoint
	incarnation string
	preemptions int64
	failures    int
	leaving     bool
	// losses are answers that gateways lost here and that no poll has explained.
	losses []loss
	// nextPermitAt is when an engine that names a limit may get its next permit.
	nextPermitAt time.Duration
}

// loss is an answer that ended because the engine died or the link to it broke.
type loss struct {
	permit Permit
	at     time.Duration
}

func newEngine(s config.EndpointSpec) *engine {
	return &engine{spec: s, view: policy.NewEndpoint(s.Name)}
}

// updateState derives the state of the engine from what is known.
func (e *engine) updateState(now time.Duration) {
	before := e.view.State
	switch {
	case e.failures >= failuresToEject:
		e.view.State = policy.StateFailed
	case e.leaving || e.spec.Leaving:
		e.view.State = policy.StateLeaving
	case e.incarnation == "":
		e.view.State = policy.StateUnknown
	case e.failures == 0:
		e.view.State = policy.StateHealthy
	}
	if e.view.State == policy.StateHealthy && before != policy.StateHealthy {
		e.view.HealthySince = now
	}
}

// pollResult is the outcome of one poll.
type pollResult struct {
	engine string
	report endpoint.LoadReport
	err    error
	// startedAt is when the poll was sent.
	startedAt time.Duration
}

// applyPoll takes over the outcome of a poll.
func (c *core) applyPoll(r pollResult, now time.Duration) {
	e, ok := c.engines[r.engine]
	if !ok {
		return
	}
	if r.err != nil {
		c.handlePollFailure(e, r.err, now)
		return
	}
	e.failures = 0
	if e.incarnation != "" && e.incarnation != r.report.Incarnation {
		c.handleEngineDeath(e, "new incarnation "+r.report.Incarnation, now)
		e.preemptions = 0
	}
	c.countPreemptions(e, r.report)
	e.incarnation = r.report.Incarnation
	e.leaving = r.report.Leaving || c.hooks.notice(e.spec).Leaving
	c.resolveLosses(e, r.startedAt, now)
	v := e.view
	v.Capacity = r.report.KVCapacity
	v.ReportedUsed = r.report.KVUsed
	v.ReportedRunning = r.report.Running
	v.ReportedWaiting = r.report.Waiting
	e.updateState(now)
	v.Share = c.rampShare(e, now)
	v.Refresh(c.estimator, now, c.isOraclePolicy())
}

// handlePollFailure judges an engine that did not answer. Only a refused connection shows
// that its process is gone; an engine that answers late may go on with its work,
// and its permits stay.
func (c *core) handlePollFailure(e *engine, err error, now time.Duration) {
	e.failures++
	c.hooks.count("engine_polls_failed", 1)
	var ee *endpoint.Error
	if errors.As(err, &ee) && ee.Kind == endpoint.KindUnreachable {
		e.failures = max(e.failures, failuresToEject)
		c.handleEngineDeath(e, err.Error(), now)
	}
	if e.failures >= failuresToEject {
		c.strikeLosses(e, now)
	}
	e.updateState(now)
}

// countPreemptions passes preemptions since the last report on to the feedback.
func (c *core) countPreemptions(e *engine, r endpoint.LoadReport) {
	n := r.Preemptions - e.preemptions
	first := e.incarnation == ""
	e.preemptions = r.Preemptions
	if n <= 0 || first {
		return
	}
	c.feedback.Preempted(int(n))
	c.hooks.count("engine_preemptions", n)
}

// resolveLosses explains the losses of an earlier incarnation by its death, and drops
// those that the engine has outlived: a poll that began after them was answered by the
// same incarnation, so that only the link had broken. A scheduler that took over while
// the engine started again has seen no change of incarnation; it goes by the one under
// which the permit was granted, or the death would count for nothing.
func (c *core) resolveLosses(e *engine, pollStartedAt, now time.Duration) {
	kept := e.losses[:0]
	for _, l := range e.losses {
		switch {
		case l.at >= pollStartedAt:
			kept = append(kept, l)
		case l.permit.Incarnation != "" && l.permit.Incarnation != e.incarnation:
			c.addStrike(e, &l.permit, now)
		default:
			c.logLossDismissed(e, &l, pollStartedAt)
		}
	}
	e.losses = kept
}

// handleEngineDeath gives a strike to every request that was running at an engine when it
// handleEngineDeath, and voids its permits: memory that a dead engine held is free. A reclaimed
// engine was stopped from outside, and no request is to blame.
func (c *core) handleEngineDeath(e *engine, cause string, now time.Duration) {
	if e.incarnation != "" {
		c.logDied(e, cause)
	}
	c.strikeLosses(e, now)
	for id := range e.view.Running {
		g := c.permits[id]
		c.dropPermit(id)
		c.tombstones[id] = now
		if g != nil {
			c.addStrike(e, &g.Permit, now)
		}
	}
	e.incarnation = ""
	e.view.ReportedUsed, e.view.ReportedRunning, e.view.ReportedWaiting = 0, 0, 0
	e.view.Refresh(c.estimator, now, c.isOraclePolicy())
	c.prefix.Forget(e.spec.Name)
}

// strikeLosses takes the losses at an engine as caused by its death.
func (c *core) strikeLosses(e *engine, now time.Duration) {
	for _, l := range e.losses {
		c.addStrike(e, &l.permit, now)
	}
	e.losses = nil
}

func (c *core) addStrike(e *engine, p *Permit, now time.Duration) {
	if e.leaving || e.spec.Leaving || p.Fingerprint == 0 {
		return
	}
	c.suspects.Strike(policy.Strike{Fingerprint: p.Fingerprint, Death: p.deathID(), At: now})
	c.hooks.count("strikes", 1)
	c.logStrike(p, now)
}

// recordLoss notes that a gateway recordLoss an answer. Whether the engine died is told by the
// next poll; until then the request is held back, so that a deadly one does not
// reach the next engine unrecognised.
func (c *core) recordLoss(e *engine, p *Permit, now time.Duration) {
	if e.view.State == policy.StateFailed {
		c.addStrike(e, p, now)
		return
	}
	c.logLoss(e, p)
	e.losses = append(e.losses, loss{permit: *p, at: now})
	c.hooks.poll(e.spec.Name)
}

// unresolvedLoss returns a loss of the request that still waits for a poll; nil if none does.
func (c *core) unresolvedLoss(fingerprint uint64, now time.Duration) *loss {
	for _, e := range c.sortedEngines {
		for i := range e.losses {
			l := &e.losses[i]
			if l.permit.Fingerprint == fingerprint && now-l.at < lossResolveTimeout {
				return l
			}
		}
	}
	return nil
}

// mayExceedStrikeLimit tells whether the work already runs at as many engines as it may still kill. Work
// that was beside a death may have caused it. Sent several times at once, it would kill all
// engines that run a copy before the first of these deaths is known: with a bound of three
// and six copies sent after the first death, all six engines of a pool. Innocent work waits
// for its first whole answer, which clears it.
//
// Work without a strike runs everywhere, however often it is sent: prompts that many callers
// send alike are common, and deadly ones are not.
func (c *core) mayExceedStrikeLimit(fingerprint uint64, now time.Duration) bool {
	strikes := c.suspects.Count(fingerprint, now)
	if strikes == 0 || c.pc.cfg.Limits.Strikes <= 0 {
		return false
	}
	return strikes+c.enginesRunning(fingerprint) >= c.pc.cfg.Limits.Strikes
}

// enginesRunning counts the engines that run the work.
func (c *core) enginesRunning(fingerprint uint64) int {
	engines := make(map[string]struct{})
	for _, g := range c.permits {
		if g.Fingerprint == fingerprint {
			engines[g.Endpoint] = struct{}{}
		}
	}
	return len(engines)
}
