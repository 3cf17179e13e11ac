package relay

import (
	"time"

	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/internal/sse"
)

// progress is what the caller has received of a stream.
type progress struct {
	// last is the ID of the last event that the caller has, valid if known is set. The caller may
	// have it from an earlier answer.
	last  int64
	known bool
	// earlier is the ID of the last event that the caller had before this answer. count is the number
	// of numbered events of this answer.
	earlier int64
	count   int
	// unnumbered is set once the caller has received an event without an ID. It is then not known
	// where the stream could continue.
	unnumbered bool
	// lastAt is when the last event arrived, longestGap the longest pause between two events.
	lastAt     time.Time
	longestGap time.Duration
}

func newProgress(r *Request) *progress {
	if !r.Resumes {
		return &progress{}
	}
	return &progress{last: r.LastEvent, known: true, earlier: r.LastEvent}
}

// after returns the ID of the last event that the caller has, nil if it has none.
func (p *progress) after() *int64 {
	if !p.known {
		return nil
	}
	last := p.last
	return &last
}

func (p *progress) record(id int64) {
	now := time.Now()
	if p.count > 0 {
		p.longestGap = max(p.longestGap, now.Sub(p.lastAt))
	}
	p.lastAt = now
	p.known = true
	p.last = id
	p.count++
}

// seam checks that the events of one run or segment join those that the caller has.
type seam struct {
	// joined is set if the caller had events before this run.
	joined bool
	// strict is set if an event without an ID ends the run as long as it is not known that the run has
	// reached the last event that the caller has. It is unset on streams that run once.
	strict bool
	// newest is the highest event ID of the run, valid if numbered is set.
	newest   int64
	numbered bool
}

// newSeam returns the seam of a run that begins now.
func (j *job) newSeam() *seam {
	return &seam{joined: j.prog.known, strict: j.prog.known && (j.r.Resumes || j.Resumable(j.r.Route))}
}

// eventPlace is how an event relates to those that the caller has.
type eventPlace int

const (
	// eventNext means that the event is the next one for the caller.
	eventNext eventPlace = iota
	// eventRepeated means that the caller has the event.
	eventRepeated
	// eventMisplaced means that an event before this one is missing, or that its place is unknown.
	eventMisplaced
)

// check returns the place of an event, and counts it if it is not the next one.
func (m *seam) check(p *progress, event []byte, id int64, numbered bool) eventPlace {
	if !numbered {
		return m.checkUnnumbered(p, event)
	}
	if !m.numbered || id > m.newest {
		m.newest, m.numbered = id, true
	}
	switch {
	case !p.known || id == p.last+1:
		return eventNext
	case id <= p.last:
		metrics.Count("event_repeated")
		m.count("stream_seam_repeated")
		return eventRepeated
	default:
		metrics.Count("event_missing")
		m.count("stream_seam_gap")
		return eventMisplaced
	}
}

func (m *seam) checkUnnumbered(p *progress, event []byte) eventPlace {
	if sse.IsComment(event) {
		return eventNext
	}
	if m.strict && !m.reached(p) {
		m.count("stream_seam_gap")
		return eventMisplaced
	}
	p.unnumbered = true
	return eventNext
}

// reached reports whether the run has sent the last event that the caller has, or a later one.
func (m *seam) reached(p *progress) bool { return m.numbered && m.newest >= p.last }

// endsTooEarly reports whether a run that is complete has ended before the last event that the
// caller has. A run without any event is accepted: the caller may have had all of them.
func (m *seam) endsTooEarly(p *progress) bool {
	if !m.joined || !m.numbered || m.newest >= p.last {
		return false
	}
	m.count("stream_seam_gap")
	return true
}

func (m *seam) count(name string) {
	if m.joined {
		metrics.Count(name)
	}
}
