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

// Options configures a client. Zero values select the defaults.
type Options struct {
	// ConnectTimeout limits the TCP handshake. The default is 1 second.
	ConnectTimeout time.Duration
	// StallTimeout is the maximum time to wait for the next byte of an answer. The default for
	// engines is 5 seconds, because they send keep-alive bytes while they have no token to send.
	// The default for plain services is no timeout, because they send nothing while they work; the
	// context of a call limits it.
	StallTimeout time.Duration
	// ProgressTimeout is the maximum time to wait for the next frame of a stream, regardless of
	// keep-alive bytes. The default is 2 minutes, because an overloaded engine may delay an answer
	// for a long time.
	ProgressTimeout time.Duration
	// MaxBodyBytes is the maximum size of a plain service's answer in bytes. The default is 16 MiB.
	MaxBodyBytes int64
	// OnNotice is called with what the endpoint reports about itself in each answer. It must not
	// block. It may be nil.
	OnNotice func(notice.Notice)
}

const (
	defaultConnectTimeout  = time.Second
	defaultStallTimeout    = 5 * time.Second
	defaultProgressTimeout = 2 * time.Minute
	defaultMaxBodyBytes    = 16 << 20
	// maxAnswerBytes is the maximum size in bytes of answers other than streams and replies of
	// plain services.
	maxAnswerBytes = 8 << 20
)

func (o Options) withDefaults() Options {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.ProgressTimeout <= 0 {
		o.ProgressTimeout = defaultProgressTimeout
	}
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	return o
}

// httpClient sends requests to one endpoint and classifies the failures.
type httpClient struct {
	base    string
	options Options
	http    *httponce.Client
}

func newHTTPClient(addr string, o Options) httpClient {
	o = o.withDefaults()
	return httpClient{
		base:    "http://" + addr,
		options: o,
		http:    httponce.New(httponce.Options{ConnectTimeout: o.ConnectTimeout}),
	}
}

// send sends a request and returns the answer, whatever its status. Reading the body fails if no
// byte is received within the stall timeout.
func (w *httpClient) send(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, *exchange, *Error) {
	ctx, cancel := context.WithCancelCause(ctx)
	sending := newExchange()
	ctx = sending.trace(ctx)
	req, err := httponce.NewRequest(ctx, method, w.base+path, body)
	if err != nil {
		cancel(nil)
		return nil, nil, notRunError(KindProtocol, err)
	}
	req.Header.Set(HeaderExchange, sending.id)
	for name, values := range header {
		req.Header[name] = values
	}
	wd := newWatchdog(w.options.StallTimeout, cancel)
	wd.arm()
	resp, sent, err := w.http.Do(req)
	wd.disarm()
	if err != nil {
		defer cancel(nil)
		return nil, nil, sendError(ctx, sent, err)
	}
	if sending.foreign(resp.Header) {
		cancel(nil) // Closes the connection.
		_ = resp.Body.Close()
		return nil, nil, unknownOutcomeError(KindProtocol, eris.Errorf("the answer with status %d belongs to another request", resp.StatusCode))
	}
	if w.options.OnNotice != nil {
		w.options.OnNotice(parseNotice(resp.StatusCode, resp.Header))
	}
	resp.Body = &watchedBody{body: resp.Body, watchdog: wd, ctx: ctx, cancel: cancel}
	return resp, sending, nil
}

// sendError classifies the failure of a request without an answer. Only if no byte of the request
// was written is it certain that it did not run.
func sendError(ctx context.Context, sent bool, err error) *Error {
	if !sent {
		return notRunError(KindUnreachable, err)
	}
	return unknownOutcomeError(lossKind(ctx), err)
}

func lossKind(ctx context.Context) ErrorKind {
	if eris.Is(context.Cause(ctx), errStalled) {
		return KindStalled
	}
	return KindLost
}

func notRunError(kind ErrorKind, err error) *Error {
	return &Error{Outcome: crocusreel.OutcomeNotRun, Kind: kind, Cause: err}
}

func unknownOutcomeError(kind ErrorKind, err error) *Error {
	return &Error{Outcome: crocusreel.OutcomeUnknown, Kind: kind, Cause: err}
}

// call sends a request and decodes the JSON answer into the given value, which may be nil.
func (w *httpClient) call(ctx context.Context, method, path string, body, result any) error {
	resp, fail := w.sendJSON(ctx, method, path, body)
	if fail != nil {
		return fail
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := readAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return unknownOutcomeError(KindProtocol, eris.Wrap(err, "decode answer"))
	}
	return nil
}

// sendJSON sends a request with a JSON body, if body is not nil, and returns an answer with status
// 200.
func (w *httpClient) sendJSON(ctx context.Context, method, path string, body any) (*http.Response, *Error) {
	var data []byte
	header := http.Header{}
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, notRunError(KindProtocol, eris.Wrap(err, "encode request"))
		}
		header.Set("Content-Type", "application/json")
	}
	resp, sending, fail := w.send(ctx, method, path, header, data)
	if fail != nil {
		return nil, fail
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, sending.believe(resp.Header, statusError(resp))
}

// statusError converts an answer with a status other than 200 to an error. Only the endpoint's own
// typed body can state that the work was not started: a status without it may come from an
// intermediary, or from an endpoint that failed while the work was running.
func statusError(resp *http.Response) *Error {
	data, fail := readAll(resp.Body, maxAnswerBytes)
	if fail != nil {
		return fail
	}
	cause := eris.Errorf("status %d", resp.StatusCode)
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Kind == "" {
		return unknownOutcomeError(KindProtocol, cause)
	}
	cause = eris.Errorf("status %d: %s", resp.StatusCode, body.Message)
	switch body.Outcome {
	case crocusreel.OutcomeNotRun, crocusreel.OutcomeRan:
		return &Error{Outcome: body.Outcome, Kind: body.Kind, Cause: cause}
	default:
		return unknownOutcomeError(body.Kind, cause)
	}
}

// readAll reads a body of at most limit bytes.
func readAll(r io.Reader, limit int64) ([]byte, *Error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, readError(err)
	}
	if int64(len(data)) > limit {
		return nil, unknownOutcomeError(KindProtocol, eris.Errorf("answer over %d bytes", limit))
	}
	return data, nil
}

// readError classifies the failure to read an answer to its end.
func readError(err error) *Error {
	if eris.Is(err, errStalled) {
		return unknownOutcomeError(KindStalled, err)
	}
	return unknownOutcomeError(KindLost, err)
}
