// Package admin defines the administration API of the stand-ins, which simulate engines, plain
// services and the platform. Tests and experiments use it to inject faults and to inspect the
// requests that reached a stand-in.
package admin

import (
	"net/http"
	"strconv"

	"github.com/crocusreel/crocusreel/endpoint"
)

// Paths of the administration API. Each stand-in serves those that apply to it, next to its own
// API.
const (
	PathFaults       = "/admin/faults"
	PathRuns         = "/admin/runs"
	PathOrders       = "/admin/orders"
	PathHistory      = "/admin/history"
	PathVMs          = "/admin/vms"
	PathReservations = "/admin/reservations"
)

// CrashMarker makes a stand-in exit with ExitStatusDied. In a prompt, the engine exits after the
// first few tokens. In the path, query or body of a call, the plain service exits after the
// call's effect and before its response.
const CrashMarker = "[[crash]]"

// ExitStatusDied is the exit status of a stand-in that ends because of a fault or CrashMarker.
const ExitStatusDied = 3

// EngineFaults are the faults to inject into an engine. Fractions are probabilities from 0 to 1,
// drawn for each event; times are wall-clock milliseconds.
type EngineFaults struct {
	Notices
	// CrossedFrames is the fraction of frames that are preceded by a frame with the IDs of
	// another request and generation.
	CrossedFrames float64 `json:"crossed_frames,omitempty"`
	// DuplicateFrames is the fraction of frames that are sent twice.
	DuplicateFrames float64 `json:"duplicate_frames,omitempty"`
	// LateFrames is the fraction of frames that are followed by a repeated earlier frame.
	LateFrames float64 `json:"late_frames,omitempty"`
	// MissingFrames is the fraction of frames that are not sent.
	MissingFrames float64 `json:"missing_frames,omitempty"`
	// TruncatedFrames is the fraction of frames of which only the first half is sent before
	// the connection is closed. The generation continues.
	TruncatedFrames float64 `json:"truncated_frames,omitempty"`
	// LoseAnswers is the fraction of accepted generations whose connection is closed before
	// the first byte of the response. The generation continues.
	LoseAnswers float64 `json:"lose_answers,omitempty"`
	// LoseNext drops the responses of this many of the next accepted generations in the same
	// way.
	LoseNext int `json:"lose_next,omitempty"`
	// Refuse refuses all new generations with outcome not_run.
	Refuse bool `json:"refuse,omitempty"`
	// Stalled stops decoding. Streams stay open and still send keep-alive bytes.
	Stalled bool `json:"stalled,omitempty"`
	// Mute stops all writes to streams, keep-alive bytes included, while decoding continues.
	Mute bool `json:"mute,omitempty"`
	// SlowFactor multiplies the duration of each step; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// ReclaimInMS announces in load reports that the engine is leaving, and ends the process
	// with status 0 after this time. It cannot be changed or reset once set.
	ReclaimInMS int `json:"reclaim_in_ms,omitempty"`
	// Die ends the process immediately with ExitStatusDied.
	Die bool `json:"die,omitempty"`
	// DieAfterTokens ends the process with ExitStatusDied after this many more tokens.
	DieAfterTokens int `json:"die_after_tokens,omitempty"`
	// ReportsFrozen stops the update of load reports.
	ReportsFrozen bool `json:"reports_frozen,omitempty"`
	// CacheEventGaps is the fraction of cache events that are dropped, which leaves gaps in their
	// sequence numbers.
	CacheEventGaps float64 `json:"cache_event_gaps,omitempty"`
	// FailLoads makes load orders finish without loading the model.
	FailLoads bool `json:"fail_loads,omitempty"`
	// LoseOrderAnswers is the fraction of orders that are executed but whose response is
	// dropped.
	LoseOrderAnswers float64 `json:"lose_order_answers,omitempty"`
}

// Notices are the notices about itself that a stand-in sends in response headers.
type Notices struct {
	// RequestLimit is the announced limit in requests per second over all gateways; 0 announces
	// none.
	RequestLimit float64 `json:"request_limit,omitempty"`
	// Leaving announces that the stand-in is about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// PauseSeconds is the Retry-After of refusals in seconds; 0 sends none.
	PauseSeconds float64 `json:"pause_seconds,omitempty"`
}

// SetHeaders sets the notice headers of a response.
func (s Notices) SetHeaders(h http.Header) {
	if s.Leaving {
		h.Set(endpoint.HeaderLeaving, "1")
	}
	if s.RequestLimit > 0 {
		h.Set(endpoint.HeaderRequestLimit, strconv.FormatFloat(s.RequestLimit, 'g', -1, 64))
	}
}

// SetRetryAfter sets the Retry-After header of a refusal.
func (s Notices) SetRetryAfter(h http.Header) {
	if s.PauseSeconds > 0 {
		h.Set("Retry-After", strconv.FormatFloat(s.PauseSeconds, 'g', -1, 64))
	}
}

// ServiceFaults are the faults to inject into a plain service.
type ServiceFaults struct {
	Notices
	// Refuse refuses all calls with outcome not_run.
	Refuse bool `json:"refuse,omitempty"`
	// LoseAnswers is the fraction of calls that run but whose response is dropped.
	LoseAnswers float64 `json:"lose_answers,omitempty"`
	// LoseNext drops the responses of this many of the next calls in the same way.
	LoseNext int `json:"lose_next,omitempty"`
	// SlowMS is a delay before the call runs.
	SlowMS int `json:"slow_ms,omitempty"`
	// SlowAnswerMS is a delay between the run of the call and its response.
	SlowAnswerMS int `json:"slow_answer_ms,omitempty"`
	// Die ends the process immediately with ExitStatusDied.
	Die bool `json:"die,omitempty"`
}

// PlatformFaults are the faults to inject into the platform. They do not affect the
// administration API.
type PlatformFaults struct {
	// Down answers every call with 503 without applying it.
	Down bool `json:"down,omitempty"`
	// Unreachable closes the connection of every call without a response. Nothing is applied,
	// but the client cannot know that. The health check answers 503.
	Unreachable bool `json:"unreachable,omitempty"`
	// WritesDown answers every write and weight reservation with 503; reads still work.
	WritesDown bool `json:"writes_down,omitempty"`
	// SlowMS is a delay before each call is applied.
	SlowMS int `json:"slow_ms,omitempty"`
	// SlowAnswerMS is a delay between the application of each call and its response.
	SlowAnswerMS int `json:"slow_answer_ms,omitempty"`
	// LoseAnswers is the fraction of commits that are applied but whose response is dropped.
	LoseAnswers float64 `json:"lose_answers,omitempty"`
	// LoseNext drops the responses of this many of the next applied commits in the same way.
	LoseNext int `json:"lose_next,omitempty"`
	// LoseRequests is the fraction of commits that are lost before they are applied; the
	// connection is closed without a response.
	LoseRequests float64 `json:"lose_requests,omitempty"`
	// DropHistory discards the change history up to now, once for each call that sets it:
	// watchers must read whole tables again.
	DropHistory bool `json:"drop_history,omitempty"`
	// KeepCopy makes a copy of the store, and Restore replaces its content by the last copy and
	// begins a new era, once for each call that sets them.
	KeepCopy bool `json:"keep_copy,omitempty"`
	Restore  bool `json:"restore,omitempty"`
	// WeightsDown answers weight reservations with 503.
	WeightsDown bool `json:"weights_down,omitempty"`
}
