// Package api defines the callers' HTTP API as shared by server and client: the headers, the stream
// markers and the JSON bodies that are not part of the OpenAI API. docs/API.md documents it.
package api

import (
	"time"

	"github.com/crocusreel/crocusreel"
)

// Headers of the API.
const (
	// HeaderRequestID is the request's ID, as used in logs and by /v1/requests.
	HeaderRequestID = "X-Request-Id"
	// HeaderGateway is the ID of the VM whose gateway served the request.
	HeaderGateway = "Crocusreel-Gateway"
	// HeaderEndpoint is the name of the endpoint that ran the work.
	HeaderEndpoint = "Crocusreel-Endpoint"
	// HeaderIdempotencyKey identifies the same work across attempts.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderIdempotent is "false" for work that may run at most once.
	HeaderIdempotent = "Crocusreel-Idempotent"
	// HeaderAttempt is the number of the caller's attempt with this idempotency key, starting at 1.
	HeaderAttempt = "Crocusreel-Attempt"
	// HeaderPriority is an integer from crocusreel.MinPriority to crocusreel.MaxPriority.
	HeaderPriority = "Crocusreel-Priority"
	// HeaderClass is "generation" (default) or "short".
	HeaderClass = "Crocusreel-Class"
	// HeaderDeadline is how long the caller waits for the answer, in milliseconds.
	HeaderDeadline = "Crocusreel-Deadline-Ms"
	// HeaderLengthHint is the expected length of the answer, in tokens.
	HeaderLengthHint = "Crocusreel-Length-Hint"
	// HeaderPreemptions is how often the engine preempted the generation.
	HeaderPreemptions = "Crocusreel-Preemptions"
	// HeaderRetryAfterMS is the Retry-After time in milliseconds.
	HeaderRetryAfterMS = "Crocusreel-Retry-After-Ms"
)

// Markers in the server-sent event stream of an answer.
const (
	// DoneMarker is the data of the event that follows the last chunk of a complete answer.
	DoneMarker = "[DONE]"
	// ErrorEvent is the name of the event that ends an incomplete stream.
	ErrorEvent = "error"
)

// Addresses is the body of GET /v1/addresses.
type Addresses struct {
	Addresses []string `json:"addresses"`
	// TTLMS is how long the list may be cached, in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
}

// ResumeRequest is the body of POST /v1/resume.
type ResumeRequest struct {
	Handle    string `json:"handle"`
	NextIndex int    `json:"next_index"`
	// Chat selects chat completion chunks instead of completion chunks.
	Chat bool `json:"chat,omitempty"`
}

// Extension holds the fields of a chunk that are not part of the OpenAI API.
type Extension struct {
	// Handle is the resume handle. It is set on the first chunk only.
	Handle string `json:"handle,omitempty"`
	// Index is the index of the chunk's token. On the last chunk it is the number of tokens.
	Index *int `json:"index"`
	// Preemptions is how often the generation was preempted. It is set on the last chunk only.
	Preemptions *int `json:"preemptions,omitempty"`
}

// ErrorBody is the body of every refusal and the data of a stream's error event. The Error field
// follows the OpenAI API.
type ErrorBody struct {
	Error   ErrorDetail        `json:"error"`
	Reason  crocusreel.Reason  `json:"reason"`
	Outcome crocusreel.Outcome `json:"outcome"`
	// RetryAfterMS is how long to wait before another attempt, in milliseconds. Zero means that
	// retrying will not succeed.
	RetryAfterMS int64 `json:"retry_after_ms"`
}

// ErrorDetail is the error object of the OpenAI API.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// errorType is the value of ErrorDetail.Type in every error object.
const errorType = "crocusreel_error"

// NewErrorBody returns the body that represents the refusal.
func NewErrorBody(r *crocusreel.Refusal) ErrorBody {
	return ErrorBody{
		Error:        ErrorDetail{Message: r.Message, Type: errorType, Code: string(r.Reason)},
		Reason:       r.Reason,
		Outcome:      r.Outcome,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}
}

// Refusal returns the refusal that the body represents.
func (b ErrorBody) Refusal() *crocusreel.Refusal {
	return &crocusreel.Refusal{
		Reason:     b.Reason,
		Outcome:    b.Outcome,
		Message:    b.Error.Message,
		RetryAfter: time.Duration(b.RetryAfterMS) * time.Millisecond,
	}
}
