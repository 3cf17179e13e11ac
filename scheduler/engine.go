package scheduler

import (
	"errors"
	"time"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/policy"
)

const (
	// failuresToEject is the number of consecutive failed polls after which an engine gets no new
	// requests. An unreachable engine (connection refused) reaches it with its first failure.
	failuresToEject = 2
	// lossResolveTimeout is how long a request is held back for a lost answer that no poll has
	// explained.
	lossResolveTimeout = 3 * time.Second
)

// engine is the state of one engine of a pool.
type engine struct {
	spec        config.EndpointSpec
	view        *policy.Endpoint
	incarnation string
	preemptions int64
	failures    int
	leaving     bool
	// suspectedAt is when the engine was found failing, 0 if it is not or if the failure has been
	// attributed to it. suspectedUnreachable is set if the connection was refused. suspectedCause is
	// the error.
	suspectedAt          time.Duration
	suspectedUnreachable bool
	suspectedCause       string
	// losses are answers that gateways lost at this engine and whose cause no poll has shown yet.
	losses []loss
	// nextPermitAt is the earliest time of the next permit if the engine has announced a rate
	// limit.
	nextPermitAt time.Duration
}

// loss is an answer that was cut off because the engine died or the connection to it broke.
type loss struct {
	permit Permit
	at     time.Duration
}

func newEngine(s config.EndpointSpec) *engine {
	return &engine{spec: s, view: policy.NewEndpoint(s.Name)}
}

// updateState derives the engine's scheduling state from poll failures, the leaving flags and the
// known incarnation.
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

// pollResult is the outcome of one load poll.
type pollResult struct {
	engine string
	report endpoint.LoadReport
	err    error
	// startedAt is when the poll was sent.
	startedAt time.Duration
}

// applyPoll updates an engine with the outcome of a load poll.
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
	e.suspectedAt = 0
	c.resolveSuspected(e, r.startedAt, now)
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

// handlePollFailure records a failed poll. Only a refused connection shows that the engine's
// process is gone. An engine that answers late may still be working, and its permits stay open.
func (c *core) handlePollFailure(e *engine, err error, now time.Duration) {
	e.failures++
	c.hooks.count("engine_polls_failed", 1)
	var ee *endpoint.Error
	unreachable := errors.As(err, &ee) && ee.Kind == endpoint.KindUnreachable
	if unreachable {
		e.failures = max(e.failures, failuresToEject)
	}
	if e.failures >= failuresToEject {
		if e.suspectedAt == 0 {
			e.suspectedAt, e.suspectedUnreachable = now, false
		}
		e.suspectedUnreachable = e.suspectedUnreachable || unreachable
		e.suspectedCause = err.Error()
		c.compareSuspected(e, now)
	}
	e.updateState(now)
}

// A scheduler that is cut off from the engines finds all of them failing. A failure is therefore
// attributed to the engine only once another engine has answered a later poll, or if there is no other.

// compareSuspected has another engine polled for the comparison, or decides at once if there is none.
func (c *core) compareSuspected(e *engine, now time.Duration) {
	for name, other := range c.engines {
		if other != e && other.failures < failuresToEject {
			c.hooks.poll(name)
			return
		}
	}
	if len(c.engines) == 1 {
		c.confirmFailed(e, now)
	}
}

// resolveSuspected attributes the failures of other engines, before the given engine answered a poll
// that began at startedAt, to these engines.
func (c *core) resolveSuspected(answered *engine, startedAt, now time.Duration) {
	for _, e := range c.engines {
		if e != answered && e.suspectedAt != 0 && e.suspectedAt <= startedAt {
			c.confirmFailed(e, now)
		}
	}
}

// confirmFailed attributes the failure to the engine: requests that were lost there get a strike, and
// if its process is gone, those that were running there too.
func (c *core) confirmFailed(e *engine, now time.Duration) {
	e.suspectedAt = 0
	if e.suspectedUnreachable {
		c.handleEngineDeath(e, e.suspectedCause, now)
	}
	c.strikeLosses(e, now)
}

