// Package relay serves one request of a caller: it waits for a placement, sends the request to an
// endpoint, retries it where that is allowed, and returns the complete answer or an accurate
// refusal.
package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/drain"
	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/liveness"
	"github.com/crocusreel/crocusreel/notice"
	"github.com/crocusreel/crocusreel/quarantine"
	"github.com/crocusreel/crocusreel/reach"
	"github.com/crocusreel/crocusreel/retry"
	"github.com/crocusreel/crocusreel/routing"
	"github.com/crocusreel/crocusreel/runtimes"
)

// Request is one attempt of a caller.
type Request struct {
	// ID is the caller's ID of this attempt.
	ID     string
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	// Header holds the headers that are passed on.
	Header http.Header
	Body   []byte

	Route     *routing.Route
	Service   *routing.Service
	Workspace *routing.Workspace
	// ConfigVersion is the configuration version under which the request was admitted.
	ConfigVersion int64
	Received      time.Time
	// Deadline is when the request ends at the latest, by the caller's deadline or the route's
	// timeout.
	Deadline time.Time
	Size     Size
	// Fingerprint identifies the work over all attempts of the caller.
	Fingerprint Fingerprint
	// Parts are the parts of the prompt that other requests may share.
	Parts []quarantine.Part
	// Forwarded is set if another node has admitted the request and forwarded it to this one.
	Forwarded bool
	// Counted is set once the request is counted in the retry budget of a node, as a first attempt
	// or as a retry.
	Counted bool
	// Runs is the number of endpoints that may have executed the request so far.
	Runs int
	// LastEvent is the ID of the last event of the stream that the caller has. It is valid if Resumes
	// is set.
	LastEvent int64
	Resumes   bool
	// Tracked is the record of the request among those in flight. It is nil if there is none.
	Tracked *drain.Request
	// LostNodes are the addresses of the nodes that were lost while they served the request.
	LostNodes []string
}

// Size is the size of a generation as stated by its request, in tokens. It is zero for plain work.
type Size struct {
	Prompt    int
	MaxOutput int
	// Hint is the caller's estimate of the output, 0 if there is none.
	Hint int
}

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Instance fleet.Instance
	// Remaining is the time that the endpoint has for the request.
	Remaining time.Duration
	// Backup is the address of the endpoint to which the run's KV cache is sent as it grows, empty
	// for none.
	Backup string
	// Resume continues a run from a copy of its KV cache. It is nil for a new run.
	Resume *Resume
	// After is the ID of the last event that the caller has, after which a new run is to begin. It is
	// nil if the caller has none.
	After *int64
}

// Resume identifies the copy of the KV cache from which a run is resumed.
type Resume struct {
	// Source is the address of the endpoint that holds or held the run.
	Source string
	// Handle identifies the KV cache at Source.
	Handle string
	// LastEvent is the ID of the last event that the caller received.
	LastEvent int64
}

// Reply is the parsed header of an endpoint's answer.
type Reply struct {
	// AnswerTo is the ID of the request that the answer belongs to, empty if the answer does not state it.
	AnswerTo string
	// NotRun reports that the endpoint definitely did not execute the request.
	NotRun bool
	// Misdirected reports that another instance uses the endpoint's address.
	Misdirected bool
	// Notice is what the endpoint states about itself.
	Notice notice.Notice
}

// Protocol translates between requests and the HTTP headers and events that endpoints use.
type Protocol interface {
	// AttemptHeader returns the request headers of one attempt.
	AttemptHeader(r *Request, a *Attempt) http.Header
	// OwnerOf returns what an answer with the status and header states of the request that it belongs to.
	OwnerOf(r *Request, status int, h http.Header) h1.Ownership
	// Barrier returns the request that shows that an attempt has been answered.
	Barrier(r *Request, a *Attempt) *h1.Barrier
	// Reply parses the status and header of an answer.
	Reply(status int, h http.Header) Reply
	// AnswerHeader returns the headers that are passed on to the caller.
	AnswerHeader(h http.Header) http.Header
	// ParseEvent returns the ID of an event of a stream. ok is false for an event without an ID.
	ParseEvent(event []byte) (id int64, ok bool)
}

