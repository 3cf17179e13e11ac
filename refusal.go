package crocusreel

import (
	"fmt"
	"time"
)

// Reason identifies why a request was refused, retried or ended early. Each reason has its own
// counter and an entry in docs/OPERATIONS.md.
type Reason string

// Reasons for refusals. The comment on each reason starts with its HTTP status.
const (
	ReasonBadRequest           Reason = "bad_request"           // 400: malformed body or header.
	ReasonKeyRequired          Reason = "key_required"          // 400: non-idempotent work without an idempotency key.
	ReasonUnauthorized         Reason = "unauthorized"          // 401: missing or unknown caller key.
	ReasonForbidden            Reason = "forbidden"             // 403: a resume handle of another workspace.
	ReasonUnknownModel         Reason = "unknown_model"         // 404: the model does not exist or is not available to the workspace.
	ReasonUnknownRoute         Reason = "unknown_route"         // 404: no route, or no record of a recent request, matches.
	ReasonHandleInvalid        Reason = "handle_invalid"        // 400: forged, expired or malformed resume handle.
	ReasonGenerationLost       Reason = "generation_lost"       // 410 or error event: the generation ended before its answer was complete.
	ReasonKeyReused            Reason = "key_reused"            // 422: the idempotency key was already used with a different request.
	ReasonRunInProgress        Reason = "run_in_progress"       // 409: an earlier attempt with this idempotency key is still running or was lost.
	ReasonLedgerUnavailable    Reason = "ledger_unavailable"    // 503: the platform cannot record a non-idempotent run.
	ReasonQueueFull            Reason = "queue_full"            // 503: too many requests are waiting.
	ReasonDeadlineUnreachable  Reason = "deadline_unreachable"  // 503: the answer cannot be completed before the deadline.
	ReasonStreamLimit          Reason = "stream_limit"          // 429: the workspace has too many concurrent requests at this gateway.
	ReasonRateLimit            Reason = "rate_limit"            // 429: a retry budget is exhausted.
	ReasonSuspectRequest       Reason = "suspect_request"       // 422: endpoints died while running this request.
	ReasonQuarantined          Reason = "quarantined_prompt"    // 503: engines died while running requests that share parts of this prompt.
	ReasonNoEndpoint           Reason = "no_endpoint"           // 503: no live endpoint serves the model or route.
	ReasonEvacuated            Reason = "evacuated"             // 503: all endpoints of the service are in evacuated data centres.
	ReasonEndpointLimit        Reason = "endpoint_limit"        // 503: no endpoint of the service accepts the request in time, because of endpoint limits or requested pauses.
	ReasonSchedulerUnreachable Reason = "scheduler_unreachable" // 503: no scheduler granted a permit in time.
	ReasonEndpointRefused      Reason = "endpoint_refused"      // 503: every endpoint that was tried refused the work.
	ReasonEndpointLost         Reason = "endpoint_lost"         // 502: the endpoint died or the connection broke after the work was sent.
	ReasonShuttingDown         Reason = "shutting_down"         // 503: the gateway is draining and accepts no new work.
	ReasonNotReady             Reason = "not_ready"             // 503: the gateway has no configuration yet.
	ReasonCallerGone           Reason = "caller_gone"           // 503, never delivered: the caller closed its connection.
	ReasonTooLarge             Reason = "too_large"             // 413: the request body exceeds the size limit.
)

// Refusal is the typed error of a request that ends without a result.
type Refusal struct {
	// Reason is the cause as a stable identifier.
	Reason Reason `json:"reason"`
	// Outcome states whether the work ran.
	Outcome Outcome `json:"outcome"`
	// Message is a human-readable explanation. It must not contain secrets.
	Message string `json:"message"`
	// RetryAfter is how long to wait before another attempt. Zero means that retrying with the same
	// content will not succeed.
	RetryAfter time.Duration `json:"-"`
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (outcome %s): %s", r.Reason, r.Outcome, r.Message)
}

// Refuse returns a refusal whose message is formatted as by fmt.Sprintf. A retryAfter of zero means
// that retrying will not succeed.
func Refuse(reason Reason, outcome Outcome, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Outcome: outcome, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}
