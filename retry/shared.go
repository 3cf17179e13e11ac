package retry

import (
	"context"
	"errors"
	"sync"
	"time"
)

// All nodes together may make a limited number of retries to a service in any window of a given
// length: a ratio of the first attempts plus a slack. Each retry is reserved in a ledger that all
// nodes share before it is made, so that what a node has spent outlives it: a node that is killed,
// cut off from the others or replaced takes nothing with it that another could spend again.
//
// A reservation raises the count of the service by conditional writes, from the count that the node
// has read. It is made only if
//
//	new count - count at least (Length + settleTime) ago <= Slack + Ratio * attempts
//
// where attempts counts for every window that could hold the retries. Retries arrive at an endpoint at
// most settleTime after their reservation was begun. The retries that arrive in a window therefore
// were reserved from settleTime before it to its end, and the condition of the last of these
// reservations bounds them all, whichever nodes made them. Both terms err on the safe side if a node
// knows less: it takes the old count for lower and the attempts for fewer. A node that starts and hears
// nobody takes all that was ever reserved for recent. After a restoration of the store, which may have
// lost reservations, nothing is reserved for a window.

// Parameters of reservations.
const (
	// attemptResolution is the resolution in which first attempts are counted.
	attemptResolution = 50 * time.Millisecond
	// reportTime is the time after which a node that starts has heard from the others if it can.
	reportTime = time.Second
	// reportSlice is the resolution in which nodes tell each other their first attempts, and reportDelay
	// the time after which a report has arrived.
	reportSlice = 250 * time.Millisecond
	reportDelay = 250 * time.Millisecond
	// reserveTimeout limits the time of a reservation. One that took longer is not used.
	reserveTimeout = 250 * time.Millisecond
	// SendTime is the time after a retry was allowed within which it is to be sent.
	SendTime = 200 * time.Millisecond
	// travelTime is the time after the sending of a retry by which it has arrived.
	travelTime = 250 * time.Millisecond
	// settleTime is the time after the begin of a reservation by which its retry has arrived.
	settleTime = reserveTimeout + SendTime + travelTime
	// attemptsLife is the time for which a computed number of attempts is used.
	attemptsLife = 50 * time.Millisecond
	// maxReserveAttempts is the number of attempts at a reservation that other nodes' reservations
	// can make fail, and reserveBackoff and maxReserveBackoff are the bounds of the pauses between them.
	maxReserveAttempts = 6
	reserveBackoff     = 4 * time.Millisecond
	maxReserveBackoff  = 40 * time.Millisecond
	// ledgerPause is the time without reservations after the ledger could not be reached.
	ledgerPause = 300 * time.Millisecond
)

// Denial is the reason why a retry was denied.
type Denial string

// Reasons.
const (
	// Exhausted means that the nodes have made all retries that are allowed.
	Exhausted Denial = "exhausted"
	// Unsettled means that the ledger may lack reservations that count: the store was restored from a
	// copy, or this node has just started.
	Unsettled Denial = "unsettled"
	// Unavailable means that the ledger cannot be reached, or not in time.
	Unavailable Denial = "unavailable"
	// Contended means that the reservations of other nodes prevented this one.
	Contended Denial = "contended"
)

// Reservation is a reservation that was made or denied, and what it was based on.
type Reservation struct {
	Service string
	// Granted is the number of reserved retries, and Denied the reason if there are none.
	Granted int
	Denied  Denial
	// Count is the number of retries reserved by all nodes so far, and Settled the number of those
	// that no longer count.
	Count, Settled int64
	// Attempts is the number of first attempts that count.
	Attempts int64
	// Calls is the number of calls of the ledger, and Took the time of the reservation.
	Calls int
	Took  time.Duration
}

// Shared holds a budget for each service that all nodes share.
type Shared struct {
	// Ratio is the number of retries allowed per first attempt, and Slack the number that is allowed
	// besides. Both apply to a window of the given Length.
	Ratio, Slack float64
	Length       time.Duration
	// Now reads a monotonic clock.
	Now    func() time.Duration
	Ledger Ledger
	// Key identifies a service in messages between nodes.
	Key func(service string) uint32
	// ReportSpan is the time for which reports hold the first attempts. It must be a few times the
	// interval between reports, so that some may be lost.
	ReportSpan func() time.Duration
	// OnReservation is called after each reservation, and for each denied retry. It must not block. It
	// is nil if nobody needs to know.
	OnReservation func(Reservation)

	mu      sync.Mutex
	budgets map[uint32]*SharedBudget
	// era is the newest known era of the ledger's store, known since eraKnownSince. restored is set if the
	// store was seen to enter it, at restoredAt.
	era           int64
	eraKnown      bool
	eraKnownSince time.Duration
	restored      bool
	restoredAt    time.Duration
	// heard is set once another node has told what it knows.
	heard bool
}

