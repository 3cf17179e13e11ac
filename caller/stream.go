package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/api"
)

// streamSink writes an answer as server-sent events.
type streamSink struct {
	c       echo.Context
	timeout time.Duration
	format  format
	model   string
	created int64
	handle  string
	started bool
}

// streamAnswer runs a generation and streams its answer as server-sent events. A refusal before the
// first event is returned; after it, the refusal ends the stream as an error event.
func (s *server) streamAnswer(c echo.Context, f format, model string, run func(Sink) *crocusreel.Refusal) error {
	sink := &streamSink{c: c, timeout: s.opts.WriteTimeout, format: f, model: model, created: time.Now().Unix()}
	refusal := run(sink)
	if refusal == nil {
		return nil
	}
	if !sink.started {
		return refusal
	}
	s.recordRefusal(c, refusal)
	body, err := json.Marshal(api.NewErrorBody(refusal))
	if err != nil {
		return err
	}
	// A write error means that the caller has disconnected. The refusal is already logged.
	_ = sink.write("event: "+api.ErrorEvent+"\ndata: ", body)
	return nil
}

// Begin implements Sink. The headers are sent with the first event.
func (k *streamSink) Begin(b Begin) error {
	if b.Model != "" {
		k.model = b.Model
	}
	k.handle = b.Handle
	h := k.c.Response().Header()
	h.Set(api.HeaderEndpoint, b.Endpoint)
	h.Set(echo.HeaderContentType, "text/event-stream")
	h.Set(echo.HeaderCacheControl, "no-store")
	return nil
}

// Token implements Sink.
func (k *streamSink) Token(index int, text string) error {
	ch := choice{}
	if k.format == formatChat {
		ch.Delta = &message{Content: text}
		if index == 0 {
			ch.Delta.Role = "assistant"
		}
	} else {
		ch.Text = &text
	}
	a := k.chunk(ch, api.Extension{Index: &index, Handle: k.handle})
	k.handle = ""
	return k.event(a)
}

// Finish implements Sink.
func (k *streamSink) Finish(f Finish) error {
	ch := choice{FinishReason: &f.Reason}
	if k.format == formatChat {
		ch.Delta = &message{}
	} else {
		ch.Text = new(string)
	}
	a := k.chunk(ch, api.Extension{Index: &f.Tokens, Preemptions: &f.Preemptions, Handle: k.handle})
	a.Usage = newUsage(f)
	if err := k.event(a); err != nil {
		return err
	}
	return k.write("data: ", []byte(api.DoneMarker))
}

func (k *streamSink) chunk(ch choice, ext api.Extension) answer {
	object := "text_completion"
	if k.format == formatChat {
		object = "chat.completion.chunk"
	}
	return answer{
		ID: requestID(k.c), Object: object, Created: k.created, Model: k.model,
		Choices: []choice{ch}, Extension: &ext,
	}
}

func (k *streamSink) event(a answer) error {
	data, err := json.Marshal(a)
	if err != nil {
		return err
	}
	return k.write("data: ", data)
}

// write sends one event in a single write, so that callers do not receive partial events, and
// flushes it.
func (k *streamSink) write(prefix string, data []byte) error {
	var b bytes.Buffer
	b.Grow(len(prefix) + len(data) + 2)
	b.WriteString(prefix)
	b.Write(data)
	b.WriteString("\n\n")
	w := k.c.Response()
	setWriteDeadline(k.c, k.timeout)
	if !k.started {
		w.WriteHeader(http.StatusOK)
		k.started = true
	}
	if _, err := w.Write(b.Bytes()); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}
