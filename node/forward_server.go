package node

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/drain"
	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/quarantine"
	"github.com/crocusreel/crocusreel/reach"
	"github.com/crocusreel/crocusreel/relay"
	"github.com/crocusreel/crocusreel/routing"
)

const (
	// maxForwarded is the number of requests that this node serves for others at the same time.
	maxForwarded = 256
	// forwardWriteTimeout bounds one write of an answer to the node that forwarded the request. Its
	// caller may read slowly.
	forwardWriteTimeout = 5 * time.Second
)

// forwardedCount counts the requests that this node serves for others.
type forwardedCount struct{ open atomic.Int32 }

func (c *forwardedCount) begin() bool {
	if c.open.Add(1) > maxForwarded {
		c.open.Add(-1)
		return false
	}
	return true
}

func (c *forwardedCount) end() { c.open.Add(-1) }

type responseControllerKey struct{}

// withResponseController is middleware that lets handlers of streams set write deadlines.
func withResponseController(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), responseControllerKey{}, http.NewResponseController(w))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Forward implements exchangev1.ExchangeHandler. The request has been admitted by the node that
// forwards it; this node only checks whether it can serve it.
func (s exchangeServer) Forward(ctx context.Context, req *connect.Request[exchangev1.ForwardRequest], stream *connect.ServerStream[exchangev1.ForwardResponse]) error {
	n := s.n
	sink := &forwardSink{stream: stream}
	sink.controller, _ = ctx.Value(responseControllerKey{}).(*http.ResponseController)
	r, cause := n.readForwarded(ctx, req.Msg)
	if cause != "" {
		return sink.decline(cause)
	}
	ctx, tracked := n.gate.Admit(ctx)
	if tracked == nil {
		return sink.decline("this node has stopped")
	}
	defer tracked.End()
	tracked.Identify(r.ID)
	tracked.Bound(r.Deadline, func() drain.LongestRun { return n.relay.LongestRun(r.Service, r.Route, r.Size) })
	if refusal := tracked.RefuseLate(); refusal != nil {
		return sink.decline(refusal.Message)
	}
	r.Tracked = tracked
	if !n.forwarded.begin() {
		return sink.decline("this node serves too many requests for others")
	}
	defer n.forwarded.end()
	if !n.bodyMemory.Reserve(int64(len(r.Body))) {
		return sink.decline("too many large bodies at a time")
	}
	defer n.bodyMemory.Release(int64(len(r.Body)))
	result := n.relay.Serve(ctx, r, sink)
	metrics.Count("forwarded_served")
	n.logForwarded(req.Msg.GetNode(), r, &result)
	switch {
	case refusedAsLeaving(&result) && !sink.begun:
		// Another node can serve a request that has not run.
		return sink.decline(result.Refusal.Message)
	case errors.Is(context.Cause(ctx), drain.ErrStopped) && (result.Broken || result.Refusal != nil):
		// The node that forwarded the request decides whether it may run again.
		return connect.NewError(connect.CodeUnavailable, drain.ErrStopped)
	}
	return sink.send(&exchangev1.ForwardResponse{Part: &exchangev1.ForwardResponse_End{End: endMessage(&result)}})
}

// refusedAsLeaving reports whether a request has not run because this node is leaving.
func refusedAsLeaving(result *relay.Result) bool {
	r := result.Refusal
	return r != nil && r.Reason == crocusreel.ReasonShuttingDown && r.Outcome == crocusreel.OutcomeNotRun
}

// readForwarded returns the request of a message, or why this node does not serve it.
func (n *Node) readForwarded(ctx context.Context, m *exchangev1.ForwardRequest) (r *relay.Request, declined string) {
	now := time.Now()
	deadline, limited := ctx.Deadline()
	if !limited {
		return nil, "the call has no timeout"
	}
	known, _ := n.config.Current()
	if known.Table == nil || !n.ready() && !n.gate.Leaving() {
		return nil, "this node is not ready"
	}
	service := known.Table.Services[m.GetService()]
	if service == nil {
		return nil, "service " + m.GetService() + " is not configured here"
	}
	if n.reach.Verdict(service.Name) == reach.Lost {
		return nil, "this node reaches no endpoint of service " + service.Name
	}
	remaining := deadline.Sub(now)
	margin := min(forwardMargin, time.Duration(forwardMarginShare*float64(remaining)))
	r = &relay.Request{
		ID: m.GetId(), Method: m.GetMethod(), Target: m.GetTarget(), Host: m.GetHost(), Header: readHeader(m.GetHeaders()), Body: m.GetBody(),
		Service: service, Route: readRoute(m.GetRoute()), Workspace: readWorkspace(m.GetWorkspace()),
		ConfigVersion: m.GetConfigVersion(),
		Received:      now.Add(-time.Duration(m.GetElapsedUs()) * time.Microsecond),
		Deadline:      deadline.Add(-margin),
		Size:          relay.Size{Prompt: int(m.GetPromptTokens()), MaxOutput: int(m.GetMaxOutputTokens()), Hint: int(m.GetLengthHint())},
		Fingerprint:   relay.Fingerprint(m.GetFingerprint()),
		Forwarded:     true,
		Counted:       m.GetCounted(),
		Runs:          int(m.GetRuns()),
		LastEvent:     m.GetLastEvent(),
		Resumes:       m.GetResumes(),
		Parts:         quarantine.PartsOf(m.GetPromptParts()),
	}
	return r, ""
}

