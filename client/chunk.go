package client

import (
	"encoding/json"
	"io"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/api"
)

// wireChunk is one chunk of a streamed completion or chat completion.
type wireChunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Extension api.Extension `json:"crocusreel"`
}

// readEvent waits for one event and processes it. ok is false for an event without a new token.
func (s *Stream) readEvent() (token Token, ok bool, err error) {
	// The timer runs only while readEvent waits for an event, so that a caller that is slow to ask
	// for the next token does not cause a timeout.
	s.conn.watchdog.Reset(s.client.opts.StallTimeout)
	more := s.conn.decoder.Next()
	s.conn.watchdog.Stop()
	if !more {
		cause := s.conn.decoder.Err()
		if cause == nil {
			cause = io.ErrUnexpectedEOF
		}
		return Token{}, false, s.lostError(cause)
	}
	event := s.conn.decoder.Event()
	data := strings.TrimSpace(string(event.Data))
	if event.Type == api.ErrorEvent {
		return Token{}, false, parseRefusal(event.Data, "malformed error event")
	}
	if data == api.DoneMarker {
		return Token{}, false, s.handleEnd()
	}
	return s.handleChunk([]byte(data))
}

// handleChunk decodes one chunk and checks that it continues the answer. It drops a repeated token.
// A gap is returned as a *GatewayLostError, so that the stream is resumed from the first missing
// token.
func (s *Stream) handleChunk(data []byte) (Token, bool, error) {
	var chunk wireChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Token{}, false, s.lostError(eris.Wrap(err, "malformed stream chunk"))
	}
	if s.handle == "" {
		s.handle = chunk.Extension.Handle
	}
	if n := chunk.Extension.Preemptions; n != nil {
		s.answer.Preemptions = *n
	}
	if len(chunk.Choices) == 0 {
		return Token{}, false, nil
	}
	choice := chunk.Choices[0]
	index := chunk.Extension.Index
	if choice.FinishReason != "" {
		s.answer.FinishReason = choice.FinishReason
	}
	text := choice.Text + choice.Delta.Content
	if index == nil || (text == "" && choice.FinishReason != "") {
		return Token{}, false, s.checkLength(choice.FinishReason, index)
	}
	if *index < s.nextIndex {
		return Token{}, false, nil
	}
	if *index > s.nextIndex {
		return Token{}, false, s.lostError(eris.Errorf("gap in stream: got token %d, want token %d", *index, s.nextIndex))
	}
	s.nextIndex++
	return Token{Index: *index, Text: text}, true, nil
}

// checkLength compares the length of the answer, which is the index of the chunk with the finish
// reason, with the number of tokens received. If tokens are missing, it returns a
// *GatewayLostError, so that the stream is resumed.
func (s *Stream) checkLength(finish string, index *int) error {
	if finish == "" || index == nil || *index <= s.nextIndex {
		return nil
	}
	s.answer.FinishReason = ""
	return s.lostError(eris.Errorf("answer truncated: its length is %d tokens, received %d", *index, s.nextIndex))
}

// handleEnd processes the end marker. It accepts the marker only after a finish reason, because the
// answer may have been truncated otherwise.
func (s *Stream) handleEnd() error {
	if s.answer.FinishReason == "" {
		return s.lostError(eris.New("stream ended without a finish reason"))
	}
	s.complete = true
	s.answer.Tokens = s.nextIndex
	return nil
}

func (s *Stream) lostError(cause error) error {
	return &GatewayLostError{Outcome: crocusreel.OutcomeUnknown, Gateway: s.conn.gateway, Cause: cause}
}