// Mover moves the KV caches of running generations between engines.
type Mover interface {
	// Move copies the run's KV cache from the engine at source to the one at target and returns the
	// handle of the copy. If stop is set, the run is stopped first.
	Move(ctx context.Context, source, runID, target string, stop bool) (MoveResult, error)
	// Report asks the engine at the address for its runs.
	Report(ctx context.Context, address string) (EngineReport, error)
	// Free deletes the copy made by a move.
	Free(ctx context.Context, source, handle string) error
}

// MoveResult is the result of a move.
type MoveResult struct {
	Handle string
	// Events is the number of events that the run had produced.
	Events int
	// Refused is set if the copy could not be made. The run may have stopped; Handle then
	// identifies its KV cache at the source.
	Refused bool
}

// Sink receives the answer for the caller.
type Sink interface {
	// Begin sends the status and header of an answer.
	Begin(status int, header http.Header) error
	// Write sends a part of the body without buffering it.
	Write(part []byte) error
	// Begun reports whether the status and header were sent.
	Begun() bool
}

// Result is the outcome of a request.
type Result struct {
	// Status is the status that the caller received, 0 if none.
	Status int
	// Broken reports that the answer was started but is not complete. The connection to the caller
	// must be closed so that the caller cannot mistake the answer for a complete one.
	Broken bool
	// Refusal is set if the relay itself answers the caller.
	Refusal *crocusreel.Refusal
	// Attempts is the number of times that the request was sent, Moves the number of times that a
	// stream was resumed on another engine.
	Attempts int
	Moves    int
	// Runs is the number of endpoints that may have executed the request for this answer. ResumedAt
	// is the ID of the event after which the newest run began, nil if it began with the first.
	Runs      int
	ResumedAt *int64
	Endpoint  string
	// Via is the address of the node that served the request, empty if it was this one.
	Via    string
	Waited time.Duration
	// FirstEvent is the time from receipt to the first part of the answer.
	FirstEvent time.Duration
	Events     int
	// LongestGap is the longest pause between two events.
	LongestGap time.Duration
	Detail     string
}

// Relay sends requests to endpoints. It is safe for concurrent use.
type Relay struct {
	Fleet    *fleet.Fleet
	Client   *h1.Client
	Protocol Protocol
	Mover    Mover
	Budgets  *retry.Shared
	Strikes  *Strikes
	Claims   *Claims
	// Quarantine holds what is known of prompt parts that crash engines.
	Quarantine *quarantine.Tracker
	// Vacated records, for all nodes, the runs that no longer use the links of engines that are
	// about to stop.
	Vacated *VacatedRuns
	Log     *zap.Logger
	// Admit is called right before each new run; a refusal ends the request. It prevents work for
	// keys that were revoked while the request waited.
	Admit func(r *Request) *crocusreel.Refusal
	// Reach learns from each exchange whether this node reaches the endpoints. It is nil if nobody
	// needs to know.
	Reach ReachRecorder
	// Witness reports whether the endpoint also refuses connections of another node. known is false if
	// no other node could be asked. It is nil if there are no other nodes.
	Witness func(ctx context.Context, in fleet.Instance) (refuses, known bool)
	// Liveness asks endpoints that are silent whether they run.
	Liveness *liveness.Prober
	// Forwarder has requests served by other nodes; nil if there are none.
	Forwarder Forwarder
	// Runtimes learns how long runs take. Without it, a node that leaves sends only requests whose
	// deadline lies before its stop.
	Runtimes *runtimes.Tracker

	migrations migrations
}

// ReachRecorder records evidence of whether this node reaches the endpoints of a service. Its
// methods must not block.
type ReachRecorder interface {
	RecordAnswer(in fleet.Instance, newConnection bool)
	RecordFailure(in fleet.Instance, kind reach.Failure)
}

// Serve processes the request until it ends and writes the answer to sink.
func (l *Relay) Serve(ctx context.Context, r *Request, sink Sink) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	job := &job{Relay: l, r: r, sink: sink, ran: r.Runs > 0, prog: newProgress(r), arrivals: newArrivals(r)}
	if n := l.Strikes.Count(r.Fingerprint); n >= strikeLimit {
		return Result{Refusal: job.suspectRefusal(n)}
	}
	if refusal := job.refuseQuarantined(); refusal != nil {
		return Result{Refusal: refusal}
	}
	defer job.dropClaims()
	if r.Resumes && !r.Forwarded {
		metrics.Count("stream_resumed_by_caller")
	}
	result := job.serve(ctx)
	job.endRun(result.Refusal == nil && !result.Broken && result.Status < http.StatusInternalServerError)
	if job.struck.Load() && (result.Broken || result.Refusal != nil) {
		job.announceDeath(ctx)
	}
	return job.withProgress(result)
}

