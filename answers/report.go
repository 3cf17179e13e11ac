package answers

import (
	"bufio"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Cause is how a request ended.
type Cause string

// Causes. Those of streams that were not whole name what the logs show of their engine.
const (
	Whole Cause = "whole"
	// LateFirst and Paused are whole streams that began late or stood still for long.
	LateFirst Cause = "first event late"
	Paused    Cause = "paused"
	// EngineLeft is an engine that had told of its leaving; there was no copy in time.
	EngineLeft Cause = "engine left, no copy"
	// CopyLost is a stream that had a copy and did not go on from it.
	CopyLost Cause = "engine gone, copy not used"
	// EngineDied is an engine that went without notice.
	EngineDied Cause = "engine died, no backup"
	CallerGone Cause = "caller gone"
	TimeOver   Cause = "time over"
	OutOfOrder Cause = "event missing"
	// EndpointFailed is a failure that an endpoint answered, Refused one of ours.
	EndpointFailed Cause = "endpoint failed"
	Refused        Cause = "refused"
)

// Thresholds tell what counts as late. They are the deployment's, not the program's.
type Thresholds struct {
	// FirstEvent is the time to a stream's first event, Pause that between two events.
	FirstEvent, Pause time.Duration
}

// Window is what ended in one span of time.
type Window struct {
	From   time.Time
	Causes map[Cause]int
}

// Report tells where the answers went.
type Report struct {
	Requests int
	Causes   map[Cause]int
	// Reasons counts refusals by reason.
	Reasons map[string]int
	Windows []Window
	// Resumed is the number of times that a stream went on at another engine.
	Resumed int
	// Pace is the mean time between two events of long streams.
	Pace time.Duration
	// FirstEvents and Pauses are sorted: times to first events and longest pauses.
	FirstEvents, Pauses []time.Duration
	// Starts are the times at which nodes started; what ran there before is not counted.
	Starts []time.Time
}

// Quantile returns the value below which the given part of sorted values lies.
func Quantile(sorted []time.Duration, part float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

// longStream is the number of events from which a stream counts for the pace.
const longStream = 40

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// reader collects a report.
type reader struct {
	limits Thresholds
	every  time.Duration
	report *Report
	// leaving are endpoints that told of their leaving, copied the streams with a copy and
	// brokeOff those that looked for one.
	leaving, copied, brokeOff map[string]bool
	windows                   map[int64]*Window
	pace                      time.Duration
	paced                     int
}

// Read reads the lines of all nodes, in any order, and counts what ended in windows of the
// given length.
func Read(logs []io.Reader, limits Thresholds, every time.Duration) (*Report, error) {
	r := &reader{
		limits: limits, every: every, report: &Report{Causes: make(map[Cause]int), Reasons: make(map[string]int)},
		leaving: make(map[string]bool), copied: make(map[string]bool), brokeOff: make(map[string]bool),
		windows: make(map[int64]*Window),
	}
	var ended []line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			if l, ok := parse(scanner.Text()); ok && r.take(l) {
				ended = append(ended, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, eris.Wrap(err, "read log")
		}
	}
	// What is known of an endpoint may stand behind a request's line, or in another log.
	for _, l := range ended {
		r.count(l)
	}
	return r.finish(), nil
}

// take remembers what a line tells, and returns whether it ends a request.
func (r *reader) take(l line) bool {
	switch l.event() {
	case "request ended":
		return true
	case "request refused":
		return true
	case "node started":
		r.report.Starts = append(r.report.Starts, l.at)
	case "endpoint known":
		if l.fields["leaving"] == "true" {
			r.leaving[l.fields["endpoint"]] = true
		}
	case "endpoint removed", "endpoint gone", "runs of a leaving endpoint migrate", "endpoint leaves by its health check":
		r.leaving[l.fields["endpoint"]] = true
	case "memory copied":
		if l.fields["refused"] == "false" && l.fields["cause"] == "" {
			r.copied[l.fields["request"]] = true
		}
	case "stream broke off":
		r.brokeOff[l.fields["request"]] = true
	case "stream goes on":
		r.report.Resumed++
	}
	return false
}

func (r *reader) count(l line) {
	cause := r.cause(l)
	r.report.Requests++
	r.report.Causes[cause]++
	if reason := l.fields["reason"]; reason != "" {
		r.report.Reasons[reason]++
	}
	from := l.at.UnixNano() / int64(r.every)
	w := r.windows[from]
	if w == nil {
		w = &Window{From: time.Unix(0, from*int64(r.every)).UTC(), Causes: make(map[Cause]int)}
		r.windows[from] = w
	}
	w.Causes[cause]++
	r.measure(l)
}

func (r *reader) cause(l line) Cause {
	switch {
	case l.fields["reason"] != "" || l.event() == "request refused":
		return Refused
	case l.fields["broken"] == "true":
		return r.lost(l)
	case l.number("status") >= 500:
		return EndpointFailed
	case l.number("events") > 0 && l.duration("first_event") > r.limits.FirstEvent:
		return LateFirst
	case l.duration("longest_gap") > r.limits.Pause:
		return Paused
	default:
		return Whole
	}
}

// lost tells why a stream was not whole.
func (r *reader) lost(l line) Cause {
	switch l.fields["detail"] {
	case "caller gone":
		return CallerGone
	case "time over":
		return TimeOver
	case "event missing":
		return OutOfOrder
	}
	request, endpoint := l.fields["request"], l.fields["endpoint"]
	switch {
	case r.copied[request] || r.brokeOff[request]:
		return CopyLost
	case r.leaving[endpoint]:
		return EngineLeft
	default:
		return EngineDied
	}
}

func (r *reader) measure(l line) {
	events := l.number("events")
	if events == 0 {
		return
	}
	first := l.duration("first_event")
	r.report.FirstEvents = append(r.report.FirstEvents, first)
	r.report.Pauses = append(r.report.Pauses, l.duration("longest_gap"))
	if events > longStream {
		r.pace += (l.duration("took") - first) / time.Duration(events)
		r.paced++
	}
}

func (r *reader) finish() *Report {
	slices.Sort(r.report.FirstEvents)
	slices.Sort(r.report.Pauses)
	slices.SortFunc(r.report.Starts, time.Time.Compare)
	if r.paced > 0 {
		r.report.Pace = r.pace / time.Duration(r.paced)
	}
	for _, w := range r.windows {
		r.report.Windows = append(r.report.Windows, *w)
	}
	slices.SortFunc(r.report.Windows, func(a, b Window) int { return a.From.Compare(b.From) })
	return r.report
}
