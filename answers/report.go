package answers

import (
	"bufio"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Cause is the outcome of a request and, if the answer was not complete and on time, the reason.
type Cause string

// Causes. For an interrupted stream, the cause is inferred from the log lines about its engine.
const (
	// Whole is a complete answer without a delay above the thresholds.
	Whole Cause = "whole"
	// FirstEventLate and Paused are complete streams whose first event was late, or that had a long
	// pause between two events.
	FirstEventLate Cause = "first event late"
	Paused         Cause = "paused"
	// EngineLeft is a stream whose engine had announced that it was leaving, and that had no copy
	// in time.
	EngineLeft Cause = "engine left, no copy"
	// CopyNotUsed is a stream that had a copy, or for which one was looked up after it broke off,
	// and that was not resumed from a copy.
	CopyNotUsed Cause = "engine gone, copy not used"
	// EngineDied is a stream whose engine failed without notice.
	EngineDied   Cause = "engine died, no backup"
	CallerGone   Cause = "caller gone"
	TimeOver     Cause = "time over"
	EventMissing Cause = "event missing"
	// EndpointFailed is a status of 500 or above that an endpoint returned. Refused is a refusal
	// by crocusreel itself.
	EndpointFailed Cause = "endpoint failed"
	Refused        Cause = "refused"
)

// Thresholds are the delays above which an answer counts as late. They depend on the deployment, so
// the package has no defaults for them.
type Thresholds struct {
	// FirstEvent limits the time to the first event of a stream, Pause the time between two
	// consecutive events.
	FirstEvent, Pause time.Duration
}

// Window counts the requests that ended in one time window, which starts at From.
type Window struct {
	From   time.Time
	Causes map[Cause]int
}

// Report summarises the outcomes of all requests.
type Report struct {
	Requests int
	Causes   map[Cause]int
	// Reasons counts refusals by reason.
	Reasons map[string]int
	Windows []Window
	// Workspaces counts the requests by workspace, and DataCentres by the data centre of the node that
	// received them. Requests whose log lines name none are not counted there.
	Workspaces, DataCentres map[string]map[Cause]int
	// Resumed is the number of times that a stream was resumed on another engine.
	Resumed int
	// Pace is the mean time between two events over long streams, each with equal weight.
	Pace time.Duration
	// FirstEvents holds the times to the first event, Pauses the longest pause of each stream.
	// Both are in ascending order.
	FirstEvents, Pauses []time.Duration
	// Starts holds the times at which nodes started, in ascending order. Requests that were in
	// flight on a node when it was killed before such a start are not counted.
	Starts []time.Time
}

// Quantile returns the value below which the given fraction of the sorted values lies, or 0 if there
// are no values.
func Quantile(sorted []time.Duration, fraction float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}

// longStreamEvents is the number of events that a stream must exceed to count for Report.Pace.
const longStreamEvents = 40

// maxLineBytes is the maximum length of a log line, in bytes.
const maxLineBytes = 1 << 20

// aggregator builds a report.
type aggregator struct {
	thresholds   Thresholds
	windowLength time.Duration
	report       *Report
	// leaving holds the endpoints that announced that they were leaving, by name. copied holds the
	// streams of which another engine had a copy, and brokeOff those that broke off and for which a
	// copy was looked up, both by request ID.
	leaving, copied, brokeOff map[string]bool
	windows                   map[int64]*Window
	paceSum                   time.Duration
	longStreams               int
}

// Read reads the logs of all nodes, in any order, and counts the requests by the time at which they
// ended, in windows of the given length. Each log must be that of one node for its requests to be
// counted by data centre, which the node names in its line "node started". A line longer than 1 MiB is an error.
func Read(logs []io.Reader, thresholds Thresholds, windowLength time.Duration) (*Report, error) {
	r := &aggregator{
		thresholds: thresholds, windowLength: windowLength,
		report:  &Report{Causes: make(map[Cause]int), Reasons: make(map[string]int), Workspaces: make(map[string]map[Cause]int), DataCentres: make(map[string]map[Cause]int)},
		leaving: make(map[string]bool), copied: make(map[string]bool), brokeOff: make(map[string]bool),
		windows: make(map[int64]*Window),
	}
	var ended []line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		dataCentre := ""
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			l, ok := parseLine(scanner.Text())
			if !ok {
				continue
			}
			if l.event() == "node started" {
				dataCentre = l.fields["data_centre"]
			}
			if r.record(l) {
				l.dataCentre = dataCentre
				ended = append(ended, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, eris.Wrap(err, "read log")
		}
	}
	// Lines about an endpoint may come after the line of a request, or be in another log. Requests
	// are therefore counted after all logs were read.
	for _, l := range ended {
		r.count(l)
	}
	return r.finish(), nil
}

// record records the facts that a line states, and reports whether the line is the end of a request.
func (r *aggregator) record(l line) bool {
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

func (r *aggregator) count(l line) {
	cause := r.cause(l)
	r.report.Requests++
	r.report.Causes[cause]++
	if reason := l.fields["reason"]; reason != "" {
		r.report.Reasons[reason]++
	}
	index := l.at.UnixNano() / int64(r.windowLength)
	w := r.windows[index]
	if w == nil {
		w = &Window{From: time.Unix(0, index*int64(r.windowLength)).UTC(), Causes: make(map[Cause]int)}
		r.windows[index] = w
	}
	w.Causes[cause]++
	countBy(r.report.Workspaces, l.fields["workspace"], cause)
	countBy(r.report.DataCentres, l.dataCentre, cause)
	r.recordTimes(l)
}

func countBy(counts map[string]map[Cause]int, name string, cause Cause) {
	if name == "" {
		return
	}
	if counts[name] == nil {
		counts[name] = make(map[Cause]int)
	}
	counts[name][cause]++
}

func (r *aggregator) cause(l line) Cause {
	switch {
	case l.fields["reason"] != "" || l.event() == "request refused":
		return Refused
	case l.fields["broken"] == "true":
		return r.failureCause(l)
	case l.number("status") >= 500:
		return EndpointFailed
	case l.number("events") > 0 && l.duration("first_event") > r.thresholds.FirstEvent:
		return FirstEventLate
	case l.duration("longest_gap") > r.thresholds.Pause:
		return Paused
	default:
		return Whole
	}
}

// failureCause returns the reason why a stream was not complete.
func (r *aggregator) failureCause(l line) Cause {
	switch l.fields["detail"] {
	case "caller gone":
		return CallerGone
	case "time over":
		return TimeOver
	case "event missing":
		return EventMissing
	}
	request, endpoint := l.fields["request"], l.fields["endpoint"]
	switch {
	case r.copied[request] || r.brokeOff[request]:
		return CopyNotUsed
	case r.leaving[endpoint]:
		return EngineLeft
	default:
		return EngineDied
	}
}

func (r *aggregator) recordTimes(l line) {
	events := l.number("events")
	if events == 0 {
		return
	}
	first := l.duration("first_event")
	r.report.FirstEvents = append(r.report.FirstEvents, first)
	r.report.Pauses = append(r.report.Pauses, l.duration("longest_gap"))
	if events > longStreamEvents {
		r.paceSum += (l.duration("took") - first) / time.Duration(events)
		r.longStreams++
	}
}

func (r *aggregator) finish() *Report {
	slices.Sort(r.report.FirstEvents)
	slices.Sort(r.report.Pauses)
	slices.SortFunc(r.report.Starts, time.Time.Compare)
	if r.longStreams > 0 {
		r.report.Pace = r.paceSum / time.Duration(r.longStreams)
	}
	for _, w := range r.windows {
		r.report.Windows = append(r.report.Windows, *w)
	}
	slices.SortFunc(r.report.Windows, func(a, b Window) int { return a.From.Compare(b.From) })
	return r.report
}
