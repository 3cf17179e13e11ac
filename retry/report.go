package retry

import (
	"hash/fnv"
	"time"
)

// Report is what a node tells the others about a service.
type Report struct {
	// Key identifies the service.
	Key uint32
	// Attempts is the number of first attempts at the node since its start. Recent holds those of the
	// last slices of reportSlice, the newest first.
	Attempts int64
	Recent   []uint32
	// Count is the highest known number of reserved retries, and CountAge the time since which it is
	// known. Settled is the number that was reserved at least SettledAge ago.
	Count, Settled       int64
	CountAge, SettledAge time.Duration
	// Version is that of the ledger's entry with Count, 0 if it is not known.
	Version int64
}

// EraReport is what a node tells the others about the store of the ledger: its era, and the time since
// it was seen to enter it by a restoration.
type EraReport struct {
	Era         int64
	Known       bool
	Restored    bool
	RestoredAge time.Duration
}

// Reports returns what this node tells the others.
func (s *Shared) Reports() (EraReport, []Report) {
	now := s.Now()
	s.mu.Lock()
	era := EraReport{Era: s.era, Known: s.eraKnown, Restored: s.restored, RestoredAge: now - s.restoredAt}
	budgets := make(map[uint32]*SharedBudget, len(s.budgets))
	for key, b := range s.budgets {
		budgets[key] = b
	}
	s.mu.Unlock()
	var reports []Report
	for key, b := range budgets {
		r := b.ownReport(now, era.Era)
		r.Key = key
		if r.Attempts > 0 || r.Count > 0 {
			reports = append(reports, r)
		}
	}
	return era, reports
}

func (b *SharedBudget) ownReport(now time.Duration, era int64) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.enterEra(era)
	b.counts.prune(now - b.set.memory())
	b.attempts.prune(now - 2*b.set.Length - settleTime)
	latest, settled := b.counts.latest(), b.counts.at(now-b.set.memory())
	version := int64(0)
	if b.entry.Count == latest.count {
		version = b.entry.Version
	}
	return Report{
		Version:  version,
		Attempts: b.attempts.total, Recent: b.attempts.recent(now, b.set.reportSpan()),
		Count: latest.count, CountAge: now - latest.at,
		Settled: settled.count, SettledAge: now - settled.at,
	}
}

func (s *Shared) reportSpan() time.Duration {
	if s.ReportSpan == nil {
		return 0
	}
	return s.ReportSpan()
}

// Merge records what another node told. Reports of one node must be merged in the order in which it
// sent them; what an older report says besides the attempts does no harm.
func (s *Shared) Merge(node string, incarnation uint64, era EraReport, reports []Report) {
	s.observeReport(era)
	current, _ := s.currentEra()
	now := s.Now()
	for _, r := range reports {
		b := s.get(r.Key)
		b.mu.Lock()
		b.attempts.merge(node, incarnation, r.Attempts, r.Recent, now)
		b.enterEra(current)
		if era.Known && era.Era == b.era {
			if b.counts.add(fact{count: r.Count, at: now - r.CountAge}) && r.Version > 0 {
				b.entry = Entry{Count: r.Count, Version: r.Version, Era: era.Era}
			}
			b.counts.add(fact{count: r.Settled, at: now - r.SettledAge})
		}
		b.mu.Unlock()
	}
}

// State is the state of the budget of a service for operators.
type State struct {
	Stats
	// Count, Settled and CountedAttempts are as in Reservation.
	Count, Settled, CountedAttempts int64
	// Room is the number of retries that may be reserved, -1 if it is not known.
	Room float64
}

// States returns the states of the budgets by service.
func (s *Shared) States() map[string]State {
	now := s.Now()
	s.mu.Lock()
	budgets := make([]*SharedBudget, 0, len(s.budgets))
	for _, b := range s.budgets {
		budgets = append(budgets, b)
	}
	s.mu.Unlock()
	states := make(map[string]State)
	for _, b := range budgets {
		b.mu.Lock()
		if b.service != "" {
			room, known := b.room(now)
			if !known {
				room = -1
			}
			d := b.describe(now)
			states[b.service] = State{Stats: b.stats.clone(), Count: d.Count, Settled: d.Settled, CountedAttempts: d.Attempts, Room: room}
		}
		b.mu.Unlock()
	}
	return states
}

func (s Stats) clone() Stats {
	denied := make(map[Denial]int64, len(s.Denied))
	for reason, n := range s.Denied {
		denied[reason] = n
	}
	s.Denied = denied
	return s
}

func defaultKey(service string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service))
	return h.Sum32()
}
