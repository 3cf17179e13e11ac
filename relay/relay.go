// Package relay takes one request of a caller through the system: it waits for a
// place, sends the request to an endpoint, repeats it where that is allowed, and
// brings back the whole answer or a truthful refusal.
package relay

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/notice"
	"github.com/crocusreel/crocusreel/retry"
	"github.com/crocusreel/crocusreel/routing"
)

// Request is one attempt of a caller.
type Request struct {
	// ID is the caller's ID of this attempt.
	ID     string
	Method string
	// Target is the path with the query as the caller sent it.
	Target string
	Host   string
	// Header holds the headers that are passed on.
	Header http.Header
	Body   []byte

	Route     *routing.Route
	Service   *routing.Service
	Workspace *routing.Workspace
	// ConfigVersion is the version that the request was admitted under.
	ConfigVersion int64
	Received      time.Time
	// Deadline is the end of the caller's patience or of the route's timeout.
	Deadline time.Time
	Size     Size
	// Fingerprint identifies the work over all attempts of the caller.
	Fingerprint Fingerprint
}

// Size is what a request tells of its generation, in tokens; zero for plain work.
type Size struct {
	Prompt    int
	MaxOutput int
	// Hint is the caller's estimate of the output; 0 if there is none.
	Hint int
}

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Instance fleet.Instance
	// Remaining is the time that the endpoint may work.
	Remaining time.Duration
	// Backup is the address of the endpoint to which the run's memory is sent as it grows;
	// empty for none.
	Backup string
	// Resume continues a run from its memory; nil for a new run.
	Resume *Resume
}

// Resume names the memory that a run goes on from.
type Resume struct {
	// Source is the address of the endpoint that holds or held the run.
	Source string
	// Handle names the memory there.
	Handle string
	// LastEvent is the ID of the last event that the caller has.
	LastEvent int64
}

// Reply is what the header of an endpoint's answer says.
type Reply struct {
	// NotRun tells that the endpoint certainly did not run the request.
	NotRun bool
	// Misdirected tells that another instance has the endpoint's address.
	Misdirected bool
	// Notice is what the endpoint says of itself.
	Notice notice.Notice
}

// Protocol puts requests into the form that endpoints understand.
type Protocol interface {
	// AttemptHeader returns the headers of one sending.
	AttemptHeader(r *Request, a *Attempt) http.Header
	// Mine tells whether an answer belongs to the request.
	Mine(r *Request, h http.Header) bool
	// Reply reads the head of an answer.
	Reply(status int, h http.Header) Reply
	// AnswerHeader returns the headers that are passed on to the caller.
	AnswerHeader(h http.Header) http.Header
	// ParseEvent returns the ID of an event of a stream; ok is false for an event
	// without one.
	ParseEvent(event []byte) (id int64, ok bool)
}

// Mover moves the memory of running generations between engines.
type Mover interface {
	// Move copies the run's memory from the engine at source to the one at target.
	// With stop the run stops first. It returns the handle of the copy.
	Move(ctx context.Context, source, runID, target string, stop bool) (Moved, error)
	// Report asks the engine at the address for its runs.
	Report(ctx context.Context, address string) (EngineReport, error)
	// Free gives up the copy that a move has made.
	Free(ctx context.Context, source, handle string) error
}

// Moved is the result of a move.
type Moved struct {
	Handle string
	// Events is the number of events that the run had made.
	Events int
	// Refused is set if the copy could not be made. The run may have stopped; then
	// Handle names its memory at the source.
	Refused bool
}

// Sink takes the answer for the caller.
type Sink interface {
	// Begin sends the head of an answer.
	Begin(status int, header http.Header) error
	// Write sends a part of the body at once.
	Write(part []byte) error
	// Begun tells whether the head was sent.
	Begun() bool
}