func readRoute(m *exchangev1.ForwardRoute) *routing.Route {
	return &routing.Route{
		Name: m.GetName(), Kind: routing.Kind(m.GetKind()), TargetLatency: time.Duration(m.GetTargetLatencyMs()) * time.Millisecond,
		Priority: int(m.GetPriority()), MaxAttempts: int(m.GetMaxAttempts()), Regions: m.GetRegions(),
		Resumable: m.GetResumable(), GapTarget: time.Duration(m.GetGapTargetMs()) * time.Millisecond,
	}
}

func readWorkspace(m *exchangev1.ForwardWorkspace) *routing.Workspace {
	if m == nil {
		return nil
	}
	return &routing.Workspace{Name: m.GetName(), Priority: int(m.GetPriority()), Ranked: m.GetRanked(), Regions: m.GetRegions()}
}

// logForwarded logs the end of a request that this node has served for another one. The outcome for
// the caller is logged there.
func (n *Node) logForwarded(node string, r *relay.Request, result *relay.Result) {
	fields := []zap.Field{
		zap.String("request", r.ID), zap.String("for", node), zap.String("route", r.Route.Name), zap.String("endpoint", result.Endpoint),
		zap.Int("status", result.Status), zap.Int("attempts", result.Attempts), zap.Duration("waited", result.Waited),
		zap.Bool("broken", result.Broken), zap.String("detail", result.Detail), zap.Int64("config_version", r.ConfigVersion),
	}
	if result.Runs > 1 || result.ResumedAt != nil {
		fields = append(fields, zap.Int("runs", result.Runs), zap.Int64p("resumed_at", result.ResumedAt))
	}
	if result.Refusal != nil {
		fields = append(fields, zap.String("reason", string(result.Refusal.Reason)), zap.String("outcome", string(result.Refusal.Outcome)))
	}
	n.log.Info("request of another node ended", append(fields, r.Tracked.LogFields()...)...)
}

// endMessage returns the message for the end of a request.
func endMessage(result *relay.Result) *exchangev1.ForwardEnd {
	end := &exchangev1.ForwardEnd{
		Broken: result.Broken, Endpoint: result.Endpoint, Attempts: uint32(result.Attempts), Moves: uint32(result.Moves),
		Events: uint32(result.Events), WaitedUs: uint64(max(result.Waited.Microseconds(), 0)), Detail: result.Detail,
		Runs: uint32(result.Runs),
	}
	if r := result.Refusal; r != nil {
		end.Refusal = &exchangev1.ForwardRefusal{
			Reason: string(r.Reason), Outcome: string(r.Outcome), RetryAfterMs: uint32(r.RetryAfter.Milliseconds()), Message: r.Message,
		}
	}
	return end
}

// forwardSink is a relay.Sink that sends the answer to the node that forwarded the request.
type forwardSink struct {
	stream     *connect.ServerStream[exchangev1.ForwardResponse]
	controller *http.ResponseController
	begun      bool
}

// Begin implements relay.Sink.
func (s *forwardSink) Begin(status int, header http.Header) error {
	s.begun = true
	return s.send(&exchangev1.ForwardResponse{Part: &exchangev1.ForwardResponse_Head{Head: &exchangev1.AnswerHead{
		Status: uint32(status), Headers: headerMessages(header),
	}}})
}

// Write implements relay.Sink.
func (s *forwardSink) Write(part []byte) error {
	return s.send(&exchangev1.ForwardResponse{Part: &exchangev1.ForwardResponse_Body{Body: part}})
}

// Begun implements relay.Sink.
func (s *forwardSink) Begun() bool { return s.begun }

func (s *forwardSink) decline(cause string) error {
	metrics.Count("forwarded_declined")
	return s.send(&exchangev1.ForwardResponse{Part: &exchangev1.ForwardResponse_Declined{Declined: cause}})
}

// send sends one part of the answer. The deadline is removed afterwards: it would end the stream also
// while there is nothing to write.
func (s *forwardSink) send(m *exchangev1.ForwardResponse) error {
	if s.controller != nil {
		if err := s.controller.SetWriteDeadline(time.Now().Add(forwardWriteTimeout)); err != nil {
			return eris.Wrap(err, "forward")
		}
		defer func() {
			if err := s.controller.SetWriteDeadline(time.Time{}); err != nil {
				metrics.Count("forward_deadline_kept")
			}
		}()
	}
	return s.stream.Send(m)
}