// serve has the request served by another node or serves it.
func (j *job) serve(ctx context.Context) Result {
	if j.outOfReach() {
		if result, served := j.forward(ctx); served {
			return result
		}
	}
	if !j.r.Counted {
		j.Budgets.Get(j.r.Service.Name).RecordAttempt()
		j.r.Counted = true
	}
	if j.r.Route.Kind == routing.Streaming {
		return j.stream(ctx)
	}
	return j.call(ctx)
}

// job is one request in progress.
type job struct {
	*Relay
	r      *Request
	sink   Sink
	result Result
	tried  []string
	// prog is what the caller has of a stream.
	prog *progress
	// ownClaim is the request's claim to its work, nil if it has none.
	ownClaim *Claim
	// partClaims are the request's claims to suspected parts of its prompt. probing is set while the
	// request runs although parts of it are quarantined, proven once a run has gone on past its first
	// event.
	partClaims      []Claim
	probing, proven bool
	// struck is set once a strike was recorded against the request.
	struck atomic.Bool
	// ran is set once an endpoint may have executed the request.
	ran bool
	// lastRun is the latest sending of the request by this node, nil before the first.
	lastRun *run
	// declined is set once the request was to be forwarded and no other node accepted it.
	declined bool
	arrivals arrivals
	// timing measures the run in flight, nil if there is none.
	timing *runtimes.Run
	// retryReserved is the time at which the next attempt was reserved as a retry, in nanoseconds; 0 if
	// it needs no reservation.
	retryReserved atomic.Int64
}

func (j *job) work() fleet.Work {
	regions, bound := routing.Regions(j.r.Route, j.r.Workspace)
	return fleet.Work{
		RegionBound: bound,
		Regions:     regions,
		Service:     j.r.Service,
		Demand:      fleet.Demand{Prompt: j.r.Size.Prompt, Output: j.r.Size.expectedOutput()},
		MaxOutput:   j.r.Size.MaxOutput,
		Rank:        routing.Rank(j.r.Route, j.r.Workspace),
		Exclude:     j.tried,
		Workspace:   j.workspaceName(),
		Target:      j.r.Route.TargetLatency,
		GapTarget:   j.r.Route.GapTarget,
		Since:       time.Since(j.r.Received),
		Started:     j.ran,
		Patience:    j.patience(),
		Remaining:   time.Until(j.r.Deadline),
		RequestID:   j.r.ID,
		Isolated:    len(j.partClaims) > 0,

		StartWithin: j.startWithin(),
	}
}

// patience returns the time for which the caller still waits for the first event, 0 if it waits until
// its deadline.
func (j *job) patience() time.Duration {
	if j.r.Route.Kind != routing.Streaming {
		return 0
	}
	return max(callerPatience(j.r.Route)-time.Since(j.r.Received), time.Nanosecond)
}

// workspaceName returns the name of the request's workspace, or an empty string if it has none.
func (j *job) workspaceName() string {
	if j.r.Workspace == nil {
		return ""
	}
	return j.r.Workspace.Name
}

const (
	// prefillTokensPerSecond is the prefill rate of a busy engine in prompt tokens per second.
	prefillTokensPerSecond = 7500.0
	// startMargin is the time that a generation needs until its first event, in addition to the
	// prefill of its own prompt: the rest of another prefill, and the network latency.
	startMargin = 300 * time.Millisecond
)

// startWithin returns the time within which the request must be placed for its first event to meet
// the latency target, 0 if its route has no target or the request no prompt.
func (j *job) startWithin() time.Duration {
	target := j.r.Route.TargetLatency
	if target <= 0 || j.r.Size.Prompt == 0 {
		return 0
	}
	prefill := time.Duration(float64(j.r.Size.Prompt) / prefillTokensPerSecond * float64(time.Second))
	return max(target-startMargin-prefill-time.Since(j.r.Received), time.Nanosecond)
}

// expectedOutput returns the number of output tokens for which memory is reserved. Without an
// estimate of the caller it is half of the maximum.
func (s Size) expectedOutput() int {
	if s.Hint > 0 {
		return min(s.Hint, max(s.MaxOutput, 1))
	}
	return s.MaxOutput / 2
}

