package drain

import "time"

// certainShare is the share of the time until the stop that is kept for requests which are certain to
// end in it, also while address answers still name the process.
const certainShare = 1.0 / 3

// Schedule states when a process that leaves does what.
type Schedule struct {
	// LeavesAt is when the process was asked to stop.
	LeavesAt time.Time
	// AddressesExpire is when the last address answer that names the process has expired.
	AddressesExpire time.Time
	// StopsAt is when requests that are still in flight are cancelled.
	StopsAt time.Time
}

// LongestRun is the longest time that a run of a request may take if it begins now.
type LongestRun struct {
	// Time is valid if Known is set.
	Time  time.Duration
	Known bool
	// Sized is set if Time follows from the size of the request, and not only from how long others take.
	Sized bool
}

// bounds are what is known of the end of a request.
type bounds struct {
	// deadline is when the request ends at the latest, zero if it has no deadline.
	deadline time.Time
	// longest estimates how long a run takes that begins now.
	longest func() LongestRun
}

// latestStart returns the time after which the request must not be sent to an endpoint any more, as far
// as is known now. It returns false if there is no such time, because the request certainly ends before
// the stop.
func (s *Schedule) latestStart(b bounds) (time.Time, bool) {
	if !b.deadline.IsZero() && !b.deadline.After(s.StopsAt) {
		return time.Time{}, false
	}
	longest := b.longest()
	if !longest.Known {
		return s.LeavesAt, true
	}
	latest := s.StopsAt.Add(-longest.Time)
	if uncertain := s.uncertainUntil(); !longest.Sized && uncertain.Before(latest) {
		return uncertain, true
	}
	return latest, true
}

// uncertainUntil returns the time until which requests are sent whose size is not known: while callers
// cannot know that the process leaves, and an ordinary answer takes far less time than is left.
func (s *Schedule) uncertainUntil() time.Time {
	reserved := s.StopsAt.Add(-time.Duration(certainShare * float64(s.StopsAt.Sub(s.LeavesAt))))
	if s.AddressesExpire.Before(reserved) {
		return s.AddressesExpire
	}
	return reserved
}
