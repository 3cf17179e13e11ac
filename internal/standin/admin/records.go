package admin

import (
	"time"

	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/platform"
)

// PromptHeadBytes is the maximum number of leading prompt bytes that a Run records.
const PromptHeadBytes = 64

// Run records one generation or call that an endpoint started.
type Run struct {
	RequestID      string `json:"request_id"`
	GenerationID   string `json:"generation_id,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Workspace      string `json:"workspace,omitempty"`
	Method         string `json:"method,omitempty"`
	Path           string `json:"path"`
	Model          string `json:"model,omitempty"`
	// PromptHead is the first part of a generation's prompt. Tests use it to find the runs of
	// requests without an idempotency key.
	PromptHead string    `json:"prompt_head,omitempty"`
	StartedAt  time.Time `json:"started_at"`
	Ended      bool      `json:"ended"`
	EndedAt    time.Time `json:"ended_at"`
	// FinishReason is set by engines only: stop, length or cancelled.
	FinishReason string `json:"finish_reason,omitempty"`
	Tokens       int    `json:"tokens"`
	Preemptions  int    `json:"preemptions,omitempty"`
	// Incarnation identifies the process that started the run.
	Incarnation string `json:"incarnation"`
}

// OrderRecord records one order that an engine received.
type OrderRecord struct {
	Order endpoint.Order `json:"order"`
	At    time.Time      `json:"at"`
	// Applied is false for an order that was refused.
	Applied bool   `json:"applied"`
	Error   string `json:"error,omitempty"`
}

// Operation records one call to the platform's tables, for linearizability checks.
type Operation struct {
	// Kind is "get", "scan" or "commit".
	Kind string `json:"kind"`
	// InvokedNS and ReturnedNS are monotonic times in nanoseconds since the stand-in started.
	InvokedNS  int64 `json:"invoked_ns"`
	ReturnedNS int64 `json:"returned_ns"`
	// Txn is set for a commit.
	Txn *platform.Txn `json:"txn,omitempty"`
	// Applied reports whether the conditions of a commit held.
	Applied bool `json:"applied,omitempty"`
	// AnswerLost reports that the response to an applied commit was dropped.
	AnswerLost bool `json:"answer_lost,omitempty"`
	// Rows are the rows read, or the written rows after a commit.
	Rows []platform.Row `json:"rows,omitempty"`
}

// Reservation records one load granted by the weight store.
type Reservation struct {
	Model   string    `json:"model"`
	Version string    `json:"version"`
	At      time.Time `json:"at"`
	// StartAt is the earliest time at which the load may begin.
	StartAt time.Time `json:"start_at"`
	Bytes   int64     `json:"bytes"`
}
