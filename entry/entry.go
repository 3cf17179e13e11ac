// Package entry serves the HTTP requests of callers: it checks them against the configuration,
// passes them to the relay and writes the answers.
package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/drain"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/relay"
	"github.com/crocusreel/crocusreel/routing"
)

// Handler is the HTTP handler for callers.
type Handler struct {
	Config     *knowledge.ConfigurationTracker
	Relay      *relay.Relay
	Gate       *drain.Gate
	BodyMemory *BodyMemory
	// Freshness limits the age of the configuration that decisions are based on.
	Freshness FreshnessLimits
	Log       *zap.Logger
}

// FreshnessLimits limits the age of the configuration that decisions are based on.
type FreshnessLimits struct {
	// MaxKeyAge is the time since the configuration was last confirmed after which requests with a
	// key are refused as not ready, since the key may have been revoked.
	MaxKeyAge time.Duration
	// MaxDenialAge is the time since the store last answered after which an unknown key or route is
	// refused with a retryable reason instead of a final one, since it may have been added.
	MaxDenialAge time.Duration
}

// notReadyRetryAfter applies to a node that has just started or was disconnected: other nodes serve.
const notReadyRetryAfter = 200 * time.Millisecond

// defaultMaxBodyBytes bounds request bodies, in bytes, if the configuration does not.
const defaultMaxBodyBytes = 4 << 20

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	sink := &responseSink{w: w, rc: http.NewResponseController(w), gate: h.Gate}
	ctx, tracked := h.Gate.Admit(r.Context())
	if tracked == nil {
		h.reject(sink, r, nil, drain.Refuse("this node has stopped"))
		return
	}
	defer tracked.End()
	tracked.Identify(platform.AttemptID(r))
	metered := &meteredBody{Reader: r.Body, budget: h.BodyMemory}
	defer metered.release()
	r.Body = io.NopCloser(metered)
	req, refusal := h.admit(ctx, sink, r, tracked, received)
	if refusal != nil {
		h.reject(sink, r, tracked, refusal)
		return
	}
	tracked.Enter(drain.Waiting)
	result := h.Relay.Serve(ctx, req, sink)
	if result.Refusal != nil && !result.Broken {
		result.Status = statusOf(result.Refusal)
		h.writeRefusal(sink, result.Refusal)
	}
	h.logOutcome(r, req, result)
	observeLatency(req, &result)
	if result.Broken {
		// Aborts the connection, so that the caller sees that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// reject refuses a request that was not admitted, and logs it. tracked is nil if the request is not in flight.
func (h *Handler) reject(s *responseSink, r *http.Request, tracked *drain.Request, refusal *crocusreel.Refusal) {
	h.writeRefusal(s, refusal)
	h.logRefused(r, tracked, refusal)
}

// admit checks a request and reads its body. It returns a refusal if the request cannot be served.
func (h *Handler) admit(ctx context.Context, sink *responseSink, r *http.Request, tracked *drain.Request, received time.Time) (*relay.Request, *crocusreel.Refusal) {
	snapshot, ages := h.Config.Current()
	if snapshot.Table == nil {
		return nil, refuseNotRun(crocusreel.ReasonNotReady, notReadyRetryAfter, "no configuration yet")
	}
	head, err := platform.ParseCallerHeader(r)
	if err != nil {
		return nil, refuseNotRun(crocusreel.ReasonBadRequest, 0, "%v", err)
	}
	if head.MalformedParts != nil {
		metrics.Count("prompt_parts_malformed")
		h.Log.Info("prompt parts not understood", zap.String("request", head.AttemptID), zap.Error(head.MalformedParts))
	}
	route, ws, refusal := h.authorize(&snapshot, ages, r, &head)
	if refusal != nil {
		return nil, refusal
	}
	var lastEvent int64
	resumes := false
	if h.Relay.Resumable(route) {
		if lastEvent, resumes, err = platform.ParseLastEvent(r.Header); err != nil {
			return nil, refuseNotRun(crocusreel.ReasonBadRequest, 0, "%v", err)
		}
	}
	service := snapshot.Table.Choose(route, head.AttemptID)
	if service == nil {
		return nil, refuseNotRun(crocusreel.ReasonNoEndpoint, notReadyRetryAfter, "route %s has no service", route.Name)
	}
	deadline := received.Add(requestTimeout(route, head.Timeout))
	tracked.Bound(deadline, func() drain.LongestRun { return h.Relay.LongestRun(service, route, head.Size) })
	if refusal := tracked.RefuseLate(); refusal != nil {
		return nil, refusal
	}
	body, refusal := readBodyInTime(ctx, sink, r, tracked, snapshot.Table.Limits.MaxBodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	workspace := ""
	if ws != nil {
		workspace = ws.Name
	}
	return &relay.Request{
		ID:            head.AttemptID,
		Method:        r.Method,
		Target:        r.RequestURI,
		Host:          r.Host,
		Header:        head.Header,
		Body:          body,
		Route:         route,
		Service:       service,
		Workspace:     ws,
		ConfigVersion: snapshot.Table.Version,
		Received:      received,
		Deadline:      deadline,
		Tracked:       tracked,
		Size:          head.Size,
		Fingerprint:   relay.NewFingerprint(workspace, r.RequestURI, body),
		Parts:         head.Parts,
		LastEvent:     lastEvent,
		Resumes:       resumes,
	}, nil
}

// authorize returns the route and the workspace of a request, or a refusal. The workspace is nil if
// no key is needed.
func (h *Handler) authorize(s *knowledge.Snapshot, ages knowledge.Ages, r *http.Request, head *platform.CallerHeader) (*routing.Route, *routing.Workspace, *crocusreel.Refusal) {
	outdatedRefusal := refuseOutdated(ages)
	route := s.Table.Match(r.Host, r.URL.Path)
	if route == nil {
		if ages.Answered > h.Freshness.MaxDenialAge {
			return nil, nil, outdatedRefusal
		}
		return nil, nil, refuseNotRun(crocusreel.ReasonUnknownRoute, 0, "no route for this host and path")
	}
	if route.Public || !s.Table.NeedsKeys {
		return route, nil, nil
	}
	if ages.Confirmed > h.Freshness.MaxKeyAge {
		return nil, nil, outdatedRefusal
	}
	ws := s.Table.Keys[head.Key]
	if ws == nil {
		if ages.Answered > h.Freshness.MaxDenialAge {
			return nil, nil, outdatedRefusal
		}
		return nil, nil, refuseNotRun(crocusreel.ReasonUnauthorized, 0, "unknown key")
	}
	return route, ws, nil
}

// Recheck refuses a request that has waited if the configuration under which it was admitted has
// become too old in the meantime, for example because the machine was suspended.
func (h *Handler) Recheck(r *relay.Request) *crocusreel.Refusal {
	if r.Workspace == nil {
		return nil
	}
	if _, ages := h.Config.Current(); ages.Confirmed > h.Freshness.MaxKeyAge {
		return refuseOutdated(ages)
	}
	return nil
}

// refuseOutdated returns the refusal for a configuration that is too old to decide on.
func refuseOutdated(ages knowledge.Ages) *crocusreel.Refusal {
	return refuseNotRun(crocusreel.ReasonNotReady, notReadyRetryAfter, "the configuration was last confirmed %s ago, the store answered %s ago",
		ages.Confirmed.Round(time.Millisecond), ages.Answered.Round(time.Millisecond))
}

// defaultTimeout ends requests for which neither the caller nor the route sets a timeout.
const defaultTimeout = 10 * time.Minute

// requestTimeout returns the shorter of the caller's and the route's timeout. A timeout of 0 means that
// the caller or the route sets none.
func requestTimeout(route *routing.Route, callerTimeout time.Duration) time.Duration {
	switch {
	case callerTimeout <= 0 && route.Timeout <= 0:
		return defaultTimeout
	case callerTimeout <= 0 || route.Timeout > 0 && route.Timeout < callerTimeout:
		return route.Timeout
	default:
		return callerTimeout
	}
}

// readBodyInTime reads the request body as readBody does. It gives up as soon as it is too late to send
// the request: a caller that sends its body slowly would otherwise wait only to be refused.
func readBodyInTime(ctx context.Context, sink *responseSink, r *http.Request, tracked *drain.Request, limit int64) ([]byte, *crocusreel.Refusal) {
	if r.ContentLength == 0 {
		return readBody(sink.w, r, limit)
	}
	ctx, done := tracked.WhileUnsent(ctx)
	defer done()
	stop := context.AfterFunc(ctx, func() { _ = sink.rc.SetReadDeadline(time.Now()) })
	defer stop()
	body, refusal := readBody(sink.w, r, limit)
	if interrupted := drain.RefuseInterrupted(ctx); refusal != nil && interrupted != nil {
		return nil, interrupted
	}
	return body, refusal
}

// readBody reads the request body, up to limit bytes, or defaultMaxBodyBytes if limit is not
// positive.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *crocusreel.Refusal) {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return nil, refuseNotRun(crocusreel.ReasonTooLarge, 0, "the body is over %d bytes", limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refuseNotRun(crocusreel.ReasonTooLarge, 0, "the body is over %d bytes", limit)
	case errors.Is(err, errBodyMemoryFull):
		return nil, refuseNotRun(crocusreel.ReasonQueueFull, notReadyRetryAfter, "%v", err)
	case err != nil:
		return nil, refuseNotRun(crocusreel.ReasonBadRequest, 0, "the body ended early")
	}
	return body, nil
}

