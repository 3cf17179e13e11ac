package api

import (
	"time"

	"github.com/crocusreel/crocusreel"
)

// Record is the history of a recent request, as shown by `crocusreel explain`.
type Record struct {
	RequestID string    `json:"request_id"`
	Workspace string    `json:"workspace"`
	Kind      string    `json:"kind"` // generation, resume or call
	Model     string    `json:"model,omitempty"`
	Path      string    `json:"path,omitempty"`
	Started   time.Time `json:"started"`
	// Steps lists the request's events in chronological order.
	Steps []Step `json:"steps"`
	// Ended is nil while the request is running.
	Ended   *time.Time         `json:"ended,omitempty"`
	Reason  crocusreel.Reason  `json:"reason,omitempty"`
	Outcome crocusreel.Outcome `json:"outcome,omitempty"`
}

// Step is one event in the history of a request.
type Step struct {
	// AtMS is the time since the request started, in milliseconds.
	AtMS     int64  `json:"at_ms"`
	Event    string `json:"event"`
	Endpoint string `json:"endpoint,omitempty"`
	Detail   string `json:"detail,omitempty"`
}
