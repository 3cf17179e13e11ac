package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/crocusreel/crocusreel"
)

// maxResponseBytes is the maximum size of a response that is not streamed.
const maxResponseBytes = 64 << 20

// maxHeaderBytes limits the size of the header of a response.
const maxHeaderBytes = 64 << 10

// Complete runs a generation and returns its complete answer. If an idempotent generation fails
// midway, Complete starts it again and discards the tokens of the failed one. It fails with the
// same errors as Generate.
func (c *Client) Complete(ctx context.Context, req Request) (Answer, error) {
	req.RequestOptions = req.withKey()
	tries := c.newAttempts(req.RequestOptions)
	for {
		answer, err := c.completeOnce(ctx, req, tries)
		if err == nil {
			return answer, nil
		}
		if !restartable(err, req.NonIdempotent) || !tries.waitForNext(ctx, "", err) {
			return Answer{}, err
		}
		c.counters.restarts.Add(1)
	}
}

// completeOnce collects the tokens of a single generation.
func (c *Client) completeOnce(ctx context.Context, req Request, tries *attempts) (Answer, error) {
	stream, err := c.generate(ctx, req, tries)
	if err != nil {
		return Answer{}, err
	}
	defer stream.Close()
	var text strings.Builder
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return Answer{}, &midStreamError{err}
		}
		text.WriteString(token.Text)
	}
	answer := stream.Answer()
	answer.Text = text.String()
	return answer, nil
}

// midStreamError wraps an error that occurred after the generation had started.
type midStreamError struct{ error }

// Unwrap returns the cause.
func (e *midStreamError) Unwrap() error { return e.error }

// restartable reports whether the answer may be generated again after err. This excludes errors
// from before the start of the generation, which have already been retried.
func restartable(err error, nonIdempotent bool) bool {
	var mid *midStreamError
	return !nonIdempotent && errors.As(err, &mid)
}

// wireAnswer is the body of a completion or chat completion that is not streamed.
type wireAnswer struct {
	Choices []struct {
		Text    string `json:"text"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// readStoredResult reads an answer that the gateway sent in one piece in place of a stream. This is
// the stored result of an earlier run with the same idempotency key.
func (s *Stream) readStoredResult(res *http.Response) error {
	defer res.Body.Close()
	gateway := res.Request.URL.Host
	body, err := readWhole(res.Body)
	if err != nil {
		return &GatewayLostError{Outcome: crocusreel.OutcomeUnknown, Gateway: gateway, Cause: err}
	}
	var answer wireAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return &GatewayLostError{Outcome: crocusreel.OutcomeUnknown, Gateway: gateway, Cause: err}
	}
	if len(answer.Choices) == 0 {
		return &GatewayLostError{Outcome: crocusreel.OutcomeUnknown, Gateway: gateway, Cause: errors.New("response contains no choices")}
	}
	choice := answer.Choices[0]
	s.storedText = choice.Text + choice.Message.Content
	s.answer.FinishReason = choice.FinishReason
	s.complete = true
	return nil
}
