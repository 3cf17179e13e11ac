package endpoint

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
)

// KeyLookup is implemented by engines that can look up a run by its idempotency key.
type KeyLookup interface {
	// LookupRun returns what the engine knows about the key. RunNone proves that no run was started
	// only if the engine's incarnation is the one that received the work and no request with the
	// key can still be in transit.
	LookupRun(ctx context.Context, workspace, idempotencyKey string) (RunStatus, error)
}

// engineClient implements Engine and KeyLookup over HTTP.
type engineClient struct{ httpClient }

// NewEngine returns a client of the engine at addr (IP:port). It does not retry requests.
func NewEngine(addr string, o Options) Engine {
	if o.StallTimeout <= 0 {
		o.StallTimeout = defaultStallTimeout
	}
	return &engineClient{newHTTPClient(addr, o)}
}

// Generate implements Engine.
func (e *engineClient) Generate(ctx context.Context, req GenerateRequest) (Stream, error) {
	return e.open(ctx, PathGenerate, req)
}

// Resume implements Engine.
func (e *engineClient) Resume(ctx context.Context, generationID string, next int) (Stream, error) {
	return e.open(ctx, generationPath(generationID, "resume"), ResumeRequest{Next: next})
}

func (e *engineClient) open(ctx context.Context, path string, body any) (Stream, error) {
	resp, fail := e.sendJSON(ctx, http.MethodPost, path, body)
	if fail != nil {
		return nil, fail
	}
	return newFrameStream(resp.Body, e.options.ProgressTimeout), nil
}

// Cancel implements Engine.
func (e *engineClient) Cancel(ctx context.Context, generationID string, onlyDetached bool) error {
	return e.call(ctx, http.MethodPost, generationPath(generationID, "cancel"), CancelRequest{OnlyDetached: onlyDetached}, nil)
}

// Load implements Engine.
func (e *engineClient) Load(ctx context.Context) (LoadReport, error) {
	var r LoadReport
	err := e.call(ctx, http.MethodGet, PathLoad, nil, &r)
	return r, err
}

// CacheEvents implements Engine.
func (e *engineClient) CacheEvents(ctx context.Context, since uint64) ([]CacheEvent, error) {
	var body CacheEventsBody
	path := PathCacheEvents + "?since=" + strconv.FormatUint(since, 10)
	err := e.call(ctx, http.MethodGet, path, nil, &body)
	return body.Events, err
}

// State implements Engine.
func (e *engineClient) State(ctx context.Context) (State, error) {
	var s State
	err := e.call(ctx, http.MethodGet, PathState, nil, &s)
	return s, err
}

// Order implements Engine.
func (e *engineClient) Order(ctx context.Context, o Order) error {
	return e.call(ctx, http.MethodPost, PathOrders, o, nil)
}

// LookupRun implements KeyLookup.
func (e *engineClient) LookupRun(ctx context.Context, workspace, idempotencyKey string) (RunStatus, error) {
	var s RunStatus
	path := PathRuns + "?" + url.Values{"workspace": {workspace}, "idempotency_key": {idempotencyKey}}.Encode()
	err := e.call(ctx, http.MethodGet, path, nil, &s)
	return s, err
}

func generationPath(id, verb string) string {
	return PathGenerations + url.PathEscape(id) + "/" + verb
}
