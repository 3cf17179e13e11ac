// Package admin holds what tests and experiments use to steer the stand-ins and to
// see what reached them: fault settings, run records and a small client.
package admin

import (
	"net/http"
	"strconv"

	"github.com/crocusreel/crocusreel/endpoint"
)

// Paths of the administration API that every stand-in serves beside its own.
const (
	PathFaults       = "/admin/faults"
	PathRuns         = "/admin/runs"
	PathOrders       = "/admin/orders"
	PathHistory      = "/admin/history"
	PathVMs          = "/admin/vms"
	PathReservations = "/admin/reservations"
)

// CrashMarker in an engine's prompt ends its process after a few tokens; in the path,
// query or body of a call to a plain service it ends that process once the call has
// taken effect and before its answer.
const CrashMarker = "[[crash]]"

// StatusDied is the exit status of a stand-in that was told to die.
const StatusDied = 3

// EngineFaults are the faults of an engine. Fractions are probabilities from 0 to 1
// for each event; times are wall-clock milliseconds.
type EngineFaults struct {
	Notices
	// CrossedFrames is the fraction of frames before which a frame of another
	// request and generation is sent.
	CrossedFrames float64 `json:"crossed_frames,omitempty"`
	// DuplicateFrames is the fraction of frames that are sent twice.
	DuplicateFrames float64 `json:"duplicate_frames,omitempty"`
	// LateFrames is the fraction of frames after which an older frame is sent again.
	LateFrames float64 `json:"late_frames,omitempty"`
	// MissingFrames is the fraction of frames that are left out.
	MissingFrames float64 `json:"missing_frames,omitempty"`
	// TruncatedFrames is the fraction of frames that are cut in the middle; the
	// connection ends there. The generation goes on.
	TruncatedFrames float64 `json:"truncated_frames,omitempty"`
	// LoseAnswers is the fraction of accepted generations whose connection ends
	// before the first byte of the answer. The generation goes on.
	LoseAnswers float64 `json:"lose_answers,omitempty"`
	// LoseNext does the same to this many of the next accepted generations.
	LoseNext int `json:"lose_next,omitempty"`
	// Refuse refuses all new generations with outcome not_run.
	Refuse bool `json:"refuse,omitempty"`
	// Stalled stops decoding; streams stay open and keep-alive bytes go on.
	Stalled bool `json:"stalled,omitempty"`
	// Mute decodes on but sends no byte on any stream.
	Mute bool `json:"mute,omitempty"`
	// SlowFactor multiplies the time of each step; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// ReclaimInMS announces in load reports that the engine leaves, and stops the
	// process with status 0 after that time. Once set it is not taken back.
	ReclaimInMS int `json:"reclaim_in_ms,omitempty"`
	// Die stops the process at once, with status 3.
	Die bool `json:"die,omitempty"`
	// DieAfterTokens stops the process with status 3 after this many more tokens.
	DieAfterTokens int `json:"die_after_tokens,omitempty"`
	// ReportsFrozen stops the renewal of load reports.
	ReportsFrozen bool `json:"reports_frozen,omitempty"`
	// CacheEventGaps is the fraction of cache events that are lost.
	CacheEventGaps float64 `json:"cache_event_gaps,omitempty"`
	// FailLoads lets orders to load end without the model loaded.
	FailLoads bool `json:"fail_loads,omitempty"`
	// LoseOrderAnswers is the fraction of orders that are carried out but whose
	// answer is lost.
	LoseOrderAnswers float64 `json:"lose_order_answers,omitempty"`
}

// Notices are what a stand-in says of itself in all its answers.
type Notices struct {
	// RequestLimit is the number of requests a second that it takes from all gateways; 0 for
	// none said.
	RequestLimit float64 `json:"request_limit,omitempty"`
	// Leaving says that it is about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// PauseSeconds is the pause that its refusals ask for; 0 for none.
	PauseSeconds float64 `json:"pause_seconds,omitempty"`
}

// Set puts the headers on an answer.
func (s Notices) Set(h http.Header) {
	if s.Leaving {
		h.Set(endpoint.HeaderLeaving, "1")
	}
	if s.RequestLimit > 0 {
		h.Set(endpoint.HeaderRequestLimit, strconv.FormatFloat(s.RequestLimit, 'g', -1, 64))
	}
}

// SetPause puts the pause on a refusal.
func (s Notices) SetPause(h http.Header) {
	if s.PauseSeconds > 0 {
		h.Set("Retry-After", strconv.FormatFloat(s.PauseSeconds, 'g', -1, 64))
	}
}

// ServiceFaults are the faults of a plain service.
type ServiceFaults struct {
	Notices
	// Refuse refuses all calls with outcome not_run.
	Refuse bool `json:"refuse,omitempty"`
	// LoseAnswers is the fraction of calls that run but whose answer is lost.
	LoseAnswers float64 `json:"lose_answers,omitempty"`
	// LoseNext does the same to this many of the next calls.
	LoseNext int `json:"lose_next,omitempty"`
	// SlowMS is added before the call runs.
	SlowMS int `json:"slow_ms,omitempty"`
	// SlowAnswerMS is added after the call ran and before its answer.
	SlowAnswerMS int `json:"slow_answer_ms,omitempty"`
	// Die stops the process at once, with status 3.
	Die bool `json:"die,omitempty"`
}

// PlatformFaults are the faults of the platform.
type PlatformFaults struct {
	// Down answers every call with 503: nothing is applied.
	Down bool `json:"down,omitempty"`
	// Unreachable ends every connection without an answer; nothing is applied, but
	// a client cannot know.
	Unreachable bool `json:"unreachable,omitempty"`
	// WritesDown answers every call that changes something with 503; reads go on.
	WritesDown bool `json:"writes_down,omitempty"`
	// SlowMS is added before each call is applied.
	SlowMS int `json:"slow_ms,omitempty"`
	// SlowAnswerMS is added after each call was applied and before its answer.
	SlowAnswerMS int `json:"slow_answer_ms,omitempty"`
	// LoseAnswers is the fraction of commits that are applied but whose answer is
	// lost.
	LoseAnswers float64 `json:"lose_answers,omitempty"`
	// LoseNext does the same to this many of the next commits.
	LoseNext int `json:"lose_next,omitempty"`
	// LoseRequests is the fraction of commits that are lost on their way: nothing
	// is applied and the connection ends without an answer.
	LoseRequests float64 `json:"lose_requests,omitempty"`
	// DropHistory forgets the changes up to now: those who follow them must read whole
	// tables again.
	DropHistory bool `json:"drop_history,omitempty"`
	// WeightsDown refuses reservations of the weight store only.
	WeightsDown bool `json:"weights_down,omitempty"`
}
