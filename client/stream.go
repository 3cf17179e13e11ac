package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/openai/openai-go/v3/packages/ssestream"
	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/api"
)

// resumePath is the path of the request that resumes a stream.
const resumePath = "/v1/resume"

// Stream returns the tokens of one generation in order. If the connection to its gateway fails, it
// resumes the same generation at another gateway. It is not safe for concurrent use.
type Stream struct {
	client  *Client
	ctx     context.Context
	cancel  context.CancelFunc
	tries   *attempts
	request Request

	// conn is nil while no gateway carries the stream.
	conn   *connection
	handle string
	// nextIndex is the index of the next token to return.
	nextIndex int
	answer    Answer
	// complete is set once the end of the answer has been received.
	complete bool
	// storedText is the text of a stored result that was sent in one piece, until Next returns it.
	storedText string
	// err is the final error, which every later call of Next returns.
	err error
}

// connection is one HTTP exchange that carries a stream or a part of it.
type connection struct {
	gateway string
	decoder ssestream.Decoder
	cancel  context.CancelFunc
	// release ends the exchange in the address book.
	release func()
	// watchdog cancels the exchange if no event arrives within StallTimeout.
	watchdog *time.Timer
}

func (c *connection) close() {
	c.watchdog.Stop()
	c.cancel()
	_ = c.decoder.Close()
	c.release()
}

// Generate starts a generation and returns its stream. The caller must read the stream until Next
// returns an error, or call Close. Generate retries until a gateway sends the start of the answer.
// It fails with a *crocusreel.Refusal, a *GatewayLostError, or the error of ctx.
func (c *Client) Generate(ctx context.Context, req Request) (*Stream, error) {
	req.RequestOptions = req.withKey()
	return c.generate(ctx, req, c.newAttempts(req.RequestOptions))
}

func (c *Client) generate(ctx context.Context, req Request, tries *attempts) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{client: c, ctx: ctx, cancel: cancel, tries: tries, request: req}
	if err := s.start(); err != nil {
		cancel()
		return nil, err
	}
	return s, nil
}

// start sends the request, with retries, until a gateway answers with a stream or a stored result.
func (s *Stream) start() error {
	path, body, err := s.request.encode(true)
	if err != nil {
		return err
	}
	for {
		header := http.Header{"Content-Type": {"application/json"}}
		s.request.RequestOptions.setCommonHeaders(header, s.tries.number)
		s.request.setGenerationHeaders(header)
		gateway, err := s.open(path, header, body)
		if err == nil {
			return nil
		}
		if !s.tries.waitForNext(s.ctx, gateway, err) {
			return s.finalError(err)
		}
	}
}

// finalError returns the error that the caller gets for err. If the caller's context has ended, the
// exchange failed for that reason, and finalError returns the context's error unless err is a
// refusal.
func (s *Stream) finalError(err error) error {
	if s.ctx.Err() != nil {
		var refusal *crocusreel.Refusal
		if !errors.As(err, &refusal) {
			return eris.Wrap(s.ctx.Err(), "client: request ended by the caller's context")
		}
	}
	return s.tries.correctOutcome(err)
}

// open sends one request and sets the stream's connection from the response. It also returns the
// gateway that it used, which is empty if there was none.
func (s *Stream) open(path string, header http.Header, body []byte) (gateway string, err error) {
	gateway, release, err := s.client.addresses.pick(s.ctx, s.tries.failedGateways)
	if err != nil {
		return "", &GatewayLostError{Outcome: crocusreel.OutcomeNotRun, Gateway: "none", Cause: err}
	}
	ctx, cancel := context.WithCancel(s.ctx)
	// A gateway whose process hangs keeps its connections open and sends nothing. Without this
	// timer the caller would wait forever, although other gateways work.
	watchdog := time.AfterFunc(s.client.opts.StartTimeout, cancel)
	res, err := s.client.send(ctx, http.MethodPost, s.client.url(gateway, path), header, body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = decodeRefusal(res)
		_ = res.Body.Close()
	}
	if err != nil {
		watchdog.Stop()
		cancel()
		release()
		return gateway, err
	}
	s.answer.RequestID = res.Header.Get(api.HeaderRequestID)
	if !strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		defer release()
		defer cancel()
		defer watchdog.Stop()
		return gateway, s.readStoredResult(res)
	}
	watchdog.Stop()
	s.conn = &connection{
		gateway:  gateway,
		decoder:  ssestream.NewDecoder(res),
		cancel:   cancel,
		release:  release,
		watchdog: watchdog,
	}
	return gateway, nil
}

// Next returns the next token. It returns io.EOF after the last token of a complete answer; any
// other error is final and means that the answer is incomplete. A stored result of an earlier run
// is returned as a single token.
func (s *Stream) Next() (Token, error) {
	for s.err == nil && !s.complete {
		if s.conn == nil {
			s.err = s.resume()
			continue
		}
		token, ok, err := s.readEvent()
		if err != nil {
			s.handleError(err)
			continue
		}
		if ok {
			return token, nil
		}
	}
	s.closeConnection()
	if s.err != nil {
		return Token{}, s.err
	}
	if s.storedText != "" {
		token := Token{Text: s.storedText}
		s.storedText = ""
		return token, nil
	}
	return Token{}, io.EOF
}

// handleError closes the connection after an error. A refusal ends the stream. After a
// *GatewayLostError, it waits for the next attempt, in which Next resumes the stream, or ends the
// stream if there is none left.
func (s *Stream) handleError(err error) {
	gateway := s.conn.gateway
	s.closeConnection()
	var lost *GatewayLostError
	if !errors.As(err, &lost) || s.ctx.Err() != nil {
		s.err = s.finalError(err)
		return
	}
	if !s.tries.waitForNext(s.ctx, gateway, err) {
		s.err = s.finalError(err)
	}
}

// closeConnection closes the connection, if there is one.
func (s *Stream) closeConnection() {
	if s.conn != nil {
		s.conn.close()
		s.conn = nil
	}
}

// resume continues the generation at any gateway, with retries. If there is no handle, no token has
// been received yet, and the request is sent again under its idempotency key.
func (s *Stream) resume() error {
	if s.handle == "" {
		return s.start()
	}
	body, err := json.Marshal(api.ResumeRequest{Handle: s.handle, NextIndex: s.nextIndex})
	if err != nil {
		return eris.Wrap(err, "client: encode resume request")
	}
	for {
		header := http.Header{"Content-Type": {"application/json"}}
		gateway, err := s.open(resumePath, header, body)
		if err == nil {
			s.client.counters.resumes.Add(1)
			return nil
		}
		var refusal *crocusreel.Refusal
		if errors.As(err, &refusal) && refusal.Reason == crocusreel.ReasonGenerationLost {
			return err
		}
		if !s.tries.waitForNext(s.ctx, gateway, err) {
			return s.finalError(err)
		}
	}
}

// Answer returns the data of the answer other than its text, as far as received. It is complete
// once Next has returned io.EOF.
func (s *Stream) Answer() Answer { return s.answer }

// Gateway returns the address of the gateway that carries the stream, or "" if there is none at the
// moment.
func (s *Stream) Gateway() string {
	if s.conn == nil {
		return ""
	}
	return s.conn.gateway
}

// Handle returns the handle with which the generation can be resumed at any gateway. It is empty
// before the first token.
func (s *Stream) Handle() string { return s.handle }

// Close ends the stream. If the answer is incomplete, this abandons the generation. It always
// returns nil.
func (s *Stream) Close() error {
	s.closeConnection()
	s.cancel()
	return nil
}
