package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/api"
)

// completionRequest is the body of POST /v1/completions. Other fields of the OpenAI API are accepted
// and ignored.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// chatRequest is the body of POST /v1/chat/completions.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *server) completions(c echo.Context) error {
	var req completionRequest
	body, err := readJSON(c, &req)
	if err != nil {
		return err
	}
	g := Generation{Model: req.Model, Prompt: req.Prompt, MaxTokens: req.MaxTokens}
	return s.generate(c, body, g, formatCompletion, req.Stream)
}

func (s *server) chat(c echo.Context) error {
	var req chatRequest
	body, err := readJSON(c, &req)
	if err != nil {
		return err
	}
	if len(req.Messages) == 0 {
		return refuseNotRun(crocusreel.ReasonBadRequest, "messages: at least one is needed")
	}
	g := Generation{
		Model:     req.Model,
		Prompt:    joinMessages(req.Messages),
		MaxTokens: max(req.MaxTokens, req.MaxCompletionTokens),
	}
	return s.generate(c, body, g, formatChat, req.Stream)
}

func readJSON(c echo.Context, into any) ([]byte, error) {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return nil, refuseNotRun(crocusreel.ReasonBadRequest, "body: %v", err)
	}
	return body, nil
}

func joinMessages(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

func (s *server) generate(c echo.Context, body []byte, g Generation, f format, stream bool) error {
	if err := readGeneration(c, body, &g); err != nil {
		return err
	}
	ctx, cancel, err := deadlineContext(c)
	if err != nil {
		return err
	}
	defer cancel()
	release, refusal := s.core.AcquireSlot(g.Workspace)
	if refusal != nil {
		return refusal
	}
	defer release()
	g.Restartable = !stream
	run := func(sink Sink) *crocusreel.Refusal { return s.core.Generate(ctx, g, sink) }
	if stream {
		return s.streamAnswer(c, f, g.Model, run)
	}
	return s.bufferAnswer(c, f, g.Model, run)
}

func readGeneration(c echo.Context, body []byte, g *Generation) error {
	a, err := readAttempt(c, body)
	if err != nil {
		return err
	}
	g.Attempt = a
	h := c.Request().Header
	if g.Class, err = readClass(h); err != nil {
		return err
	}
	priority, err := intHeader(h, api.HeaderPriority, 0, int(crocusreel.MinPriority), int(crocusreel.MaxPriority))
	if err != nil {
		return err
	}
	g.Priority = crocusreel.Priority(priority)
	if g.LengthHint, err = intHeader(h, api.HeaderLengthHint, 0, 1, maxLengthHintTokens); err != nil {
		return err
	}
	if g.Model == "" {
		return refuseNotRun(crocusreel.ReasonBadRequest, "model: missing")
	}
	if g.MaxTokens < 0 {
		return refuseNotRun(crocusreel.ReasonBadRequest, "max_tokens: at least 0")
	}
	g.Model, g.Adapter, _ = strings.Cut(g.Model, ":")
	return nil
}

// deadlineContext returns the request's context, limited by the deadline header if the caller sent
// one. It must be called after the body has been read.
func deadlineContext(c echo.Context) (context.Context, context.CancelFunc, error) {
	d, err := readDeadline(c.Request().Header)
	if err != nil {
		return nil, nil, err
	}
	// The read deadline that limitBody set for the body must be cleared, since on expiry it would
	// cancel the request.
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Time{})
	if d == 0 {
		ctx, cancel := context.WithCancel(c.Request().Context())
		return ctx, cancel, nil
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), d)
	return ctx, cancel, nil
}

func (s *server) resume(c echo.Context) error {
	var req api.ResumeRequest
	if _, err := readJSON(c, &req); err != nil {
		return err
	}
	if req.NextIndex < 0 {
		return refuseNotRun(crocusreel.ReasonBadRequest, "next_index: at least 0")
	}
	ctx, cancel, err := deadlineContext(c)
	if err != nil {
		return err
	}
	defer cancel()
	ws := workspaceOf(c)
	release, refusal := s.core.AcquireSlot(ws)
	if refusal != nil {
		return refusal
	}
	defer release()
	f := formatCompletion
	if req.Chat {
		f = formatChat
	}
	r := Resume{RequestID: requestID(c), Workspace: ws, Handle: req.Handle, NextIndex: req.NextIndex}
	return s.streamAnswer(c, f, "", func(sink Sink) *crocusreel.Refusal { return s.core.Resume(ctx, r, sink) })
}