// NewLocal returns budgets that this process shares with no other.
func NewLocal(ratio, slack float64, length time.Duration, now func() time.Duration) *Shared {
	s := &Shared{Ratio: ratio, Slack: slack, Length: length, Now: now, Ledger: &MemoryLedger{}}
	s.eraKnown, s.heard = true, true
	return s
}

// Get returns the budget of a service, creating it if needed. Services come from the configuration, so
// their number is bounded.
func (s *Shared) Get(service string) *SharedBudget {
	b := s.get(s.key(service))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service = service
	return b
}

func (s *Shared) key(service string) uint32 {
	if s.Key == nil {
		return defaultKey(service)
	}
	return s.Key(service)
}

func (s *Shared) get(key uint32) *SharedBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[key]
	if !ok {
		b = &SharedBudget{set: s, era: s.era}
		if s.budgets == nil {
			s.budgets = make(map[uint32]*SharedBudget)
		}
		s.budgets[key] = b
	}
	return b
}

// memory is the time for which a reservation counts.
func (s *Shared) memory() time.Duration { return s.Length + settleTime }

// SharedBudget is the budget of one service. It is safe for concurrent use.
type SharedBudget struct {
	set *Shared

	mu       sync.Mutex
	service  string
	attempts attemptHistory
	// era is the era of the counts, and entry the last known state of the entry; its version is
	// negative if it must be read.
	era    int64
	counts countHistory
	entry  Entry
	// waiting are the retries that wait for a reservation; reserving is set while one is made.
	waiting   []*waiter
	reserving bool
	// pausedUntil is the time until which the ledger is not called.
	pausedUntil time.Duration
	// countedAttempts is the number of attempts that counted at countedAt.
	countedAttempts int64
	countedAt       time.Duration
	stats           Stats
}

// Stats are the totals of this node since its start.
type Stats struct {
	Attempts, Reserved int64
	// Unused is the number of reserved retries for which nobody waited any more.
	Unused int64
	Denied map[Denial]int64
}

// waiter is a retry that waits for its reservation.
type waiter struct {
	// decided receives the decision.
	decided chan Denial
	// gone is set if the retry no longer waits.
	gone bool
}

// granted is the decision on a retry that was reserved.
const granted Denial = ""

// RecordAttempt records a first attempt.
func (b *SharedBudget) RecordAttempt() {
	now := b.set.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts.record(now)
	b.stats.Attempts++
}

// AllowRetry reserves a retry and reports whether there was one left. The retry is to be sent within
// SendTime. It waits for the ledger for a fraction of a second, until ctx ends at the latest.
func (b *SharedBudget) AllowRetry(ctx context.Context) bool {
	denied := b.reserve(ctx)
	if denied != granted {
		b.recordDenial(denied)
	}
	return denied == granted
}

func (b *SharedBudget) reserve(ctx context.Context) Denial {
	now := b.set.Now()
	b.mu.Lock()
	room, known := b.room(now)
	switch {
	case !known:
		b.mu.Unlock()
		return Unsettled
	case room < 1:
		b.mu.Unlock()
		return Exhausted
	case now < b.pausedUntil:
		b.mu.Unlock()
		return Unavailable
	}
	w := &waiter{decided: make(chan Denial, 1)}
	b.waiting = append(b.waiting, w)
	if !b.reserving {
		b.reserving = true
		go b.reserveAll()
	}
	b.mu.Unlock()
	timer := time.NewTimer(2 * reserveTimeout)
	defer timer.Stop()
	select {
	case d := <-w.decided:
		return d
	case <-timer.C:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case d := <-w.decided:
		return d
	default:
		w.gone = true
		return Unavailable
	}
}

func (b *SharedBudget) recordDenial(d Denial) {
	b.mu.Lock()
	if b.stats.Denied == nil {
		b.stats.Denied = make(map[Denial]int64)
	}
	b.stats.Denied[d]++
	r := b.describe(b.set.Now())
	b.mu.Unlock()
	r.Denied = d
	b.report(r)
}

// describe returns a reservation with what it is based on. The caller holds b.mu.
func (b *SharedBudget) describe(now time.Duration) Reservation {
	return Reservation{
		Service: b.service, Count: b.counts.latest().count, Settled: b.counts.at(now - b.set.memory()).count,
		Attempts: b.countedAttempts,
	}
}

func (b *SharedBudget) report(r Reservation) {
	if b.set.OnReservation != nil {
		b.set.OnReservation(r)
	}
}