// Verdict is how a request ended.
type Verdict struct {
	// Status is the status that the caller got; 0 if it got none.
	Status int
	// Broken tells that the answer was begun and is not whole: the connection to the
	// caller must be closed so that it cannot be taken for whole.
	Broken bool
	// Refusal is set if the caller gets an answer of ours.
	Refusal *crocusreel.Refusal
	// Attempts counts the sendings, Moves the engines that a stream went on at.
	Attempts int
	Moves    int
	Endpoint string
	Waited   time.Duration
	// FirstEvent is the time from receipt to the first part of the answer.
	FirstEvent time.Duration
	Events     int
	// LongestGap is the longest pause between two events.
	LongestGap time.Duration
	Detail     string
}

// Relay sends requests to endpoints.
type Relay struct {
	Fleet    *fleet.Fleet
	Client   *h1.Client
	Protocol Protocol
	Mover    Mover
	Budgets  *retry.Windows
	Strikes  *Strikes
	Claims   *Claims
	// Vacated are the runs that have left engines which are about to stop, on all nodes.
	Vacated *Vacated
	Log     *zap.Logger
	// Admit is asked right before each new run; a refusal stops the request. It
	// guards against work of keys that were taken away while the request waited.
	Admit func(r *Request) *crocusreel.Refusal

	departures migrations
}

// Serve takes the request to its end.
func (l *Relay) Serve(ctx context.Context, r *Request, sink Sink) Verdict {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	l.Budgets.Get(r.Service.Name).Earn()
	job := &job{Relay: l, r: r, sink: sink}
	if n := l.Strikes.Count(r.Fingerprint); n >= strikeLimit {
		return Verdict{Refusal: job.suspect(n)}
	}
	defer job.dropClaim()
	if r.Route.Kind == routing.Streaming {
		return job.stream(ctx)
	}
	return job.call(ctx)
}

// job is one request under way.
type job struct {
	*Relay
	r       *Request
	sink    Sink
	verdict Verdict
	tried   []string
	// own is the request's claim to its work; nil if it has none.
	own *Claim
	// ran is set once an endpoint may have run the request.
	ran bool
}

func (j *job) want() fleet.Work {
	regions, bound := routing.Regions(j.r.Route, j.r.Workspace)
	return fleet.Work{
		RegionBound: bound,
		Regions:     regions,
		Service:     j.r.Service,
		Demand:      fleet.Demand{Prompt: j.r.Size.Prompt, Output: j.r.Size.expectedOutput()},
		MaxOutput:   j.r.Size.MaxOutput,
		Rank:        routing.Rank(j.r.Route, j.r.Workspace),
		Exclude:     j.tried,

		StartWithin: j.startWithin(),
	}
}

const (
	// readRate is the number of prompt tokens that a busy engine reads in a second beside
	// its other work.
	readRate = 7500.0
	// startMargin is the time beside the reading of its own prompt that a generation takes
	// until its first event: the rest of another prompt, and the way.
	startMargin = 300 * time.Millisecond
)

// startWithin is the time within which the request must have its place for its first
// event to be in time; 0 if its route names no target.
func (j *job) startWithin() time.Duration {
	target := j.r.Route.TargetLatency
	if target <= 0 || j.r.Size.Prompt == 0 {
		return 0
	}
	reading := time.Duration(float64(j.r.Size.Prompt) / readRate * float64(time.Second))
	return max(target-startMargin-reading-time.Since(j.r.Received), time.Nanosecond)
}

// expectedOutput is the length that room is kept for. Without an estimate of the
// caller it is half of the longest answer.
func (s Size) expectedOutput() int {
	if s.Hint > 0 {
		return min(s.Hint, max(s.MaxOutput, 1))
	}
	return s.MaxOutput / 2
}

// place waits for a place and checks that the request may still run.
func (j *job) place(ctx context.Context) (*fleet.Placement, *crocusreel.Refusal) {
	if refusal := j.claim(ctx); refusal != nil {
		return nil, refusal
	}
	p, refusal := j.Fleet.Acquire(ctx, j.want(), j.patience())
	if refusal != nil {
		return nil, refusal
	}
	j.verdict.Waited += p.Waited
	if refusal := j.Admit(j.r); refusal != nil {
		p.Release(fleet.Neutral)
		return nil, refusal
	}
	return p, nil
}

