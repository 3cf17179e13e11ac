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

	mu    sync.Mutex
	known map[string]*noticed
}

// endpointNotice is the state derived from the notices of one endpoint. Times are those of
// notices.monotonic.
type noticed struct {
	last notice.Notice
	// invalid is set while the endpoint reports values that cannot be parsed.
	unreadable bool
	// lastSlotUsed is when this gateway last used a time slot of the endpoint.
	turnUsed time.Duration
	// pausedUntil is the time until which the endpoint wants no requests from this gateway.
	pausedUntil time.Duration
	// lastRecheck is when the gateway last checked whether the endpoint is still leaving.
	checked time.Duration
}

func newNotices(vm string, now func() time.Time, log *zap.Logger) *notices {
	return &notices{vm: vm, now: now, log: log, known: make(map[string]*noticed)}
}

// record records the notice from an answer that was just received from the endpoint at an address.
func (n *notices) note(address string, said notice.Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.known[address]
	if known == nil {
		if said.Empty() {
			return
		}
		known = &noticed{}
		n.known[address] = known
	}
	faulty := said.Err() != nil
	if faulty && !known.unreadable {
		metrics.Count("endpoint_notice_unreadable")
		n.log.Warn("endpoint's answer not readable", zap.String("address", address), zap.Error(said.Err()))
	}
	known.unreadable = faulty
	if said.LimitErr != nil {
		// The previous limit stays in force.
		said.Limited, said.Limit = known.last.Limited, known.last.Limit
	}
	if said.Limited != known.last.Limited || said.Limit != known.last.Limit {
		n.log.Info("endpoint's limit changed", zap.String("address", address), zap.Bool("limited", said.Limited),
			zap.Float64("requests_per_second", said.Limit), zap.Float64("before", known.last.Limit))
	}
	if said.Leaving != known.last.Leaving {
		n.log.Info("endpoint's leaving state changed", zap.String("address", address), zap.Bool("leaving", said.Leaving))
	}
	if now := n.clock(); said.Pause > 0 {
		if now >= known.pausedUntil {
			metrics.Count("endpoint_pauses")
			n.log.Info("endpoint asks for a pause", zap.String("address", address), zap.Duration("for", said.Pause))
		}
		known.pausedUntil = max(known.pausedUntil, now+said.Pause)
	}
	known.last = said
}

// remainingPause returns how much longer the endpoint at an address wants no requests from this
// gateway.
func (n *notices) pause(address string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known := n.known[address]; known != nil {
		return max(known.pausedUntil-n.clock(), 0)
	}
	return 0
}

// leavingRecheckInterval is the time between two checks whether a leaving endpoint has stopped and
// another one has started at its address.
const recheckEvery = time.Second

// leaving reports whether an endpoint has announced that it is about to stop, and whether to check
// that again now. The check is needed because a leaving endpoint gets no calls, whose answers could
// withdraw the announcement.
func (n *notices) leaving(e *config.EndpointSpec) (leaves, recheck bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.known[e.Address]
	if known == nil || !known.last.Leaving {
		return false, false
	}
	now := n.clock()
	if recheck = now-known.checked >= recheckEvery; recheck {
		known.checked = now
	}
	return true, recheck
}

// last returns the latest notice of the endpoint at an address.
func (n *notices) of(address string) notice.Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known := n.known[address]; known != nil {
		return known.last
	}
	return notice.Notice{}
}

// timeUntilSlot returns the time until this gateway may send the next call to an endpoint, given
// the endpoint's pause and limit; 0 means now. gateways holds the VM IDs of all gateways, which
// share the limit.
func (n *notices) untilTurn(e *config.EndpointSpec, gateways []string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.untilTurnLocked(e, gateways)
}

func (n *notices) untilTurnLocked(e *config.EndpointSpec, gateways []string) time.Duration {
	known := n.known[e.Address]
	if known == nil {
		return 0
	}
	now := n.clock()
	if now < known.pausedUntil {
		return known.pausedUntil - now
	}
	if !known.last.Limited {
		return 0
	}
	slots := pace.Slots{
		Rank: pace.Rank(n.vm, gateways, pace.EndpointKey(e.Name)), Nodes: max(len(gateways), 1), PerSecond: pace.LimitRate(known.last.Limit),
	}
	return slots.Until(n.now(), now, known.turnUsed)
}

// useSlot reports whether this gateway may call an endpoint now. If the endpoint has a limit, it
// uses the current time slot.
func (n *notices) takeTurn(e *config.EndpointSpec, gateways []string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	wait := n.untilTurnLocked(e, gateways)
	if known := n.known[e.Address]; wait == 0 && known != nil && known.last.Limited {
		known.turnUsed = n.clock()
		metrics.Count("limit_turns_used")
	}
	return wait == 0
}

// monotonic returns the time since clockOrigin on the monotonic clock; the wall clock may jump.
func (n *notices) clock() time.Duration { return n.now().Sub(clockStart) }

// clockOrigin lies long before any slot is used, so that the zero values in endpointNotice lie in
// the past.
var clockStart = time.Now().Add(-24 * time.Hour)
