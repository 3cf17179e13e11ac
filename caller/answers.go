package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/api"
)

// format selects the JSON format of an answer: text completion or chat completion.
type format int

const (
	formatCompletion format = iota
	formatChat
)

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// answer is the body of a completion or chat completion, or one chunk of a streamed one.
type answer struct {
	ID        string         `json:"id"`
	Object    string         `json:"object"`
	Created   int64          `json:"created"`
	Model     string         `json:"model"`
	Choices   []choice       `json:"choices"`
	Usage     *usage         `json:"usage,omitempty"`
	Extension *api.Extension `json:"crocusreel,omitempty"`
}

func newUsage(f Finish) *usage {
	return &usage{PromptTokens: f.PromptTokens, CompletionTokens: f.Tokens, TotalTokens: f.PromptTokens + f.Tokens}
}

// bufferedSink buffers an answer until it is complete.
type bufferedSink struct {
	model    string
	endpoint string
	text     strings.Builder
	finish   Finish
}

// Begin implements Sink.
func (k *bufferedSink) Begin(b Begin) error {
	k.endpoint = b.Endpoint
	if b.Model != "" {
		k.model = b.Model
	}
	k.text.Reset()
	return nil
}

// Token implements Sink.
func (k *bufferedSink) Token(_ int, text string) error {
	k.text.WriteString(text)
	return nil
}

// Finish implements Sink.
func (k *bufferedSink) Finish(f Finish) error {
	k.finish = f
	return nil
}

// bufferAnswer runs a generation and writes its answer as one JSON body.
func (s *server) bufferAnswer(c echo.Context, f format, model string, run func(Sink) *crocusreel.Refusal) error {
	sink := &bufferedSink{model: model}
	if refusal := run(sink); refusal != nil {
		return refusal
	}
	text := sink.text.String()
	ch := choice{FinishReason: &sink.finish.Reason}
	object := "text_completion"
	if f == formatChat {
		object = "chat.completion"
		ch.Message = &message{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	h := c.Response().Header()
	h.Set(api.HeaderEndpoint, sink.endpoint)
	h.Set(api.HeaderPreemptions, strconv.Itoa(sink.finish.Preemptions))
	return s.logWriteError(c, c.JSON(http.StatusOK, answer{
		ID: requestID(c), Object: object, Created: time.Now().Unix(), Model: sink.model,
		Choices: []choice{ch}, Usage: newUsage(sink.finish),
	}))
}

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *server) models(c echo.Context) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, m := range s.core.Models(workspaceOf(c)) {
		list.Data = append(list.Data, model{ID: m, Object: "model", OwnedBy: "crocusreel"})
	}
	return c.JSON(http.StatusOK, list)
}
