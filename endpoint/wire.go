package endpoint

import "github.com/crocusreel/crocusreel"

// Paths of the engines' HTTP API. {id} stands for a generation ID.
const (
	PathGenerate    = "/v1/generate"
	PathGenerations = "/v1/generations/" // + {id} + "/resume" or "/cancel"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathState       = "/v1/state"
	PathOrders      = "/v1/orders"
	PathRuns        = "/v1/runs"
	// PathHealth returns 200 on engines and plain services that accept work.
	PathHealth = "/healthz"
)

// Headers of calls to plain services.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderWorkspace      = "Crocusreel-Workspace"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderExchange identifies one request on one connection, in all calls to engines and plain services.
	// Answers bear the same value. One without it shows only on a new connection that the work has not run.
	HeaderExchange = "Crocusreel-Exchange"
	// HeaderOutcome with the value "not_run" in an answer of a plain service states that the
	// service did not start the call.
	HeaderOutcome = "Crocusreel-Outcome"
)

// ResumeRequest is the body of a resume request.
type ResumeRequest struct {
	Next int `json:"next"`
}

// CancelRequest is the body of a cancel request.
type CancelRequest struct {
	OnlyDetached bool `json:"only_detached"`
}

// CacheEventsBody is the body of the answer with an engine's cache events.
type CacheEventsBody struct {
	Events []CacheEvent `json:"events"`
}

// ErrorBody is the body of an endpoint's typed error answer.
type ErrorBody struct {
	Kind    ErrorKind          `json:"kind"`
	Outcome crocusreel.Outcome `json:"outcome"`
	Message string             `json:"message"`
}

// KindRepeat means that the endpoint dropped a repeated request because it already has a run with
// the same idempotency key.
const KindRepeat ErrorKind = "repeat"

// RunState is the state of the run with a given idempotency key.
type RunState string

const (
	// RunNone means that the endpoint has had no run with the key since it started.
	RunNone RunState = "none"
	// RunActive means that the run has not ended yet.
	RunActive RunState = "active"
	// RunEnded means that the run has ended.
	RunEnded RunState = "ended"
)

// RunStatus is an engine's answer to the lookup of an idempotency key.
type RunStatus struct {
	State        RunState `json:"state"`
	GenerationID string   `json:"generation_id,omitempty"`
	// Incarnation identifies the start of the engine since which it knows its runs. It changes at a
	// restart.
	Incarnation string `json:"incarnation"`
}
