package controller

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/controller/membership"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/operator"
	"github.com/crocusreel/crocusreel/peer/peerv1"
)

const (
	// orderInterval is the time between two reconciliation rounds.
	orderInterval = 500 * time.Millisecond
	// readsPerRound bounds the engines that are read in one round, so that the holder's work per
	// round does not grow with the number of engines.
	readsPerRound = 4
	// convergedReadInterval is the time between two reads of an engine that has reached its target.
	convergedReadInterval = 10 * time.Second
	// unconvergedReadInterval is the time between two reads of an engine that has not reached its
	// target.
	unconvergedReadInterval = time.Second
	// stateTimeout bounds one request for an engine's state or load report.
	stateTimeout = time.Second
	// verifyTimeout is how long an order may have no visible effect before the next order is
	// chosen, usually the same one again. It does not apply while the engine reports that it is
	// loading.
	verifyTimeout = 5 * time.Second
	// minLeaseDivisor sets the part of the lease (duration/minLeaseDivisor) that must remain for an
	// order to be sent. For an engine that ignores fencing tokens, this time is the only
	// protection against two holders.
	minLeaseDivisor = 4
)

// trackedEngine is what the reconciler knows about one engine.
type trackedEngine struct {
	target engineTarget
	client endpoint.Engine
	// state is the result of the last successful read; reached reports whether the latest read
	// succeeded.
	state   endpoint.State
	reached bool
	readAt  time.Time
	// pending is the last order sent, until its effect is seen or it is given up after
	// verifyTimeout.
	pending   *endpoint.Order
	pendingAt time.Time
	// reserved is the load order for which the weight store has assigned a time slot, and
	// loadNotBefore is when that slot begins.
	reserved      *endpoint.Order
	loadNotBefore time.Time
}

// reconciler brings the engines of a region to the configured target while this VM holds the
// region's lease. Its fields belong to the goroutine of run, except for those that are
// synchronised.
type reconciler struct {
	c       *Controller
	lease   *lease
	version uint64
	engines map[string]*trackedEngine
	// minCopies is the number of engines that must keep each model.
	minCopies map[string]int
	// inDoubtUnloads holds unloads that may still take effect, each with the time until which it
	// may.
	inDoubtUnloads  map[unloadIntent]time.Time
	publishedStatus atomic.Pointer[[]operator.EndpointStatus]
}

func newReconciler(c *Controller) *reconciler {
	return &reconciler{c: c, lease: newLease(c), engines: make(map[string]*trackedEngine), inDoubtUnloads: make(map[unloadIntent]time.Time)}
}

// run maintains the lease and reconciles the engines until ctx ends. It releases the lease on
// return.
func (r *reconciler) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer func() {
		wg.Wait()
		stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		r.lease.release(stopCtx)
	}()
	wg.Go(func() {
		for sleepWithJitter(ctx, r.lease.duration/renewalsPerLease) {
			r.lease.renewOrAcquire(ctx, r.mayAcquireLease())
		}
	})
	for sleepWithJitter(ctx, orderInterval) {
		if r.lease.held() {
			r.round(ctx)
		}
		r.publishStatus()
	}
}

// mayAcquireLease limits the VMs that read the lease row to two in each region, whatever the number
// of VMs: the one with the highest rank and, in case it fails, the next.
func (r *reconciler) mayAcquireLease() bool {
	s := r.c.Snapshot()
	ids := unsuspectedIDs(s, func(m *peerv1.Member) bool {
		return m.Region == s.Self.Region && m.State == peerv1.MemberState_MEMBER_STATE_ALIVE
	})
	first := membership.HighestRanked(r.lease.key(), ids)
	if first == s.Self.Id {
		return true
	}
	others := slices.DeleteFunc(ids, func(id string) bool { return id == first })
	return membership.HighestRanked(r.lease.key(), others) == s.Self.Id
}

// round reads the engines that are due and sends each of them at most one order.
func (r *reconciler) round(ctx context.Context) {
	if !r.refreshTargets() {
		return
	}
	r.refreshInDoubtUnloads()
	due := r.due()
	var wg sync.WaitGroup
	for _, t := range due {
		wg.Go(func() { t.read(ctx, r.c.now()) })
	}
	wg.Wait()
	for _, t := range due {
		if t.reached {
			r.reconcile(ctx, t)
		}
	}
}

// refreshTargets recomputes the targets when the configuration has changed. It returns false if
// there is no usable configuration.
func (r *reconciler) refreshTargets() bool {
	snapshot := r.c.Snapshot()
	if snapshot.Config == nil {
		return false
	}
	if snapshot.Version() == r.version {
		return true
	}
	doc, err := decodeDocument(snapshot.Config)
	if err != nil {
		return false
	}
	targets, minCopies, err := desiredState(doc, r.lease.region)
	if err != nil {
		r.c.log.Error("configuration does not compile", zap.Error(err))
		return false
	}
	engines := make(map[string]*trackedEngine, len(targets))
	for _, t := range targets {
		old, known := r.engines[t.spec.Name]
		if !known || old.target.spec.Address != t.spec.Address {
			old = &trackedEngine{client: r.c.opts.Engine(t.spec.Address)}
		}
		old.target = t
		old.readAt = time.Time{}
		engines[t.spec.Name] = old
	}
	r.engines, r.minCopies, r.version = engines, minCopies, snapshot.Version()
	return true
}

