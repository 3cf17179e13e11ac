package crocusreel

import (
	"fmt"
	"time"
)

// Reason names why a request was refused, retried or ended early. Each reason has
// a counter of its own and an entry in docs/OPERATIONS.md.
type Reason string

// Reasons for refusals. The comment on each gives the HTTP status used for it.
const (
	ReasonBadRequest        Reason = "bad_request"           // 400: malformed body or header.
	ReasonKeyRequired       Reason = "key_required"          // 400: non-idempotent work without an idempotency key.
	ReasonUnauthorized      Reason = "unauthorized"          // 401: no caller key, or an unknown one.
	ReasonForbidden         Reason = "forbidden"             // 403: a handle or record of another workspace.
	ReasonUnknownModel      Reason = "unknown_model"         // 404: the workspace has no such model.
	ReasonUnknownRoute      Reason = "unknown_route"         // 404: no plain service has this route.
	ReasonHandleInvalid     Reason = "handle_invalid"        // 400: a forged, expired or malformed resume handle.
	ReasonGenerationLost    Reason = "generation_lost"       // 410 or stream error: the generation ended before its answer was whole.
	ReasonKeyReused         Reason = "key_reused"            // 422: the key was used before with another body.
	ReasonRunInProgress     Reason = "run_in_progress"       // 409: an earlier attempt with this key is still running or was lost.
	ReasonLedgerUnavailable Reason = "ledger_unavailable"    // 503: the platform cannot record a non-idempotent run.
	ReasonQueueFull         Reason = "queue_full"            // 503: too much work is waiting.
	ReasonDeadline          Reason = "deadline_unreachable"  // 503: the answer cannot come before the deadline.
	ReasonStreamLimit       Reason = "stream_limit"          // 429: too many concurrent streams of one workspace.
	ReasonRateLimit         Reason = "rate_limit"            // 429: the workspace's retry or request budget is spent.
	ReasonSuspect           Reason = "suspect_request"       // 422: endpoints died while running this request.
	ReasonNoEndpoint        Reason = "no_endpoint"           // 503: no live endpoint serves the model or route.
	ReasonEvacuated         Reason = "evacuated"             // 503: all endpoints of the service are in evacuated data centres.
	ReasonEndpointLimit     Reason = "endpoint_limit"        // 503: no endpoint of the service takes a request in time: they name limits, or asked for a pause.
	ReasonSchedulerLost     Reason = "scheduler_unreachable" // 503: no scheduler granted a permit in time.
	ReasonEndpointRefused   Reason = "endpoint_refused"      // 503: every endpoint tried refused the work.
	ReasonEndpointLost      Reason = "endpoint_lost"         // 502: the endpoint died or the link broke after the work was sent.
	ReasonShuttingDown      Reason = "shutting_down"         // 503: the gateway is leaving and takes no new work.
	ReasonNotReady          Reason = "not_ready"             // 503: the gateway has no configuration yet.
	ReasonCallerGone        Reason = "caller_gone"           // 503, seen by nobody: the caller closed its connection.
	ReasonTooLarge          Reason = "too_large"             // 413: the body is over the limit.
)

// Refusal is the typed answer to a request that ends without its result.
type Refusal struct {
	// Reason names the cause.
	Reason Reason `json:"reason"`
	// Outcome tells whether the work ran.
	Outcome Outcome `json:"outcome"`
	// Message is for people; it holds no secret.
	Message string `json:"message"`
	// RetryAfter is how long to wait before another attempt. Zero means that
	// another attempt with the same content will not help.
	RetryAfter time.Duration `json:"-"`
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (outcome %s): %s", r.Reason, r.Outcome, r.Message)
}

// Refuse builds a refusal.
func Refuse(reason Reason, outcome Outcome, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Outcome: outcome, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}
