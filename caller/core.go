// Package caller serves the callers' HTTP API: OpenAI-compatible generations, resumption of streams,
// calls to plain services and gateway addresses. It validates requests and translates them to and
// from the Core interface, which implements the serving logic.
package caller

import (
	"context"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/endpoint"
)

// Core implements the serving logic behind the HTTP API.
type Core interface {
	// Ready returns nil if the gateway can serve requests.
	Ready() *crocusreel.Refusal
	// Workspace returns the workspace to which a caller key belongs. The key is given by the hex
	// digest of its SHA-256.
	Workspace(keyDigest string) (*config.WorkspaceSpec, bool)
	// Models lists the models that the workspace may use.
	Models(ws *config.WorkspaceSpec) []string
	// Addresses lists the caller addresses of serving gateways, nearest first, and how long callers
	// may cache the list.
	Addresses() ([]string, time.Duration)
	// AcquireSlot acquires one of the workspace's slots for concurrent requests. The returned
	// function releases the slot.
	AcquireSlot(ws *config.WorkspaceSpec) (func(), *crocusreel.Refusal)
	// Generate runs one generation and writes its answer to the sink. It returns nil once
	// Sink.Finish has been called.
	Generate(ctx context.Context, g Generation, sink Sink) *crocusreel.Refusal
	// Resume writes the rest of an existing generation to the sink.
	Resume(ctx context.Context, r Resume, sink Sink) *crocusreel.Refusal
	// Call sends one call to a plain service and returns its reply.
	Call(ctx context.Context, c ServiceCall) (endpoint.Reply, *crocusreel.Refusal)
	// Record returns the history of a recent request of the workspace, and whether it is known.
	Record(workspace, requestID string) (any, bool)
}

// Attempt holds the fields that generations and service calls have in common.
type Attempt struct {
	RequestID string
	Workspace *config.WorkspaceSpec
	// IdempotencyKey is the key that the caller sent. It is never empty if NonIdempotent is set.
	IdempotencyKey string
	// NonIdempotent marks work that may run at most once for its idempotency key.
	NonIdempotent bool
	// FirstAttempt is set if the caller declares that no earlier attempt used this idempotency key.
	FirstAttempt bool
	// BodySHA256 is the hex SHA-256 digest of the request's method, path, query and body.
	BodySHA256 string
}

// Generation is a caller's request for one generation.
type Generation struct {
	Attempt
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	Class     crocusreel.Class
	Priority  crocusreel.Priority
	// LengthHint is the caller's estimate of the answer's length in tokens, 0 if there is none.
	LengthHint int
	// Restartable is set if the caller receives nothing before the answer is complete, so that a
	// lost generation may be replaced by a new one.
	Restartable bool
}

// Resume is a request for the rest of a generation.
type Resume struct {
	RequestID string
	Workspace *config.WorkspaceSpec
	Handle    string
	// NextIndex is the index of the first token that the caller has not received.
	NextIndex int
}

// ServiceCall is a caller's call to a plain service.
type ServiceCall struct {
	Attempt
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
}

// Begin holds what is known of a generation before its first token.
type Begin struct {
	Model string
	// Handle allows the caller to resume the stream at any gateway.
	Handle   string
	Endpoint string
}

// Finish describes how a generation ended. The gateway stores it as JSON under the names of its Go
// fields, which must therefore not change.
type Finish struct {
	// Reason is "stop", "length" or "cancelled".
	Reason       string
	Tokens       int
	PromptTokens int
	Preemptions  int
}

// Sink receives one answer. Begin is called first. A further call of Begin, which happens only for
// restartable generations, discards everything received before it. An error means that the answer
// can no longer be delivered because the caller has disconnected.
type Sink interface {
	Begin(b Begin) error
	Token(index int, text string) error
	Finish(f Finish) error
}
