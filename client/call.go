package client

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/api"
)

// servicePrefix is the path prefix of all plain services at a gateway.
const servicePrefix = "/services"

// CallRequest is one call to a plain service, that is, one that answers a request with a single
// response. Methods other than GET and HEAD are treated as non-idempotent unless Idempotent is set.
type CallRequest struct {
	RequestOptions
	// Idempotent allows retries of a call with a method other than GET and HEAD.
	Idempotent bool
	// Method is the HTTP method; default GET.
	Method string
	// Path is the path below /services with its query, such as "/beds/12".
	Path        string
	ContentType string
	Body        []byte
}

// Reply is the response of a plain service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	// RequestID is the request's ID at the gateway that answered.
	RequestID string
}

// Call sends one request to a plain service and returns its complete response, whatever its status
// code. It fails with a *crocusreel.Refusal, a *GatewayLostError, or the error of ctx.
func (c *Client) Call(ctx context.Context, req CallRequest) (Reply, error) {
	req.RequestOptions = req.withKey()
	if req.Method == "" {
		req.Method = http.MethodGet
	}
	if req.Method != http.MethodGet && req.Method != http.MethodHead && !req.Idempotent {
		req.NonIdempotent = true
	}
	tries := c.newAttempts(req.RequestOptions)
	for {
		reply, gateway, err := c.callOnce(ctx, req, tries)
		if err == nil {
			return reply, nil
		}
		if ctx.Err() != nil {
			return Reply{}, eris.Wrap(ctx.Err(), "client: call ended by the caller's context")
		}
		if !tries.waitForNext(ctx, gateway, err) {
			return Reply{}, tries.correctOutcome(err)
		}
	}
}

// callOnce makes one attempt and also returns the gateway that it used, which is empty if there was
// none.
func (c *Client) callOnce(ctx context.Context, req CallRequest, tries *attempts) (Reply, string, error) {
	gateway, release, err := c.addresses.pick(ctx, tries.failedGateways)
	if err != nil {
		return Reply{}, "", &GatewayLostError{Outcome: crocusreel.OutcomeNotRun, Gateway: "none", Cause: err}
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	header := http.Header{}
	if req.ContentType != "" {
		header.Set("Content-Type", req.ContentType)
	}
	req.RequestOptions.setCommonHeaders(header, tries.number)
	if req.Idempotent {
		header.Set(api.HeaderIdempotent, "true")
	}
	path := servicePrefix + "/" + strings.TrimPrefix(req.Path, "/")
	res, err := c.send(ctx, req.Method, c.url(gateway, path), header, req.Body)
	if err != nil {
		return Reply{}, gateway, err
	}
	defer res.Body.Close()
	reply, err := readReply(res)
	return reply, gateway, err
}

// readWhole reads a body of at most maxResponseBytes. A longer one is an error: its beginning is no response.
func readWhole(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = eris.Errorf("the response is longer than %d bytes", maxResponseBytes)
	}
	return data, err
}

// readReply reads the response of a service, or returns the refusal of a gateway as an error. With
// an error status, the body distinguishes the two: only a refusal holds a reason and an outcome.
func readReply(res *http.Response) (Reply, error) {
	body, err := readWhole(res.Body)
	if err != nil {
		return Reply{}, &GatewayLostError{Outcome: crocusreel.OutcomeUnknown, Gateway: res.Request.URL.Host, Cause: err}
	}
	if res.StatusCode >= http.StatusBadRequest {
		if refusal := parseRefusal(body, ""); refusal.Reason != "" {
			refusal.RetryAfter = retryAfter(res.Header)
			return Reply{}, refusal
		}
	}
	return Reply{
		Status:      res.StatusCode,
		ContentType: res.Header.Get("Content-Type"),
		Body:        body,
		RequestID:   res.Header.Get(api.HeaderRequestID),
	}, nil
}
