package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/config"
)

// ErrUnreachable means that the controller could not be reached or that its response could not be
// read or decoded.
var ErrUnreachable = eris.New("the controller cannot be reached")

// clientTimeout limits one request. It is longer than the server's timeouts (applyTimeout and
// readTimeout), so that the server's error response arrives first.
const clientTimeout = 15 * time.Second

// maxResponseBytes limits the size of a response body, in bytes.
const maxResponseBytes = 16 << 20

// Client is a client of the administration API of one controller. It is safe for concurrent use.
// Its methods return an error response as a *RemoteError, and an error that wraps ErrUnreachable if
// there is no valid response.
type Client struct {
	baseURL string
	key     string
	http    *http.Client
}

// NewClient returns a client for a base URL such as "http://IP:port" that authenticates with an
// operator key. If transport is nil, it uses http.DefaultTransport.
func NewClient(baseURL, key string, transport http.RoundTripper) *Client {
	return &Client{baseURL: baseURL, key: key, http: &http.Client{Timeout: clientTimeout, Transport: transport}}
}

// RemoteError is an error response of the controller.
type RemoteError struct {
	// Status is the HTTP status code.
	Status int
	ErrorBody
}

// Error implements the error interface.
func (e *RemoteError) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// Current returns the version in force with its document.
func (c *Client) Current(ctx context.Context) (Version, error) {
	return get[Version](ctx, c, pathConfig)
}

// Version returns one accepted version with its document.
func (c *Client) Version(ctx context.Context, version uint64) (Version, error) {
	return get[Version](ctx, c, pathVersions+strconv.FormatUint(version, 10))
}

// History returns the latest versions, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]Version, error) {
	return get[[]Version](ctx, c, pathHistory+"?limit="+strconv.Itoa(limit))
}

// Status returns the state of the system as known to the controller.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, pathStatus)
}

// Apply submits an edit and returns the new version without its document.
func (c *Client) Apply(ctx context.Context, e Edit) (Version, error) {
	var v Version
	err := c.do(ctx, http.MethodPost, pathConfig, e, &v)
	return v, err
}

// Validate has the controller check a document without applying it. The problems of an invalid
// document are in the Problems field of the *RemoteError.
func (c *Client) Validate(ctx context.Context, doc config.Document) error {
	return c.do(ctx, http.MethodPost, pathValidate, doc, nil)
}

// Leave marks a VM as leaving.
func (c *Client) Leave(ctx context.Context, vm string) error {
	return c.do(ctx, http.MethodPost, pathVMs+url.PathEscape(vm)+"/leave", nil, nil)
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var out T
	err := c.do(ctx, http.MethodGet, path, nil, &out)
	return out, err
}

// do sends a request with body as JSON, if body is not nil, and decodes the response into out, if
// out is not nil.
func (c *Client) do(ctx context.Context, method, path string, body, out any) error {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return eris.Wrap(err, "encode request")
		}
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, payload)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	defer res.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	return decodeResponse(res.StatusCode, responseBody, out)
}

// decodeResponse decodes a response body into out, or an error response into a *RemoteError. An
// error response without an error code does not come from a controller and counts as
// ErrUnreachable.
func decodeResponse(status int, body []byte, out any) error {
	if status >= http.StatusBadRequest {
		remoteErr := &RemoteError{Status: status}
		if err := json.Unmarshal(body, &remoteErr.ErrorBody); err != nil || remoteErr.Code == "" {
			return eris.Wrapf(ErrUnreachable, "response with status %d is not from a controller", status)
		}
		return remoteErr
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return eris.Wrap(ErrUnreachable, "malformed response: "+err.Error())
	}
	return nil
}
