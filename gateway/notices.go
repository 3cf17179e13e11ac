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

// notices hold what endpoints last said of themselves to this gateway, by address.
type notices struct {
	vm  string
	now func() time.Time
	log *zap.Logger

	mu    sync.Mutex
	known map[string]*noticed
}

// noticed is what one endpoint said.
type noticed struct {
	last notice.Notice
	// unreadable is set while it names figures that cannot be read.
	unreadable bool
	// turnUsed is when this gateway last used a turn.
	turnUsed time.Duration
	// pausedUntil is until when it wants nothing from this gateway.
	pausedUntil time.Duration
	// checked is when it was last asked whether it still leaves.
	checked time.Duration
}

func newNotices(vm string, now func() time.Time, log *zap.Logger) *notices {
	return &notices{vm: vm, now: now, log: log, known: make(map[string]*noticed)}
}

// note takes what the endpoint at an address says of itself in an answer that has just come.
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
		// The limit before holds on.
		said.Limited, said.Limit = known.last.Limited, known.last.Limit
	}
	if said.Limited != known.last.Limited || said.Limit != known.last.Limit {
		n.log.Info("endpoint's limit changed", zap.String("address", address), zap.Bool("limited", said.Limited),
			zap.Float64("requests_per_second", said.Limit), zap.Float64("before", known.last.Limit))
	}
	if said.Leaving != known.last.Leaving {
		n.log.Info("endpoint announced leaving, or took it back", zap.String("address", address), zap.Bool("leaving", said.Leaving))
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

// pause is how much longer the endpoint at an address wants nothing from this gateway.
func (n *notices) pause(address string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known := n.known[address]; known != nil {
		return max(known.pausedUntil-n.clock(), 0)
	}
	return 0
}

// recheckEvery is the time between two checks whether an endpoint that leaves has gone and
// another one started at its address.
const recheckEvery = time.Second

// leaving tells whether an endpoint has said that it is about to stop, and whether to check that
// again: no call brings an answer that could take it back.
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

// of returns the last notice of the endpoint at an address.
func (n *notices) of(address string) notice.Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known := n.known[address]; known != nil {
		return known.last
	}
	return notice.Notice{}
}

// untilTurn is the time until this gateway, one of so many, may send the next call to an endpoint,
// by its pause and its limit; 0 for now. Gateways are the VM IDs of all.
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

// takeTurn uses up the turn of this gateway at an endpoint; it returns false if there is none.
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

// clock is a monotonic time; that of day may jump.
func (n *notices) clock() time.Duration { return n.now().Sub(clockStart) }

// clockStart lies long before any turn.
var clockStart = time.Now().Add(-24 * time.Hour)