// room returns the number of retries that may be reserved; known is false if it is not known what other
// nodes have reserved. The caller holds b.mu.
func (b *SharedBudget) room(now time.Duration) (room float64, known bool) {
	era, complete := b.set.currentEra()
	b.enterEra(era)
	if !complete {
		return 0, false
	}
	if b.countedAt == 0 || now-b.countedAt >= attemptsLife {
		last := now + attemptsLife + settleTime
		b.attempts.prune(now - 2*b.set.Length - settleTime)
		b.countedAttempts = b.attempts.inAnyWindow(now-b.set.Length, last, b.set.Length)
		b.countedAt = now
	}
	b.counts.prune(now - b.set.memory())
	spent := b.counts.latest().count - b.counts.at(now-b.set.memory()).count
	return b.set.Slack + b.set.Ratio*float64(b.countedAttempts) - float64(spent), true
}

// enterEra discards the counts of earlier eras. The caller holds b.mu.
func (b *SharedBudget) enterEra(era int64) {
	if era > b.era {
		b.era, b.counts, b.entry = era, countHistory{}, Entry{}
	}
}

// reserveAll makes reservations until no retry waits.
func (b *SharedBudget) reserveAll() {
	for {
		b.mu.Lock()
		wanted := b.waitingNow()
		if wanted == 0 {
			b.reserving = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		r := b.makeReservation(wanted)
		b.mu.Lock()
		left := r.Granted
		for _, w := range b.waiting[:min(wanted, len(b.waiting))] {
			switch {
			case w.gone:
			case left > 0:
				left--
				w.decided <- granted
			default:
				w.decided <- r.Denied
			}
		}
		b.waiting = b.waiting[min(wanted, len(b.waiting)):]
		b.stats.Reserved += int64(r.Granted)
		b.stats.Unused += int64(left)
		b.mu.Unlock()
		if r.Granted > 0 {
			b.report(r)
		}
	}
}

// waitingNow returns the number of waiting retries. The caller holds b.mu.
func (b *SharedBudget) waitingNow() int {
	still := b.waiting[:0]
	for _, w := range b.waiting {
		if !w.gone {
			still = append(still, w)
		}
	}
	b.waiting = still
	return len(still)
}

// makeReservation reserves up to the given number of retries.
func (b *SharedBudget) makeReservation(wanted int) Reservation {
	began := b.set.Now()
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	calls := 0
	finish := func(n int, d Denial) Reservation {
		b.mu.Lock()
		defer b.mu.Unlock()
		now := b.set.Now()
		r := b.describe(now)
		r.Granted, r.Denied, r.Calls, r.Took = n, d, calls, now-began
		return r
	}
	for attempt := range maxReserveAttempts {
		if attempt > 1 && !Sleep(ctx, Backoff(attempt-1, reserveBackoff, maxReserveBackoff)) {
			return finish(0, Contended)
		}
		known, ok := b.knownEntry()
		if !ok {
			calls++
			e, err := b.set.Ledger.Read(ctx, b.name())
			if err != nil {
				b.pause()
				return finish(0, Unavailable)
			}
			known = b.observe(e)
		}
		n, next, denied := b.plan(wanted, known)
		if n == 0 {
			return finish(0, denied)
		}
		calls++
		e, err := b.set.Ledger.Advance(ctx, b.name(), known, next)
		switch {
		case err == nil:
			b.observe(e)
			if b.set.Now()-began > reserveTimeout {
				return finish(0, Unavailable)
			}
			return finish(n, Exhausted)
		case errors.Is(err, ErrChanged):
			b.forgetEntry()
		default:
			b.forgetEntry()
			b.pause()
			return finish(0, Unavailable)
		}
	}
	return finish(0, Contended)
}

func (b *SharedBudget) name() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.service
}

func (b *SharedBudget) pause() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pausedUntil = b.set.Now() + ledgerPause
}

// knownEntry returns the last known state of the entry. ok is false if it has to be read, or if another
// node is known to have advanced it since.
func (b *SharedBudget) knownEntry() (e Entry, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entry, b.entry.Version > 0 && b.entry.Era == b.era && b.entry.Count == b.counts.latest().count
}

func (b *SharedBudget) forgetEntry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entry = Entry{}
}

// observe records the state of the entry and returns it.
func (b *SharedBudget) observe(e Entry) Entry {
	b.set.ObserveEra(e.Era)
	now := b.set.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.enterEra(e.Era)
	if e.Era == b.era {
		b.entry = e
		b.counts.add(fact{count: e.Count, at: now})
	}
	return e
}

// plan returns the number of retries to reserve of those wanted, and the count to set.
func (b *SharedBudget) plan(wanted int, known Entry) (n int, count int64, denied Denial) {
	b.mu.Lock()
	defer b.mu.Unlock()
	room, ok := b.room(b.set.Now())
	if !ok || known.Era != b.era {
		return 0, 0, Unsettled
	}
	n = min(wanted, int(max(room, 0)))
	if n == 0 {
		return 0, 0, Exhausted
	}
	// An entry that was removed is written again: the count must not fall within an era.
	return n, max(known.Count, b.counts.latest().count) + int64(n), granted
}
