package policy

import (
	"slices"
	"time"

	"github.com/crocusreel/crocusreel"
)

// State is the health of an endpoint, which decides whether it may get new work.
type State int

const (
	// StateUnknown means that no load report has arrived yet.
	StateUnknown State = iota
	// StateHealthy means that the endpoint responds.
	StateHealthy
	// StateFailed means that the endpoint does not respond.
	StateFailed
	// StateLeaving means that the endpoint responds but is about to stop.
	StateLeaving
)

// Answer is an answer in progress at an endpoint.
type Answer struct {
	Key       LengthKey
	Prompt    int
	MaxTokens int
	// LengthHint is the length in tokens announced by the caller; 0 if there is none.
	LengthHint int
	// Produced is the number of tokens produced by the time ProducedAt.
	Produced   int
	ProducedAt time.Duration
	Suspect    bool
}

// Endpoint is the scheduler's view of one engine, on which decisions are based.
type Endpoint struct {
	Name  string
	State State
	// Capacity is the engine's memory in tokens; 0 if not known yet.
	Capacity int
	// ReportedUsed (in tokens), ReportedRunning and ReportedWaiting are the values of the last load
	// report, which lags behind.
	ReportedUsed    int
	ReportedRunning int
	ReportedWaiting int
	// Running holds the answers that this scheduler has admitted or adopted, keyed by permit ID.
	Running map[string]*Answer
	// Rate is the decoding rate of one answer in tokens per second, averaged over RateSamples
	// samples.
	Rate        float64
	RateSamples int
	// HealthySince is the time at which the endpoint became healthy.
	HealthySince time.Duration
	// Ejected keeps new work away, until EjectedUntil, from an endpoint that responds but is much
	// slower than its peers.
	Ejected      bool
	EjectedUntil time.Duration
	// Share is the fraction of its memory that may be used, 0 to 1.
	Share float64

	occupancy Occupancy
	used      float64
	suspects  int
	// ended and endedBefore are the answers that ended in the current period of length
	// maxReportAge, which began at periodStart, and in the previous one. Load reports may still
	// contain them.
	ended, endedBefore endedAnswers
	periodStart        time.Duration
}

// endedAnswers sums up answers that have ended: their number and the memory that they used, in
// tokens.
type endedAnswers struct {
	count  int
	tokens float64
}

// maxReportAge is the maximum age of a load report.
const maxReportAge = time.Second

// NewEndpoint returns an endpoint without answers that may use its whole memory.
func NewEndpoint(name string) *Endpoint {
	return &Endpoint{Name: name, Share: 1, Running: make(map[string]*Answer)}
}

// NumAnswers returns the number of answers in Running.
func (e *Endpoint) NumAnswers() int { return len(e.Running) }

// Used returns the memory in use in tokens: the current size of the answers in Running, or more if
// the engine reported answers that other schedulers admitted.
func (e *Endpoint) Used() float64 { return e.used }

// NumSuspects returns the number of suspected requests that run at the endpoint.
func (e *Endpoint) NumSuspects() int { return e.suspects }

// Attach adds an answer under its permit ID. d is its demand; if it is nil, the caller must call
// Refresh afterwards.
func (e *Endpoint) Attach(id string, a *Answer, d *Demand) {
	e.Running[id] = a
	e.used += float64(a.Prompt + a.Produced)
	if a.Suspect {
		e.suspects++
	}
	if d != nil {
		e.occupancy.Add(d)
	}
}

// Detach removes an answer and returns it, or nil if there is none with this ID. Its demand stays
// in the occupancy until the next Refresh.
func (e *Endpoint) Detach(id string) *Answer {
	a, ok := e.Running[id]
	if !ok {
		return nil
	}
	delete(e.Running, id)
	e.ended.count++
	e.ended.tokens += float64(a.Prompt + a.Produced)
	if a.Suspect {
		e.suspects--
	}
	return a
}

// Refresh recomputes the occupancy and the memory in use from the running answers at the time now.
// hints selects whether lengths announced by callers are trusted.
func (e *Endpoint) Refresh(est *Estimator, now time.Duration, hints bool) {
	sum := 0.0
	for _, a := range e.Running {
		sum += float64(a.Prompt + a.producedBy(now, e.Rate))
	}
	// The memory that the engine holds beyond the answers in Running was admitted by other
	// schedulers. Nothing is known about its growth, so it counts as constant.
	external := 0.0
	e.expireEnded(now)
	if e.hasExternalAnswers() {
		external = max(float64(e.ReportedUsed)-sum-e.ended.tokens-e.endedBefore.tokens, 0)
	}
	e.used = sum + external
	e.occupancy.Reset(float64(e.Capacity), external)
	for _, a := range e.Running {
		d := a.demand(est, a.producedBy(now, e.Rate), hints)
		e.occupancy.Add(&d)
	}
}

// hasExternalAnswers reports whether the engine reported more answers than this scheduler has had
// in Running lately, so that other schedulers must have admitted some. Memory use above the
// estimate is no evidence of that, and neither are answers that have ended since, because the
// report lags.
func (e *Endpoint) hasExternalAnswers() bool {
	return e.ReportedRunning+e.ReportedWaiting > len(e.Running)+e.ended.count+e.endedBefore.count
}

// expireEnded drops ended answers that no load report can contain any more.
func (e *Endpoint) expireEnded(now time.Duration) {
	if now-e.periodStart < maxReportAge {
		return
	}
	e.endedBefore, e.ended = e.ended, endedAnswers{}
	if now-e.periodStart >= 2*maxReportAge {
		e.endedBefore = endedAnswers{}
	}
	e.periodStart = now
}

// EachRunning calls fn with the length key of each running answer and the number of tokens that it
// has produced by the time now.
func (e *Endpoint) EachRunning(now time.Duration, fn func(LengthKey, int)) {
	for _, a := range e.Running {
		fn(a.Key, a.producedBy(now, e.Rate))
	}
}

// producedBy extrapolates the number of tokens produced to the time now. rate is in tokens per
// second.
func (a *Answer) producedBy(now time.Duration, rate float64) int {
	n := a.Produced + int(rate*max(now-a.ProducedAt, 0).Seconds())
	if a.LengthHint > 0 {
		n = min(n, max(a.LengthHint, a.Produced))
	}
	if a.MaxTokens > 0 {
		n = min(n, a.MaxTokens)
	}
	return n
}

func (a *Answer) demand(est *Estimator, produced int, hints bool) Demand {
	if hints && a.LengthHint > 0 {
		return DemandForLength(a.Prompt, produced, a.LengthHint)
	}
	return PredictDemand(est.Survival(a.Key), a.Prompt, produced, a.MaxTokens)
}

// Request holds the properties of a request that a Picker needs.
type Request struct {
	Class    crocusreel.Class
	Prompt   int
	Excluded []string
	Suspect  bool
	// Demand is the predicted memory use of the answer.
	Demand Demand
	// Holders are the endpoints that probably have the fraction CachedShare, 0 to 1, of the prompt
	// cached.
	Holders     [MaxPrefixHolders]string
	CachedShare float64
}

// Eligible reports whether the endpoint may take the request, regardless of memory. A suspected
// request never shares an endpoint with another suspected one, so that the death of the endpoint
// shows which of them is at fault.
func (e *Endpoint) Eligible(r *Request) bool {
	if e.State != StateHealthy || e.Ejected {
		return false
	}
	if r.Suspect && e.suspects > 0 {
		return false
	}
	return !slices.Contains(r.Excluded, e.Name)
}
