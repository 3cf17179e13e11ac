package retry

// ObserveEra records the era that the store of the ledger has reported to this node.
func (s *Shared) ObserveEra(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	switch {
	case !s.eraKnown:
		s.era, s.eraKnown, s.eraKnownSince = era, true, now
	case era > s.era:
		s.era, s.restored, s.restoredAt = era, true, now
	}
}

// observeReport records the era that another node knows.
func (s *Shared) observeReport(r EraReport) {
	if !r.Known {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	at := now - r.RestoredAge
	s.heard = true
	switch {
	case !s.eraKnown:
		s.era, s.eraKnown, s.eraKnownSince = r.Era, true, now
		s.restored, s.restoredAt = r.Restored, at
	case r.Era > s.era && r.Restored:
		s.era, s.restored, s.restoredAt = r.Era, true, at
	case r.Era > s.era:
		s.era, s.restored, s.restoredAt = r.Era, true, now
	case r.Era == s.era && r.Restored && (!s.restored || at < s.restoredAt):
		s.restored, s.restoredAt = true, at
	}
}

// currentEra returns the newest known era. complete is set if the counts of the ledger hold all
// reservations that count: no restoration is known that may have lost some of them.
func (s *Shared) currentEra() (era int64, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	told := s.heard || now-s.eraKnownSince >= reportTime
	return s.era, s.eraKnown && told && !(s.restored && now-s.restoredAt < s.memory())
}