// reachesNone reports whether the polls of all engines, at least two, fail.
func (c *core) reachesNone() bool {
	for _, e := range c.engines {
		if e.failures < failuresToEject {
			return false
		}
	}
	return len(c.engines) > 1
}

// countPreemptions passes the preemptions since the last report to the risk controller. The first
// report of an incarnation only sets the reference count.
func (c *core) countPreemptions(e *engine, r endpoint.LoadReport) {
	n := r.Preemptions - e.preemptions
	first := e.incarnation == ""
	e.preemptions = r.Preemptions
	if n <= 0 || first {
		return
	}
	c.riskController.RecordPreemptions(int(n))
	c.hooks.count("engine_preemptions", n)
}

// resolveLosses decides on each loss that precedes the poll. If the permit was granted under
// another incarnation, the engine has died and the request gets a strike. Otherwise the same
// incarnation has answered a poll that began after the loss, so only the connection broke and the
// loss is dropped. The comparison uses the permit's incarnation, because a scheduler that took over
// while the engine restarted has not observed the change itself and would not count the death.
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

// handleEngineDeath drops the permits of an engine that died, since its memory is free, and gives a
// strike to each request that was running there. No request gets a strike for the stop of an engine
// that was leaving (reclaimed): addStrike ignores those.
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
	c.prefix.RemoveEndpoint(e.spec.Name)
}

// strikeLosses attributes all pending losses at an engine to its death.
func (c *core) strikeLosses(e *engine, now time.Duration) {
	for _, l := range e.losses {
		c.addStrike(e, &l.permit, now)
	}
	e.losses = nil
}

func (c *core) addStrike(e *engine, p *Permit, now time.Duration) {
	if e.leaving || e.spec.Leaving {
		return
	}
	c.recordPartsCrash(p, now)
	if p.Fingerprint == 0 {
		return
	}
	c.suspects.Record(policy.Strike{Fingerprint: p.Fingerprint, Death: p.deathID(), At: now})
	c.hooks.count("strikes", 1)
	c.logStrike(p, now)
}

// recordLoss records an answer that a gateway lost. The next poll shows whether the engine died.
// Until then the request is held back, so that one that crashes engines does not reach another
// engine before its strike is counted. If the engine is already known to have failed, the strike is
// counted at once.
func (c *core) recordLoss(e *engine, p *Permit, now time.Duration) {
	if e.view.State == policy.StateFailed && e.suspectedAt == 0 {
		c.addStrike(e, p, now)
		return
	}
	c.logLoss(e, p)
	e.losses = append(e.losses, loss{permit: *p, at: now})
	c.hooks.poll(e.spec.Name)
}

// unresolvedLoss returns a loss of the request that still waits for a poll, or nil if there is
// none.
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

// mayExceedStrikeLimit reports whether the strikes against a request plus the engines that already
// run it reach the limit on strikes. A request that was running at an engine's death may have
// caused it. If several copies were placed at once, they could kill every engine that runs one
// before the first of these deaths is counted: with a limit of three and six copies sent after the
// first death, all six engines of a pool. An innocent request waits for its first complete
// answer, which clears its strikes.
//
// A request without a strike may run on any number of engines: identical prompts from many callers
// are common, and prompts that crash engines are not.
func (c *core) mayExceedStrikeLimit(fingerprint uint64, now time.Duration) bool {
	strikes := c.suspects.Count(fingerprint, now)
	if strikes == 0 || c.pc.cfg.Limits.Strikes <= 0 {
		return false
	}
	return strikes+c.enginesRunning(fingerprint) >= c.pc.cfg.Limits.Strikes
}

// enginesRunning counts the engines that run requests with this fingerprint.
func (c *core) enginesRunning(fingerprint uint64) int {
	engines := make(map[string]struct{})
	for _, g := range c.permits {
		if g.Fingerprint == fingerprint {
			engines[g.Endpoint] = struct{}{}
		}
	}
	return len(engines)
}
