package tests

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/api"
	"github.com/crocusreel/crocusreel/internal/rig"
)

// request is one HTTP request that is sent to one gateway without a client library and without
// retries.
type request struct {
	gateway string
	method  string // default POST
	path    string
	body    any
	key     string // idempotency key
	attempt int    // 0 leaves the header out
	// nonIdempotent marks work that may run at most once.
	nonIdempotent bool
	callerKey     string // default rig.DefaultKey
	header        map[string]string
	// onStart is called with the endpoint's name before the first token of a stream is read.
	onStart func(endpoint string)
	// onToken is called for each token of a stream; returning false closes the connection.
	onToken func(index int) bool
}

// response is the response as the caller received it.
type response struct {
	// err is set if the connection broke without a typed error.
	err     error
	status  int
	header  http.Header
	body    []byte
	indexes []int
	texts   []string
	handle  string
	// done is set if a stream ended with [DONE].
	done bool
	// refusal is set if the response is a typed error or a stream ended with one.
	refusal *api.ErrorBody
}

// transport keeps no connections alive, so that each request is subject to the current state of the
// links.
var transport = &http.Transport{DisableKeepAlives: true}

func send(ctx context.Context, q request) response {
	text, err := json.Marshal(q.body)
	if err != nil {
		return response{err: err}
	}
	if raw, ok := q.body.(string); ok {
		text = []byte(raw)
	}
	method := q.method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+q.gateway+q.path, bytes.NewReader(text))
	if err != nil {
		return response{err: err}
	}
	q.setHeaders(req.Header)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	s := response{status: resp.StatusCode, header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		if q.onStart != nil {
			q.onStart(resp.Header.Get(api.HeaderEndpoint))
		}
		s.readStream(resp.Body, q.onToken)
	} else {
		s.readBody(resp.Body)
	}
	return s
}

func (q request) setHeaders(h http.Header) {
	key := q.callerKey
	if key == "" {
		key = rig.DefaultKey
	}
	h.Set("Authorization", "Bearer "+key)
	h.Set("Content-Type", "application/json")
	if q.key != "" {
		h.Set(api.HeaderIdempotencyKey, q.key)
	}
	if q.attempt > 0 {
		h.Set(api.HeaderAttempt, strconv.Itoa(q.attempt))
	}
	if q.nonIdempotent {
		h.Set(api.HeaderIdempotent, "false")
	}
	for name, value := range q.header {
		h.Set(name, value)
	}
}

func (s *response) readBody(body io.Reader) {
	s.body, s.err = io.ReadAll(body)
	var refusal api.ErrorBody
	if s.err == nil && s.status >= http.StatusBadRequest && json.Unmarshal(s.body, &refusal) == nil && refusal.Reason != "" {
		s.refusal = &refusal
	}
}

// chunk is one event of a stream.
type chunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Extension struct {
		Handle string `json:"handle"`
		Index  int    `json:"index"`
	} `json:"crocusreel"`
}

func (s *response) readStream(body io.Reader, onToken func(int) bool) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	failed := false
	for lines.Scan() {
		line := lines.Text()
		if line == "event: error" {
			failed = true
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if !s.readEvent(data, failed, onToken) {
			return
		}
	}
	if !s.done && s.refusal == nil {
		s.err = fmt.Errorf("stream ended without [DONE] or error event after %d tokens: %v", len(s.indexes), lines.Err())
	}
}

// readEvent processes one event and returns false once no more events are to be read.
func (s *response) readEvent(data string, failed bool, onToken func(int) bool) bool {
	if failed {
		s.refusal = new(api.ErrorBody)
		s.err = json.Unmarshal([]byte(data), s.refusal)
		return false
	}
	if data == "[DONE]" {
		s.done = true
		return false
	}
	var c chunk
	if s.err = json.Unmarshal([]byte(data), &c); s.err != nil || len(c.Choices) != 1 {
		return false
	}
	if c.Extension.Handle != "" {
		s.handle = c.Extension.Handle
	}
	if c.Choices[0].FinishReason != nil {
		return true
	}
	s.indexes = append(s.indexes, c.Extension.Index)
	s.texts = append(s.texts, c.Choices[0].Text)
	return onToken == nil || onToken(c.Extension.Index)
}

// completion is the request body of a generation.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
}

// generationRequest returns a request for a stream of n tokens from model m.
func generationRequest(gateway, prompt string, n int) request {
	return request{
		gateway: gateway, path: "/v1/completions",
		body: completion{Model: "m", Prompt: fmt.Sprintf("%s [[len=%d]]", prompt, n), Stream: true},
	}
}

// bookingRequest returns a non-idempotent call that books a bed.
func bookingRequest(gateway, key string, attempt int) request {
	return request{gateway: gateway, path: "/services/beds/book", body: "bed 7", key: key, attempt: attempt}
}

func resumeRequest(gateway, handle string, next int) request {
	return request{gateway: gateway, path: "/v1/resume", body: map[string]any{"handle": handle, "next_index": next}}
}

// sendAsync sends a request in the background.
func sendAsync(ctx context.Context, q request) <-chan response {
	result := make(chan response, 1)
	go func() { result <- send(ctx, q) }()
	return result
}

// expectContiguous checks that the tokens belong to one generation and are contiguous from index
// first on, without gap or repeat. The text of each token names its generation and index.
func expectContiguous(s response, first int) {
	generation := ""
	for i, text := range s.texts {
		want := first + i
		Expect(s.indexes[i]).To(Equal(want), "index of token %d in %v", i, s.indexes)
		id, index, found := strings.Cut(strings.TrimSpace(text), ".")
		Expect(found).To(BeTrue(), "token text %q does not have the form GENERATION.INDEX", text)
		Expect(index).To(Equal(strconv.Itoa(want)), "token text %q at index %d", text, want)
		if generation == "" {
			generation = id
		}
		Expect(id).To(Equal(generation), "tokens of two generations in one response")
	}
}

// expectComplete checks that the response is complete and consists of n tokens of one generation.
func expectComplete(s response, n int) {
	Expect(s.err).NotTo(HaveOccurred())
	Expect(s.refusal).To(BeNil())
	Expect(s.done).To(BeTrue())
	expectContiguous(s, 0)
	Expect(s.texts).To(HaveLen(n))
}

// generationOf returns the generation named in the text of the first token.
func generationOf(s response) string {
	Expect(s.texts).NotTo(BeEmpty())
	id, _, _ := strings.Cut(s.texts[0], ".")
	return id
}
