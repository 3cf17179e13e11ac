package client

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/api"
)

// Message is one message of a chat, as in the OpenAI API.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// RequestOptions holds the options that generations and calls have in common.
type RequestOptions struct {
	// Key is the idempotency key. If it is empty, the client generates one and uses it for all
	// attempts.
	Key string
	// NonIdempotent marks work that must run at most once.
	NonIdempotent bool
	// Resent means that the caller has sent this key before, in an earlier call. The attempts are
	// then numbered from 2, since none of them is the first under the key.
	Resent   bool
	Priority crocusreel.Priority
	// Deadline is the time from the start of each attempt within which the answer is useful; 0
	// means no deadline.
	Deadline time.Duration
}

// Request describes one generation.
type Request struct {
	RequestOptions
	Model string
	// Prompt is used if Messages is empty.
	Prompt   string
	Messages []Message
	// MaxTokens is the maximum length of the answer in tokens; 0 leaves the limit to the service.
	MaxTokens int
	Class     crocusreel.Class
	// LengthHint is the length of the answer in tokens for the oracle policy, which exists for
	// measurements only; 0 means no hint.
	LengthHint int
}

// Token is one token of an answer.
type Token struct {
	// Index is the position in the answer, counted from 0.
	Index int
	Text  string
}

// Answer is the complete answer to a Request.
type Answer struct {
	Text string
	// Tokens is the length in tokens; 0 if the gateway sent the stored result of an earlier run.
	Tokens       int
	FinishReason string
	// Preemptions counts how often the engine preempted the generation.
	Preemptions int
	// RequestID is the request's ID at the gateway that sent the end of the answer.
	RequestID string
}

// wireRequest is the JSON body of completions and chat completions.
type wireRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
}

// encode returns the path and the JSON body of a request.
func (r Request) encode(stream bool) (path string, body []byte, err error) {
	path = "/v1/completions"
	if len(r.Messages) > 0 {
		path = "/v1/chat/completions"
	}
	body, err = json.Marshal(wireRequest{
		Model:     r.Model,
		Prompt:    r.Prompt,
		Messages:  r.Messages,
		MaxTokens: r.MaxTokens,
		Stream:    stream,
	})
	return path, body, eris.Wrap(err, "client: encode request")
}

// setGenerationHeaders sets the headers that only generations have.
func (r Request) setGenerationHeaders(h http.Header) {
	if r.Class != "" {
		h.Set(api.HeaderClass, string(r.Class))
	}
	if r.LengthHint > 0 {
		h.Set(api.HeaderLengthHint, strconv.Itoa(r.LengthHint))
	}
}

// setCommonHeaders sets the headers that generations and calls have in common. attempt is counted
// from 1.
func (m RequestOptions) setCommonHeaders(h http.Header, attempt int) {
	h.Set(api.HeaderIdempotencyKey, m.Key)
	if m.Resent {
		attempt++
	}
	h.Set(api.HeaderAttempt, strconv.Itoa(attempt))
	if m.NonIdempotent {
		h.Set(api.HeaderIdempotent, "false")
	}
	if m.Priority != 0 {
		h.Set(api.HeaderPriority, strconv.Itoa(int(m.Priority)))
	}
	if m.Deadline > 0 {
		h.Set(api.HeaderDeadline, strconv.FormatInt(m.Deadline.Milliseconds(), 10))
	}
}

// withKey returns m with a generated idempotency key if it has none.
func (m RequestOptions) withKey() RequestOptions {
	if m.Key == "" {
		m.Key = uuid.NewString()
	}
	return m
}
