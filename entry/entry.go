// Package entry serves callers of the platform: it checks their requests against the
// configuration, hands them to the relay and writes the answers.
package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/relay"
	"github.com/crocusreel/crocusreel/routing"
)

// Handler serves callers' requests.
type Handler struct {
	Config *knowledge.ConfigurationTracker
	Relay  *relay.Relay
	Gate   *Gate
	Bodies *Bodies
	// Freshness says how old knowledge may be.
	Freshness Freshness
	Log       *zap.Logger
}

// Freshness bounds the age of knowledge that decisions are made on.
type Freshness struct {
	// Keys is the age of certain knowledge from which requests with a key are refused:
	// the key may have been taken away.
	Keys time.Duration
	// Denials is the time since the store's last answer from which an unknown key or
	// route is refused with "come back" in place of "not allowed": it may have been
	// added.
	Denials time.Duration
}

// Times after which refused callers may come back.
const (
	// notReadyRetry is for a node that has just started or was cut off: others serve.
	notReadyRetry = 200 * time.Millisecond
	// leavingRetry is for a node that is about to stop.
	leavingRetry = 50 * time.Millisecond
)

// fallbackBody bounds bodies when the configuration does not.
const fallbackBody = 4 << 20

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	if h.Gate.Leaving() {
		w.Header().Set("Connection", "close")
	}
	sink := &sink{w: w, rc: http.NewResponseController(w)}
	if !h.Gate.Enter() {
		h.turnAway(sink, r, refuseNotRun(crocusreel.ReasonShuttingDown, leavingRetry, "this node has stopped"))
		return
	}
	defer h.Gate.Exit()
	content := &body{Reader: r.Body, bodies: h.Bodies}
	defer content.release()
	r.Body = io.NopCloser(content)
	req, refusal := h.admit(w, r, received)
	if refusal != nil {
		h.turnAway(sink, r, refusal)
		return
	}
	verdict := h.Relay.Serve(r.Context(), req, sink)
	if verdict.Refusal != nil && !verdict.Broken {
		verdict.Status = statusOf(verdict.Refusal)
		h.refuse(sink, verdict.Refusal)
	}
	h.logEnd(r, req, verdict)
	observe(req, &verdict)
	if verdict.Broken {
		// The caller must see that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
}

// turnAway refuses a request that was not taken on.
func (h *Handler) turnAway(s *sink, r *http.Request, refusal *crocusreel.Refusal) {
	h.refuse(s, refusal)
	h.logEnd(r, nil, relay.Result{Refusal: refusal, Status: statusOf(refusal)})
}

// admit checks a request; it returns a refusal for one that cannot be served.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, received time.Time) (*relay.Request, *crocusreel.Refusal) {
	snapshot, ages := h.Config.Current()
	if snapshot.Table == nil {
		return nil, refuseNotRun(crocusreel.ReasonNotReady, notReadyRetry, "no configuration yet")
	}
	head, err := platform.ReadCallerHead(r)
	if err != nil {
		return nil, refuseNotRun(crocusreel.ReasonBadRequest, 0, "%v", err)
	}
	route, ws, refusal := h.authorize(&snapshot, ages, r, &head)
	if refusal != nil {
		return nil, refusal
	}
	service := snapshot.Table.Choose(route, head.AttemptID)
	if service == nil {
		return nil, refuseNotRun(crocusreel.ReasonNoEndpoint, notReadyRetry, "route %s has no service", route.Name)
	}
	if refusal := h.leavingSoon(route, head.Size); refusal != nil {
		return nil, refusal
	}
	body, refusal := readBody(w, r, snapshot.Table.Limits.MaxBodyBytes)
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
		Deadline:      received.Add(timeAllowed(route, head.Patience)),
		Size:          head.Size,
		Fingerprint:   relay.NewFingerprint(workspace, r.RequestURI, body),
	}, nil
}

// authorize finds the route and the workspace of a request.
func (h *Handler) authorize(s *knowledge.Snapshot, ages knowledge.Ages, r *http.Request, head *platform.CallerHead) (*routing.Route, *routing.Workspace, *crocusreel.Refusal) {
	outdated := outdated(ages)
	route := s.Table.Match(r.Host, r.URL.Path)
	if route == nil {
		if ages.Answered > h.Freshness.Denials {
			return nil, nil, outdated
		}
		return nil, nil, refuseNotRun(crocusreel.ReasonUnknownRoute, 0, "no route for this host and path")
	}
	if route.Public || !s.Table.NeedsKeys {
		return route, nil, nil
	}
	if ages.Confirmed > h.Freshness.Keys {
		return nil, nil, outdated
	}
	ws := s.Table.Keys[head.Key]
	if ws == nil {
		if ages.Answered > h.Freshness.Denials {
			return nil, nil, outdated
		}
		return nil, nil, refuseNotRun(crocusreel.ReasonUnauthorized, 0, "unknown key")
	}
	return route, ws, nil
}

// Recheck refuses a request that waited if the knowledge under which it was admitted
// has become too old meanwhile, as on a machine that was suspended.
func (h *Handler) Recheck(r *relay.Request) *crocusreel.Refusal {
	if r.Workspace == nil {
		return nil
	}
	if _, ages := h.Config.Current(); ages.Confirmed > h.Freshness.Keys {
		return outdated(ages)
	}
	return nil
}