const (
	// patienceShare is the part of the remaining time that a request waits for a
	// place: the rest is needed for the answer itself, or for another try after a
	// refusal, for which callers wait up to a third of their time.
	patienceShare = 0.4
	// patienceTargets bounds the wait in multiples of the latency target: beyond, the
	// answer is late anyway and keeps others from being on time.
	patienceTargets = 3.0
)

func (j *job) patience() time.Duration {
	remaining := time.Duration(patienceShare * float64(time.Until(j.r.Deadline)))
	if target := j.r.Route.TargetLatency; target > 0 {
		remaining = min(remaining, time.Duration(patienceTargets*float64(target)))
	}
	return remaining
}

// send sends the request to the endpoint of p and returns the head of its answer.
func (j *job) send(ctx context.Context, p *fleet.Placement, resume *Resume, backup *fleet.BackupReservation) (*h1.Response, error) {
	attempt := Attempt{Instance: p.Instance(), Remaining: time.Until(j.r.Deadline), Resume: resume}
	if backup != nil {
		attempt.Backup = backup.Instance().Address
	}
	j.verdict.Attempts++
	j.verdict.Endpoint = attempt.Instance.ID
	resp, err := j.Client.Do(ctx, attempt.Instance.Address, &h1.Request{
		Method: j.r.Method,
		Target: j.r.Target,
		Host:   j.r.Host,
		Header: j.Protocol.AttemptHeader(j.r, &attempt),
		Body:   j.r.Body,
		Mine:   func(h http.Header) bool { return j.Protocol.Mine(j.r, h) },
		Life:   p.EndpointContext(),
	})
	if err == nil {
		j.note(attempt.Instance, resp)
	}
	return resp, err
}

// note takes what the endpoint says of itself in an answer; another instance may have given it.
func (j *job) note(in fleet.Instance, resp *h1.Response) {
	reply := j.Protocol.Reply(resp.StatusCode, resp.Header)
	if reply.Misdirected {
		return
	}
	if reply.Notice.Limited {
		metrics.Count(j.limitedCounter())
	}
	j.Fleet.Note(in, reply.Notice, j.r.ID)
}

// limitedCounter tells first sendings to endpoints that name a limit from repeats.
func (j *job) limitedCounter() string {
	if j.verdict.Attempts > 1 {
		return "answers_naming_limit_again"
	}
	return "answers_naming_limit_first"
}

func (j *job) end(refusal *crocusreel.Refusal, detail string) Verdict {
	j.verdict.Refusal = refusal
	j.verdict.Broken = j.sink.Begun()
	j.verdict.Detail = detail
	return j.verdict
}

const (
	// strikeLimit is the number of endpoints that may die of one request.
	strikeLimit = 3
	// lostRetry is when callers may come back after an endpoint was lost.
	lostRetry = 200 * time.Millisecond
)

// lost is the answer to a request whose fate is not known.
func lost(format string, args ...any) *crocusreel.Refusal {
	return crocusreel.Refuse(crocusreel.ReasonEndpointLost, crocusreel.OutcomeUnknown, lostRetry, format, args...)
}

// timedOut is the answer to a request that reached its deadline.
// suspect refuses work that so many endpoints died of.
func (j *job) suspect(strikes int) *crocusreel.Refusal {
	return crocusreel.Refuse(crocusreel.ReasonSuspect, crocusreel.OutcomeNotRun,
		j.Strikes.Below(j.r.Fingerprint, strikeLimit), "%d endpoints died while running this request", strikes)
}

func (j *job) timedOut() *crocusreel.Refusal {
	outcome := crocusreel.OutcomeNotRun
	if j.ran {
		outcome = crocusreel.OutcomeUnknown
	}
	return crocusreel.Refuse(crocusreel.ReasonDeadline, outcome, lostRetry, "the time is over")
}

const (
	// longestFirst and longestPerToken are the times of a generation on a crowded engine:
	// reading its prompt behind others, and one token.
	longestFirst    = 2 * time.Second
	longestPerToken = 12 * time.Millisecond
)

// LongestTime is how long a generation may take. It goes by the longest answer that is
// allowed: callers' estimates are right at the median and often far too low.
func LongestTime(s Size) time.Duration {
	return longestFirst + time.Duration(s.MaxOutput)*longestPerToken
}
