package caller

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/api"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// statusByReason maps reasons to HTTP status codes. Reasons that are not listed map to 503.
var statusByReason = map[crocusreel.Reason]int{
	crocusreel.ReasonBadRequest:     http.StatusBadRequest,
	crocusreel.ReasonKeyRequired:    http.StatusBadRequest,
	crocusreel.ReasonHandleInvalid:  http.StatusBadRequest,
	crocusreel.ReasonUnauthorized:   http.StatusUnauthorized,
	crocusreel.ReasonForbidden:      http.StatusForbidden,
	crocusreel.ReasonUnknownModel:   http.StatusNotFound,
	crocusreel.ReasonUnknownRoute:   http.StatusNotFound,
	crocusreel.ReasonRunInProgress:  http.StatusConflict,
	crocusreel.ReasonGenerationLost: http.StatusGone,
	crocusreel.ReasonTooLarge:       http.StatusRequestEntityTooLarge,
	crocusreel.ReasonKeyReused:      http.StatusUnprocessableEntity,
	crocusreel.ReasonSuspectRequest: http.StatusUnprocessableEntity,
	crocusreel.ReasonStreamLimit:    http.StatusTooManyRequests,
	crocusreel.ReasonRateLimit:      http.StatusTooManyRequests,
	crocusreel.ReasonEndpointLost:   http.StatusBadGateway,
}

func statusOf(r *crocusreel.Refusal) int {
	if s, ok := statusByReason[r.Reason]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// writeError is Echo's error handler. It converts every error of a handler to a refusal, records it
// and writes it, unless the response has already been started.
func (s *server) writeError(err error, c echo.Context) {
	r := adjustOutcomeForKey(c, asRefusal(err))
	s.recordRefusal(c, r)
	if c.Response().Committed {
		return
	}
	h := c.Response().Header()
	if r.RetryAfter > 0 {
		h.Set(echo.HeaderRetryAfter, strconv.FormatInt(ceilSeconds(r.RetryAfter), 10))
		h.Set(api.HeaderRetryAfterMS, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	if werr := c.JSON(statusOf(r), api.NewErrorBody(r)); werr != nil {
		s.opts.Log.Debug("failed to write refusal", zap.String("request", requestID(c)), zap.Error(werr))
	}
}

// invalidRequestReasons are the reasons for which a request is invalid in itself. Such a request
// never runs, whatever its idempotency key, so its outcome stays OutcomeNotRun.
var invalidRequestReasons = map[crocusreel.Reason]bool{
	crocusreel.ReasonBadRequest:    true,
	crocusreel.ReasonKeyRequired:   true,
	crocusreel.ReasonUnauthorized:  true,
	crocusreel.ReasonHandleInvalid: true,
	crocusreel.ReasonTooLarge:      true,
}

// adjustOutcomeForKey returns the refusal with an outcome that holds for the idempotency key and not
// only for this attempt. This attempt did not run, but an earlier attempt with the same key may have
// run, or may be held by a frozen gateway that sends it once it resumes. A caller that trusted
// not_run would send the work under a new key, and it would run twice. OutcomeNotRun is therefore
// replaced by OutcomeUnknown unless the caller declares that this is its first attempt.
func adjustOutcomeForKey(c echo.Context, r *crocusreel.Refusal) *crocusreel.Refusal {
	h := c.Request().Header
	keyed := h.Get(api.HeaderIdempotencyKey) != ""
	if r.Outcome != crocusreel.OutcomeNotRun || !keyed || h.Get(api.HeaderAttempt) == "1" || invalidRequestReasons[r.Reason] {
		return r
	}
	adjusted := *r
	adjusted.Outcome = crocusreel.OutcomeUnknown
	return &adjusted
}

// logWriteError records an error of writing the response to work that ran. It always returns nil: as a
// handler's error it would become a refusal that claims that the work did not run.
func (s *server) logWriteError(c echo.Context, err error) error {
	if err != nil {
		metrics.Count("answer_not_delivered")
		s.opts.Log.Info("failed to write response", zap.String("request", requestID(c)), zap.Error(err))
	}
	return nil
}

func asRefusal(err error) *crocusreel.Refusal {
	var r *crocusreel.Refusal
	if errors.As(err, &r) {
		return r
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuseNotRun(crocusreel.ReasonTooLarge, "body is over %d bytes", tooLarge.Limit)
	}
	var he *echo.HTTPError
	if errors.As(err, &he) && he.Code == http.StatusNotFound {
		return refuseNotRun(crocusreel.ReasonUnknownRoute, "%v", he.Message)
	}
	return refuseNotRun(crocusreel.ReasonBadRequest, "%v", err)
}

func refuseNotRun(reason crocusreel.Reason, format string, args ...any) *crocusreel.Refusal {
	return crocusreel.Refuse(reason, crocusreel.OutcomeNotRun, 0, format, args...)
}

func badHeader(name, allowed string) *crocusreel.Refusal {
	return refuseNotRun(crocusreel.ReasonBadRequest, "header %s: allowed is %s", name, allowed)
}

// ceilSeconds rounds the duration up to whole seconds. Retry-After has no fractions, and a retry
// that comes too early would be refused again.
func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