const (
	// maxWaitShare is the share of the remaining time that a request may wait for a placement. The
	// rest is needed for the answer itself, or for another attempt after a refusal, for which
	// callers wait up to a third of their time.
	maxWaitShare = 0.4
	// maxWaitTargets limits the wait to a multiple of the latency target. After a longer wait the
	// answer is late anyway and delays others that could still meet the target.
	maxWaitTargets = 3.0
)

func (j *job) maxWait() time.Duration {
	remaining := time.Duration(maxWaitShare * float64(time.Until(j.r.Deadline)))
	if target := j.r.Route.TargetLatency; target > 0 {
		remaining = min(remaining, time.Duration(maxWaitTargets*float64(target)))
	}
	return remaining
}

// send sends the request to the endpoint of p and returns its answer once the header has arrived.
func (j *job) send(ctx context.Context, p *fleet.Placement, resume *Resume, backup *fleet.BackupReservation) (*h1.Response, error) {
	attempt := Attempt{Instance: p.Instance(), Remaining: time.Until(j.r.Deadline), Resume: resume, After: j.prog.after()}
	if backup != nil {
		attempt.Backup = backup.Instance().Address
	}
	j.result.Attempts++
	j.result.Endpoint = attempt.Instance.ID
	j.recordSending(p)
	stopSilence := j.watchSilence(attempt.Instance)
	defer stopSilence()
	began := time.Now()
	j.r.Tracked.Enter(drain.Sent)
	j.beginRun()
	resp, err := j.Client.Do(ctx, attempt.Instance.Address, &h1.Request{
		Method:          j.r.Method,
		Target:          j.r.Target,
		Host:            j.r.Host,
		Header:          j.Protocol.AttemptHeader(j.r, &attempt),
		Body:            j.r.Body,
		OwnerOf:         func(status int, h http.Header) h1.Ownership { return j.Protocol.OwnerOf(j.r, status, h) },
		Barrier:         j.Protocol.Barrier(j.r, &attempt),
		EndpointContext: p.EndpointContext(),
	})
	if err == nil {
		j.recordNotice(attempt.Instance, resp)
	}
	j.recordSent(resp, err)
	j.recordReach(attempt.Instance, resp, err)
	j.recordArrival(p, time.Since(began), err)
	return resp, err
}

// recordNotice passes on what the endpoint states about itself in an answer. It ignores the answer
// of another instance at the same address.
func (j *job) recordNotice(in fleet.Instance, resp *h1.Response) {
	reply := j.Protocol.Reply(resp.StatusCode, resp.Header)
	if reply.Misdirected {
		return
	}
	if reply.Notice.Limited {
		metrics.Count(j.limitedCounter())
	}
	j.Fleet.RecordNotice(in, reply.Notice, j.r.ID)
}

// limitedCounter returns the name of the counter of answers that report a request limit. First
// attempts and retries are counted separately.
func (j *job) limitedCounter() string {
	if j.result.Attempts > 1 {
		return "answers_naming_limit_again"
	}
	return "answers_naming_limit_first"
}

func (j *job) end(refusal *crocusreel.Refusal, detail string) Result {
	j.result.Refusal = refusal
	j.result.Broken = j.sink.Begun()
	j.result.Detail = detail
	return j.result
}

const (
	// strikeLimit is the number of endpoints that may die of one request.
	strikeLimit = 3
	// lostRetryAfter is the retry delay given to callers after an endpoint was lost.
	lostRetryAfter = 200 * time.Millisecond
)

// lostRefusal is the answer to a request that may or may not have been executed.
func lostRefusal(format string, args ...any) *crocusreel.Refusal {
	return crocusreel.Refuse(crocusreel.ReasonEndpointLost, crocusreel.OutcomeUnknown, lostRetryAfter, format, args...)
}

// suspectRefusal is the answer to work that this many endpoints died of. Its retry delay is the
// time until the work has fewer strikes than strikeLimit.
func (j *job) suspectRefusal(strikes int) *crocusreel.Refusal {
	return crocusreel.Refuse(crocusreel.ReasonSuspectRequest, crocusreel.OutcomeNotRun,
		j.Strikes.UntilBelow(j.r.Fingerprint, strikeLimit), "%d endpoints died while running this request", strikes)
}