func outdated(ages knowledge.Ages) *crocusreel.Refusal {
	return refuseNotRun(crocusreel.ReasonNotReady, notReadyRetry, "the configuration was last confirmed %s ago, the store answered %s ago",
		ages.Confirmed.Round(time.Millisecond), ages.Answered.Round(time.Millisecond))
}

// leavingSoon refuses streams that cannot end before this node stops.
func (h *Handler) leavingSoon(route *routing.Route, size relay.Size) *crocusreel.Refusal {
	if !h.Gate.Leaving() || route.Kind != routing.Streaming {
		return nil
	}
	if relay.MaxGenerationTime(size) < h.Gate.Remaining() {
		return nil
	}
	return refuseNotRun(crocusreel.ReasonShuttingDown, leavingRetry, "this node is leaving; use another address")
}

// timeAllowed is the shorter of the caller's patience and the route's timeout.
func timeAllowed(route *routing.Route, patience time.Duration) time.Duration {
	if patience <= 0 || (route.Timeout > 0 && route.Timeout < patience) {
		return route.Timeout
	}
	return patience
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *crocusreel.Refusal) {
	if limit <= 0 {
		limit = fallbackBody
	}
	if r.ContentLength > limit {
		return nil, refuseNotRun(crocusreel.ReasonTooLarge, 0, "the body is over %d bytes", limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refuseNotRun(crocusreel.ReasonTooLarge, 0, "the body is over %d bytes", limit)
	case errors.Is(err, errBodiesFull):
		return nil, refuseNotRun(crocusreel.ReasonQueueFull, notReadyRetry, "%v", err)
	case err != nil:
		return nil, refuseNotRun(crocusreel.ReasonBadRequest, 0, "the body ended early")
	}
	return body, nil
}

func refuseNotRun(reason crocusreel.Reason, retryAfter time.Duration, format string, args ...any) *crocusreel.Refusal {
	return crocusreel.Refuse(reason, crocusreel.OutcomeNotRun, retryAfter, format, args...)
}

// statusOf returns the status of a refusal. Only work that has not run may be answered
// with 503 or 429, by which callers are promised that it never will.
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
	if r.Reason == crocusreel.ReasonDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func (h *Handler) refuse(s *sink, refusal *crocusreel.Refusal) {
	metrics.CountRefusal(refusal.Reason)
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

// logEnd writes the line of a request. Its fields lead from the request's ID to the
// endpoint and the cause.
func (h *Handler) logEnd(r *http.Request, req *relay.Request, v relay.Result) {
	fields := []zap.Field{
		zap.String("path", r.URL.Path),
		zap.Int("status", v.Status),
	}
	if v.Refusal != nil {
		fields = append(fields, zap.String("reason", string(v.Refusal.Reason)),
			zap.String("outcome", string(v.Refusal.Outcome)), zap.String("message", v.Refusal.Message))
	}
	if req == nil {
		known, ages := h.Config.Current()
		h.Log.Info("request refused", append(fields, zap.String("request", platform.AttemptID(r)), zap.Int64("config_row", known.RowVersion),
			zap.Duration("config_age", ages.Confirmed))...)
		return
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
	if req.Route.Kind == routing.Streaming {
		fields = append(fields, zap.Duration("first_event", v.FirstEvent), zap.Int("events", v.Events),
			zap.Duration("longest_gap", v.LongestGap),
			zap.Int("moves", v.Moves), zap.Int("prompt", req.Size.Prompt), zap.Int("expected", req.Size.Hint),
			zap.Int("longest", req.Size.MaxOutput))
	}
	if v.Broken || v.Detail != "" {
		fields = append(fields, zap.Bool("broken", v.Broken), zap.String("detail", v.Detail))
	}
	h.Log.Info("request ended", fields...)
}

func observe(req *relay.Request, v *relay.Result) {
	kind := "call"
	if req.Route.Kind == routing.Streaming {
		kind = "stream"
	}
	if v.FirstEvent > 0 {
		metrics.Observe(kind+"_first_ms", v.FirstEvent)
	}
	metrics.Observe(kind+"_whole_ms", time.Since(req.Received))
}

// writeTimeout bounds one write to a caller: one that does not read would otherwise
// keep its answer, and its place at an endpoint, for ever.
const writeTimeout = 5 * time.Second

// sink writes an answer to a caller.
type sink struct {
	w     http.ResponseWriter
	rc    *http.ResponseController
	begun bool
}

// Begin implements relay.Sink.
func (s *sink) Begin(status int, header http.Header) error {
	target := s.w.Header()
	for name, values := range header {
		target[name] = values
	}
	if header.Get("Content-Type") == "" {
		// Without this the server would guess a type that the endpoint did not send.
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
func (s *sink) Write(part []byte) error {
	if err := s.rc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := s.w.Write(part); err != nil {
		return err
	}
	return s.rc.Flush()
}

// Begun implements relay.Sink.
func (s *sink) Begun() bool { return s.begun }
