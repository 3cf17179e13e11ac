// Package endpoint implements the clients of engines and plain services. The wire format is hidden
// behind the Engine and Service interfaces; the rest of the module does not depend on it.
package endpoint

import (
	"context"
	"time"

	"github.com/crocusreel/crocusreel"
)

// GenerateRequest is the request to start a generation on an engine.
type GenerateRequest struct {
	// RequestID identifies the caller's request. Every frame repeats it.
	RequestID string `json:"request_id"`
	// GenerationID identifies this generation. It is unique to each attempt.
	GenerationID string `json:"generation_id"`
	Workspace    string `json:"workspace"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter,omitempty"`
	Prompt       string `json:"prompt"`
	// MaxTokens is the maximum length of the answer in tokens; 0 leaves the limit to the engine.
	MaxTokens int `json:"max_tokens"`
	// Priority determines which generation the engine preempts: the running generation with the
	// lowest value is preempted first.
	Priority int `json:"priority"`
	// IdempotencyKey lets engines that drop repeated requests recognise them. It may be empty.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
}

// Frame is one event of a generation. A frame carries either one token or, with Done set, the end
// of the generation.
type Frame struct {
	RequestID    string `json:"request_id"`
	GenerationID string `json:"generation_id"`
	// Index is the position of the token, starting at 0. In the last frame it is the number of
	// tokens.
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	Done  bool   `json:"done,omitempty"`
	// FinishReason is "stop", "length" or "cancelled". It is set in the last frame only.
	FinishReason string `json:"finish_reason,omitempty"`
	// Preemptions is the number of times that the engine has preempted this generation so far.
	Preemptions int `json:"preemptions,omitempty"`
	// PromptTokens is the length of the prompt in tokens. It is set in the last frame only.
	PromptTokens int `json:"prompt_tokens,omitempty"`
}

// Stream delivers the frames of one generation in the order in which the engine sent them. Next
// returns io.EOF only after a frame with Done; if the stream ends earlier, it returns an *Error.
type Stream interface {
	Next() (Frame, error)
	Close() error
}

// LoadReport is an engine's report of its own load. It may be out of date.
type LoadReport struct {
	Endpoint string `json:"endpoint"`
	// KVCapacity and KVUsed are in tokens.
	KVCapacity int `json:"kv_capacity"`
	KVUsed     int `json:"kv_used"`
	Running    int `json:"running"`
	Waiting    int `json:"waiting"`
	// Preemptions is the number of preemptions since the engine started.
	Preemptions int64 `json:"preemptions"`
	// Incarnation changes when the engine restarts.
	Incarnation string `json:"incarnation"`
	// Leaving is set if the engine is about to be reclaimed.
	Leaving bool `json:"leaving"`
	// LeavingIn is the time until the engine stops, 0 if unknown.
	LeavingIn time.Duration `json:"leaving_in"`
	// Generations contains the IDs of the running and waiting generations.
	Generations []string `json:"generations"`
}

// CacheEvent reports that a prompt prefix was stored in or evicted from an engine's cache.
type CacheEvent struct {
	// Seq increases by one with each event. A gap means that events were lost.
	Seq uint64 `json:"seq"`
	// Prefix is the hash of the prefix block chain.
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"`
}

// Order instructs an engine to change what it has loaded.
type Order struct {
	// Fence is the fencing token of the lease under which the order is given.
	Fence uint64 `json:"fence"`
	// Verb is "load", "unload" or "role".
	Verb    string `json:"verb"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// State describes what an engine currently has loaded.
type State struct {
	Incarnation string        `json:"incarnation"`
	Models      []LoadedModel `json:"models"`
	Role        string        `json:"role"`
	// Fence is the highest fencing token that the engine has seen, 0 if it ignores them.
	Fence uint64 `json:"fence"`
	// Loading is set while the engine fetches weights.
	Loading bool `json:"loading"`
}

// LoadedModel is a model version that an engine can serve.
type LoadedModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Engine is the client of one inference engine. Its methods return an *Error on failure.
type Engine interface {
	// Generate starts a generation. An error with Outcome not_run proves that the engine did not
	// start it.
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	// Resume continues an existing generation from the token with index next.
	Resume(ctx context.Context, generationID string, next int) (Stream, error)
	// Cancel ends a generation. If onlyDetached is set, it does so only if no stream is attached to
	// the generation.
	Cancel(ctx context.Context, generationID string, onlyDetached bool) error
	Load(ctx context.Context) (LoadReport, error)
	CacheEvents(ctx context.Context, since uint64) ([]CacheEvent, error)
	State(ctx context.Context) (State, error)
	Order(ctx context.Context, o Order) error
}

// Call is a request to a plain service.
type Call struct {
	RequestID      string
	Workspace      string
	Method         string
	Path           string
	Query          string
	ContentType    string
	Body           []byte
	IdempotencyKey string
}

// Reply is the complete answer of a plain service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service is the client of one plain service. Do returns an *Error if there is no reply.
type Service interface {
	Do(ctx context.Context, c Call) (Reply, error)
	// Ready returns nil if the service accepts calls.
	Ready(ctx context.Context) error
}

// Error is the error of a failed exchange with an endpoint.
type Error struct {
	// Outcome is not_run only if the endpoint cannot have started the work: the connection was
	// never established, or the endpoint itself reported it.
	Outcome crocusreel.Outcome
	Kind    ErrorKind
	Cause   error
}

// ErrorKind classifies the failures of an exchange with an endpoint.
type ErrorKind string

const (
	// KindUnreachable means that no connection could be established.
	KindUnreachable ErrorKind = "unreachable"
	// KindRefused means that the endpoint refused the work.
	KindRefused ErrorKind = "refused"
	// KindLost means that the connection ended before the complete answer was received.
	KindLost ErrorKind = "lost"
	// KindStalled means that no byte was received within the stall timeout, or no frame within the
	// progress timeout.
	KindStalled ErrorKind = "stalled"
	// KindUnknownGeneration means that the engine does not know the generation.
	KindUnknownGeneration ErrorKind = "unknown_generation"
	// KindStaleFence means that the engine has seen a higher fencing token.
	KindStaleFence ErrorKind = "stale_fence"
	// KindProtocol means that the endpoint violated the protocol.
	KindProtocol ErrorKind = "protocol"
)

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Cause == nil {
		return "endpoint " + string(e.Kind)
	}
	return "endpoint " + string(e.Kind) + ": " + e.Cause.Error()
}

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.Cause }