// due returns at most readsPerRound engines to read, the longest overdue first.
func (r *reconciler) due() []*trackedEngine {
	now := r.c.now()
	var due []*trackedEngine
	for _, t := range r.engines {
		if now.Sub(t.readAt) >= t.readInterval() {
			due = append(due, t)
		}
	}
	slices.SortFunc(due, func(a, b *trackedEngine) int {
		return a.readAt.Add(a.readInterval()).Compare(b.readAt.Add(b.readInterval()))
	})
	return due[:min(len(due), readsPerRound)]
}

// readInterval is the time between two reads of the engine.
func (t *trackedEngine) readInterval() time.Duration {
	if t.reached && t.pending == nil && nextOrder(t.target, t.state) == nil {
		return convergedReadInterval
	}
	return unconvergedReadInterval
}

// read updates the engine's state. A failed read keeps the last known state and clears reached.
func (t *trackedEngine) read(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := t.client.State(ctx)
	t.readAt, t.reached = now, err == nil
	if err == nil {
		t.state = state
	}
}

// reconcile checks the last order against the engine's state and sends the next one.
func (r *reconciler) reconcile(ctx context.Context, t *trackedEngine) {
	if !r.verifyPending(t) {
		return
	}
	order := nextOrder(t.target, t.state)
	if order == nil {
		t.reserved = nil
		return
	}
	switch order.Verb {
	case verbLoad:
		if !r.mayLoad(ctx, t, *order) {
			return
		}
	case verbUnload:
		if !r.mayUnload(ctx, t, *order) || !r.announceUnload(ctx, t, *order) {
			metrics.Count("unload_withheld")
			return
		}
	}
	r.sendOrder(ctx, t, *order)
}

// verifyPending reports whether no order is pending any more. An order can be lost, or be undone by
// a late order of a former holder; the engine's state shows either.
func (r *reconciler) verifyPending(t *trackedEngine) bool {
	if t.pending == nil {
		return true
	}
	if isCarriedOut(*t.pending, t.state) {
		metrics.Count("order_verified")
		r.settleUnload(t, *t.pending)
		t.pending = nil
		return true
	}
	if t.state.Loading || r.c.now().Sub(t.pendingAt) < verifyTimeout {
		return false
	}
	metrics.Count("order_without_effect")
	r.c.log.Warn("order has no visible effect in the engine's state", zap.String("endpoint", t.target.spec.Name), zap.String("verb", t.pending.Verb))
	t.pending = nil
	return true
}

// mayLoad reports whether a load may start now. It asks the weight store for a time slot once for
// each load order and waits for it, so that all loads together stay within the store's rate.
func (r *reconciler) mayLoad(ctx context.Context, t *trackedEngine, o endpoint.Order) bool {
	if t.reserved == nil || *t.reserved != o {
		wait, err := r.c.opts.Platform.Reserve(ctx, o.Model, o.Version)
		if err != nil {
			metrics.Count("weights_unavailable")
			return false
		}
		t.reserved, t.loadNotBefore = &o, r.c.now().Add(wait)
	}
	return !r.c.now().Before(t.loadNotBefore)
}

// sendOrder sends an order if enough of the lease remains. The remaining time is read immediately
// before, because a process that was paused since the last check would otherwise act on a lease
// that another process now holds. For the same reason the request is cancelled when the lease
// expires.
func (r *reconciler) sendOrder(ctx context.Context, t *trackedEngine, o endpoint.Order) {
	left, fence := r.lease.remaining()
	if left < r.lease.duration/minLeaseDivisor {
		metrics.Count("order_withheld")
		return
	}
	o.Fence = fence
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	err := t.client.Order(ctx, o)
	t.reserved = nil
	var failure *endpoint.Error
	switch {
	case errors.As(err, &failure) && failure.Kind == endpoint.KindStaleFence:
		metrics.Count("order_stale_fence")
		r.lease.abandon()
	case err != nil:
		metrics.Count("order_failed")
		r.c.log.Warn("order failed", zap.String("endpoint", t.target.spec.Name), zap.String("verb", o.Verb), zap.Error(err))
		if failure == nil || failure.Outcome != crocusreel.OutcomeNotRun {
			// The order may have been carried out all the same. Until a read shows the engine's
			// state, an unload counts as done; otherwise the next unload could remove the last
			// copy.
			t.pending, t.pendingAt = &o, r.c.now()
		}
	default:
		metrics.Count("order_given")
		r.c.log.Info("order given", zap.String("endpoint", t.target.spec.Name), zap.String("verb", o.Verb),
			zap.String("model", o.Model), zap.String("version", o.Version), zap.Uint64("fence", fence))
		t.pending, t.pendingAt = &o, r.c.now()
	}
}
