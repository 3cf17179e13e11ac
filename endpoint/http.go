package endpoint

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/internal/httponce"
	"github.com/crocusreel/crocusreel/notice"
)

// Options of a client. Zero values take the defaults.
type Options struct {
	// ConnectTimeout bounds the TCP handshake. Default 1 second.
	ConnectTimeout time.Duration
	// StallTimeout is the longest wait for the next byte of an answer. Default for
	// engines 5 seconds: they send keep-alive bytes while they have no token. Default
	// for plain services none: they send nothing while they work, and the context of
	// a call bounds it.
	StallTimeout time.Duration
	// ProgressTimeout is the longest wait for the next frame of a stream, however
	// many keep-alive bytes come. Default 2 minutes: an engine may keep an answer
	// waiting for long when it is overloaded.
	ProgressTimeout time.Duration
	// MaxBody bounds a plain service's answer, in bytes. Default 16 MiB.
	MaxBody int64
	// Noticed takes what the endpoint says of itself in each answer; it must not block. Nil
	// for nobody.
	Noticed func(notice.Notice)
}

const (
	defaultConnectTimeout  = time.Second
	defaultStallTimeout    = 5 * time.Second
	defaultProgressTimeout = 2 * time.Minute
	defaultMaxBody         = 16 << 20
	// maxSmallAnswer bounds answers other than streams and service replies, in bytes.
	maxSmallAnswer = 8 << 20
)

func (o Options) withDefaults() Options {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.ProgressTimeout <= 0 {
		o.ProgressTimeout = defaultProgressTimeout
	}
	if o.MaxBody <= 0 {
		o.MaxBody = defaultMaxBody
	}
	return o
}

// wire sends requests to one endpoint and classifies failures.
type wire struct {
	base    string
	options Options
	http    *httponce.Client
}

func newWire(addr string, o Options) wire {
	o = o.withDefaults()
	return wire{
		base:    "http://" + addr,
		options: o,
		http:    httponce.New(httponce.Options{ConnectTimeout: o.ConnectTimeout}),
	}
}

// send sends a request and returns the answer with any status; its body fails once
// no byte came for the stall timeout.
func (w *wire) send(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, *Error) {
	ctx, cancel := context.WithCancelCause(ctx)
	req, err := httponce.NewRequest(ctx, method, w.base+path, body)
	if err != nil {
		cancel(nil)
		return nil, notRun(KindProtocol, err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	dog := newWatchdog(w.options.StallTimeout, cancel)
	dog.arm()
	resp, sent, err := w.http.Do(req)
	dog.disarm()
	if err != nil {
		defer cancel(nil)
		return nil, sendError(ctx, sent, err)
	}
	if w.options.Noticed != nil {
		w.options.Noticed(readNotice(resp.StatusCode, resp.Header))
	}
	resp.Body = &watchedBody{body: resp.Body, dog: dog, ctx: ctx, cancel: cancel}
	return resp, nil
}

// sendError classifies a request without an answer. Only a request of which no byte
// was written has certainly not run.
func sendError(ctx context.Context, sent bool, err error) *Error {
	if !sent {
		return notRun(KindUnreachable, err)
	}
	return unknown(lossKind(ctx), err)
}

func lossKind(ctx context.Context) ErrorKind {
	if eris.Is(context.Cause(ctx), errStalled) {
		return KindStalled
	}
	return KindLost
}

func notRun(kind ErrorKind, err error) *Error {
	return &Error{Outcome: crocusreel.OutcomeNotRun, Kind: kind, Cause: err}
}

func unknown(kind ErrorKind, err error) *Error {
	return &Error{Outcome: crocusreel.OutcomeUnknown, Kind: kind, Cause: err}
}

// call sends a request and reads a JSON answer into the given value, nil for none.
func (w *wire) call(ctx context.Context, method, path string, body, into any) error {
	resp, fail := w.sendJSON(ctx, method, path, body)
	if fail != nil {
		return fail
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := readAll(resp.Body, maxSmallAnswer)
	if err != nil {
		return err
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return unknown(KindProtocol, eris.Wrap(err, "decode answer"))
	}
	return nil
}

// sendJSON sends a JSON body (nil for none) and returns an answer with status 200.
func (w *wire) sendJSON(ctx context.Context, method, path string, body any) (*http.Response, *Error) {
	var data []byte
	header := http.Header{}
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, notRun(KindProtocol, eris.Wrap(err, "encode request"))
		}
		header.Set("Content-Type", "application/json")
	}
	resp, fail := w.send(ctx, method, path, header, data)
	if fail != nil {
		return nil, fail
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, statusError(resp)
}

// statusError maps an answer other than 200. Only the endpoint's own typed body can
// say that the work was not started: a bare status may come from something on the
// way, or from an endpoint that broke while the work ran.
func statusError(resp *http.Response) *Error {
	data, fail := readAll(resp.Body, maxSmallAnswer)
	if fail != nil {
		return fail
	}
	cause := eris.Errorf("status %d", resp.StatusCode)
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Kind == "" {
		return unknown(KindProtocol, cause)
	}
	cause = eris.Errorf("status %d: %s", resp.StatusCode, body.Message)
	switch body.Outcome {
	case crocusreel.OutcomeNotRun, crocusreel.OutcomeRan:
		return &Error{Outcome: body.Outcome, Kind: body.Kind, Cause: cause}
	default:
		return unknown(body.Kind, cause)
	}
}

// readAll reads a body of at most limit bytes.
func readAll(r io.Reader, limit int64) ([]byte, *Error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, readError(err)
	}
	if int64(len(data)) > limit {
		return nil, unknown(KindProtocol, eris.Errorf("answer over %d bytes", limit))
	}
	return data, nil
}

// readError classifies an answer that broke off.
func readError(err error) *Error {
	if eris.Is(err, errStalled) {
		return unknown(KindStalled, err)
	}
	return unknown(KindLost, err)
}