func refuseNotRun(reason crocusreel.Reason, retryAfter time.Duration, format string, args ...any) *crocusreel.Refusal {
	return crocusreel.Refuse(reason, crocusreel.OutcomeNotRun, retryAfter, format, args...)
}

// statusOf returns the HTTP status of a refusal. Only work that has not run may be answered with
// 503 or 429, since these promise callers that it never will.
func statusOf(r *crocusreel.Refusal) int {
	switch r.Reason {
	case crocusreel.ReasonBadRequest:
		return http.StatusBadRequest
	case crocusreel.ReasonUnauthorized:
		return http.StatusUnauthorized
	case crocusreel.ReasonUnknownRoute:
		return http.StatusNotFound
	case crocusreel.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	if r.Outcome == crocusreel.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	if r.Reason == crocusreel.ReasonDeadlineUnreachable {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// writeRefusal writes a refusal as the answer.
func (h *Handler) writeRefusal(s *responseSink, refusal *crocusreel.Refusal) {
	metrics.CountRefusal(refusal.Reason)
	s.closeIfLeaving()
	header := s.w.Header()
	header.Set("Content-Type", "application/json")
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', -1, 64))
	}
	s.w.WriteHeader(statusOf(refusal))
	if err := json.NewEncoder(s.w).Encode(refusal); err != nil {
		metrics.Count("refusal_not_delivered")
	}
}

// logRefused logs the refusal of a request that was not admitted.
func (h *Handler) logRefused(r *http.Request, tracked *drain.Request, refusal *crocusreel.Refusal) {
	snapshot, ages := h.Config.Current()
	fields := append([]zap.Field{
		zap.String("path", r.URL.Path), zap.Int("status", statusOf(refusal)), zap.String("request", platform.AttemptID(r)),
		zap.Int64("config_row", snapshot.Revision.Version), zap.Int64("store_era", snapshot.Revision.Era), zap.Duration("config_age", ages.Confirmed),
	}, refusalFields(refusal)...)
	h.Log.Info("request refused", append(fields, tracked.LogFields()...)...)
}

func refusalFields(r *crocusreel.Refusal) []zap.Field {
	return []zap.Field{zap.String("reason", string(r.Reason)), zap.String("outcome", string(r.Outcome)), zap.String("message", r.Message)}
}

// logOutcome logs the outcome of a request that was admitted. The fields allow an operator to get from the request
// ID to the endpoint and the cause.
func (h *Handler) logOutcome(r *http.Request, req *relay.Request, v relay.Result) {
	fields := []zap.Field{
		zap.String("path", r.URL.Path),
		zap.Int("status", v.Status),
	}
	if v.Refusal != nil {
		fields = append(fields, refusalFields(v.Refusal)...)
	}
	fields = append(fields,
		zap.String("request", req.ID),
		zap.String("route", req.Route.Name),
		zap.Int64("config_version", req.ConfigVersion),
		zap.String("endpoint", v.Endpoint),
		zap.Int("attempts", v.Attempts),
		zap.Duration("waited", v.Waited),
		zap.Duration("took", time.Since(req.Received)),
	)
	if req.Workspace != nil {
		fields = append(fields, zap.String("workspace", req.Workspace.Name))
	}
	if v.Via != "" {
		fields = append(fields, zap.String("via", v.Via))
	}
	if req.Route.Kind == routing.Streaming {
		fields = append(fields, zap.Duration("first_event", v.FirstEvent), zap.Int("events", v.Events),
			zap.Duration("longest_gap", v.LongestGap),
			zap.Int("moves", v.Moves), zap.Int("prompt", req.Size.Prompt), zap.Int("expected", req.Size.Hint),
			zap.Int("longest", req.Size.MaxOutput))
	}
	if v.Runs > 1 || v.ResumedAt != nil {
		fields = append(fields, zap.Int("runs", v.Runs), zap.Int64p("resumed_at", v.ResumedAt))
	}
	if v.Broken || v.Detail != "" {
		fields = append(fields, zap.Bool("broken", v.Broken), zap.String("detail", v.Detail))
	}
	h.Log.Info("request ended", append(fields, req.Tracked.LogFields()...)...)
}

// observeLatency records the latencies of a request.
func observeLatency(req *relay.Request, v *relay.Result) {
	kind := "call"
	if req.Route.Kind == routing.Streaming {
		kind = "stream"
	}
	if v.FirstEvent > 0 {
		metrics.Observe(kind+"_first_ms", v.FirstEvent)
	}
	metrics.Observe(kind+"_whole_ms", time.Since(req.Received))
}

// writeTimeout bounds one write to a caller. A caller that does not read would otherwise hold its
// answer, and its slot at an endpoint, forever.
const writeTimeout = 5 * time.Second

// responseSink is a relay.Sink that writes the answer to a caller.
type responseSink struct {
	w     http.ResponseWriter
	rc    *http.ResponseController
	gate  *drain.Gate
	begun bool
}

// closeIfLeaving makes the connection close after the answer if the node is leaving, so that the caller
// reconnects to another node.
func (s *responseSink) closeIfLeaving() {
	if s.gate.Leaving() {
		s.w.Header().Set("Connection", "close")
	}
}

// Begin implements relay.Sink.
func (s *responseSink) Begin(status int, header http.Header) error {
	target := s.w.Header()
	for name, values := range header {
		target[name] = values
	}
	s.closeIfLeaving()
	if header.Get("Content-Type") == "" {
		// A nil value keeps net/http from guessing a type that the endpoint did not send.
		target["Content-Type"] = nil
	}
	if header.Get("Date") == "" {
		target["Date"] = nil
	}
	s.begun = true
	s.w.WriteHeader(status)
	return nil
}

// Write implements relay.Sink.
func (s *responseSink) Write(part []byte) error {
	if err := s.rc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := s.w.Write(part); err != nil {
		return err
	}
	return s.rc.Flush()
}

// Begun implements relay.Sink.
func (s *responseSink) Begun() bool { return s.begun }
