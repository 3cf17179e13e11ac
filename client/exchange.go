package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/api"
	"github.com/crocusreel/crocusreel/internal/httponce"
)

// maxErrorBytes limits the size of an error body.
const maxErrorBytes = 1 << 20

// GatewayLostError reports that an exchange with a gateway failed before the response was complete.
type GatewayLostError struct {
	// Outcome is not_run only if no connection was established. When it ends a request with several
	// attempts, it holds for all of them.
	Outcome crocusreel.Outcome
	// Gateway is the address of the gateway, or "none" if no address was available.
	Gateway string
	Cause   error
}

// Error implements the error interface.
func (e *GatewayLostError) Error() string {
	return "exchange with gateway " + e.Gateway + " failed (outcome " + string(e.Outcome) + "): " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *GatewayLostError) Unwrap() error { return e.Cause }

// send makes one HTTP exchange. Its request has no GetBody, so that net/http never resends it on its
// own. net/http treats a request with an Idempotency-Key header as safe to resend, and the copy would carry the same Crocusreel-Attempt number, such as 1, although the original may have
// run. A gateway could then answer not_run for work that did run.
func (c *Client) send(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Response, error) {
	req, err := httponce.NewRequest(ctx, method, url, body)
	if err != nil {
		return nil, eris.Wrap(err, "client: build request")
	}
	req.Header = header
	req.Header.Set("Authorization", "Bearer "+c.opts.Key)
	res, err := c.http.Do(req)
	if err != nil {
		return nil, &GatewayLostError{Outcome: outcomeOfSendError(err), Gateway: req.URL.Host, Cause: err}
	}
	if err := httponce.Check(req, res); err != nil {
		return nil, &GatewayLostError{Outcome: crocusreel.OutcomeUnknown, Gateway: req.URL.Host, Cause: err}
	}
	return res, nil
}

// outcomeOfSendError returns the outcome of a request that failed with err: not_run if no
// connection was established, and unknown if the request may have reached the gateway.
func outcomeOfSendError(err error) crocusreel.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return crocusreel.OutcomeNotRun
	}
	return crocusreel.OutcomeUnknown
}

// decodeRefusal reads the refusal from an error response. If the body is not a refusal, the outcome
// is unknown, because nothing proves that the work did not run.
func decodeRefusal(res *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err != nil {
		return &GatewayLostError{Outcome: crocusreel.OutcomeUnknown, Gateway: res.Request.URL.Host, Cause: err}
	}
	refusal := parseRefusal(body, "HTTP status "+strconv.Itoa(res.StatusCode))
	if wait := retryAfter(res.Header); wait > 0 {
		refusal.RetryAfter = wait
	}
	return refusal
}

// parseRefusal decodes a refusal. If body is not one, it returns a refusal without a reason, with
// outcome unknown and with fallback as its message.
func parseRefusal(body []byte, fallback string) *crocusreel.Refusal {
	var w api.ErrorBody
	if json.Unmarshal(body, &w) != nil || w.Reason == "" {
		return &crocusreel.Refusal{Outcome: crocusreel.OutcomeUnknown, Message: fallback}
	}
	return w.Refusal()
}

// retryAfter returns the delay that the response asks for, or 0. The Crocusreel header in
// milliseconds takes precedence over Retry-After in seconds.
func retryAfter(h http.Header) time.Duration {
	if ms, err := strconv.ParseInt(h.Get(api.HeaderRetryAfterMS), 10, 64); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	if s, err := strconv.ParseInt(h.Get("Retry-After"), 10, 64); err == nil && s > 0 {
		return time.Duration(s) * time.Second
	}
	return 0
}
