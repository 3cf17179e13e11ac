package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/notice"
	"github.com/crocusreel/crocusreel/pace"
)

// notices holds what endpoints last reported about themselves to this gateway, by address.
type notices struct {
	vm  string
	now func() time.Time
	log *zap.Logger

	mu        sync.Mutex
	byAddress map[string]*endpointNotice
}

// endpointNotice is the state derived from the notices of one endpoint. Times are those of
// notices.monotonic.
type endpointNotice struct {
	last notice.Notice
	// invalid is set while the endpoint reports values that cannot be parsed.
	invalid bool
	// lastSlotUsed is when this gateway last used a time slot of the endpoint.
	lastSlotUsed time.Duration
	// pausedUntil is the time until which the endpoint wants no requests from this gateway.
	pausedUntil time.Duration
	// lastRecheck is when the gateway last checked whether the endpoint is still leaving.
	lastRecheck time.Duration
}

func newNotices(vm string, now func() time.Time, log *zap.Logger) *notices {
	return &notices{vm: vm, now: now, log: log, byAddress: make(map[string]*endpointNotice)}
}

// record stores the notice from an answer that was just received from the endpoint at an address.
func (n *notices) record(address string, received notice.Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.byAddress[address]
	if known == nil {
		if received.Empty() {
			return
		}
		known = &endpointNotice{}
		n.byAddress[address] = known
	}
	faulty := received.Err() != nil
	if faulty && !known.invalid {
		metrics.Count("endpoint_notice_unreadable")
		n.log.Warn("endpoint's answer not readable", zap.String("address", address), zap.Error(received.Err()))
	}
	known.invalid = faulty
	if received.LimitErr != nil {
		// The previous limit stays in force.
		received.Limited, received.Limit = known.last.Limited, known.last.Limit
	}
	if received.Limited != known.last.Limited || received.Limit != known.last.Limit {
		n.log.Info("endpoint's limit changed", zap.String("address", address), zap.Bool("limited", received.Limited),
			zap.Float64("requests_per_second", received.Limit), zap.Float64("before", known.last.Limit))
	}
	if received.Leaving != known.last.Leaving {
		n.log.Info("endpoint's leaving state changed", zap.String("address", address), zap.Bool("leaving", received.Leaving))
	}
	if now := n.monotonic(); received.Pause > 0 {
		if now >= known.pausedUntil {
			metrics.Count("endpoint_pauses")
			n.log.Info("endpoint asks for a pause", zap.String("address", address), zap.Duration("for", received.Pause))
		}
		known.pausedUntil = max(known.pausedUntil, now+received.Pause)
	}
	known.last = received
}

// remainingPause returns how much longer the endpoint at an address wants no requests from this
// gateway.
func (n *notices) remainingPause(address string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known := n.byAddress[address]; known != nil {
		return max(known.pausedUntil-n.monotonic(), 0)
	}
	return 0
}

// leavingRecheckInterval is the time between two checks of whether a leaving endpoint has stopped
// and another one has started at its address.
const leavingRecheckInterval = time.Second

// leaving reports whether an endpoint has announced that it is about to stop, and whether to check
// that again now. The check is needed because a leaving endpoint gets no calls, whose answers could
// withdraw the announcement.
func (n *notices) leaving(e *config.EndpointSpec) (leaving, recheck bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.byAddress[e.Address]
	if known == nil || !known.last.Leaving {
		return false, false
	}
	now := n.monotonic()
	if recheck = now-known.lastRecheck >= leavingRecheckInterval; recheck {
		known.lastRecheck = now
	}
	return true, recheck
}

// last returns the latest notice of the endpoint at an address.
func (n *notices) last(address string) notice.Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known := n.byAddress[address]; known != nil {
		return known.last
	}
	return notice.Notice{}
}

// timeUntilSlot returns the time until this gateway may send the next call to an endpoint, given
// the endpoint's pause and limit; 0 means now. gateways holds the VM IDs of all gateways, which
// share the limit.
func (n *notices) timeUntilSlot(e *config.EndpointSpec, gateways []string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.timeUntilSlotLocked(e, gateways)
}

func (n *notices) timeUntilSlotLocked(e *config.EndpointSpec, gateways []string) time.Duration {
	known := n.byAddress[e.Address]
	if known == nil {
		return 0
	}
	now := n.monotonic()
	if now < known.pausedUntil {
		return known.pausedUntil - now
	}
	if !known.last.Limited {
		return 0
	}
	slots := pace.Slots{
		Rank: pace.Rank(n.vm, gateways, pace.EndpointKey(e.Name)), Nodes: max(len(gateways), 1), PerSecond: pace.LimitRate(known.last.Limit),
	}
	return slots.Until(n.now(), now, known.lastSlotUsed)
}

// useSlot reports whether this gateway may call an endpoint now. If the endpoint has a limit, it
// uses the current time slot.
func (n *notices) useSlot(e *config.EndpointSpec, gateways []string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	wait := n.timeUntilSlotLocked(e, gateways)
	if known := n.byAddress[e.Address]; wait == 0 && known != nil && known.last.Limited {
		known.lastSlotUsed = n.monotonic()
		metrics.Count("limit_turns_used")
	}
	return wait == 0
}

// monotonic returns the time since clockOrigin on the monotonic clock; the wall clock may jump.
func (n *notices) monotonic() time.Duration { return n.now().Sub(clockOrigin) }

// clockOrigin lies long before any slot is used, so that the zero values in endpointNotice lie in
// the past.
var clockOrigin = time.Now().Add(-24 * time.Hour)
