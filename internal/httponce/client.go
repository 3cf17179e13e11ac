// Package httponce sends HTTP requests that the transport never replays, and reports for each
// failed request whether any byte of it may have reached the server.
package httponce

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/internal/sockopt"
)

const (
	// idleTimeout is how long an idle connection stays in the pool. It is shorter than the idle
	// timeouts that are common for servers, so that the client closes first: if the server closes
	// while the client writes a request, the outcome of the request is unknown.
	idleTimeout = 30 * time.Second
	// maxIdleConns is the maximum number of idle connections, both in total and per server.
	maxIdleConns = 512
	// maxHeaderBytes is the maximum size of the header of a response in bytes.
	maxHeaderBytes = 64 << 10
)

// Options configures a Client.
type Options struct {
	// ConnectTimeout bounds the TCP handshake. The default is 1 second.
	ConnectTimeout time.Duration
	// ToleratedSilence is how long the peer may be silent, without even acknowledging data, before its
	// connections are closed. 0 keeps the defaults of the operating system, which are in minutes.
	ToleratedSilence time.Duration
}

// Client sends requests over HTTP/1.1 with pooled connections. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// New returns a client with the given options.
func New(o Options) *Client {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = time.Second
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	d := &dialer{net.Dialer{Timeout: o.ConnectTimeout}}
	if o.ToleratedSilence > 0 {
		sockopt.DetectDeadPeer(&d.Dialer, o.ToleratedSilence)
	}
	return &Client{transport: &http.Transport{
		DialContext:         d.dial,
		Protocols:           protocols,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// CloseIdle closes the idle connections of the pool.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// NewRequest builds a request that the transport cannot replay.
//
// net/http retries a request on its own when a pooled connection breaks and it considers the
// request replayable: the request has no body or one that can be rewound, and an idempotent method
// such as GET or an Idempotency-Key header. A booking would then run twice although its caller made
// one attempt. A body that is present but cannot be rewound, even if it is empty, prevents this in
// all cases.
func NewRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	req.Body = newOpaqueBody(body)
	req.ContentLength = int64(len(body))
	return req, nil
}

// Do sends a request made by NewRequest. It does not follow redirects. If it returns an error and
// sent is false, no byte of the request has left or will leave this process.
func (c *Client) Do(req *http.Request) (resp *http.Response, sent bool, err error) {
	var uses []connUse
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if t, ok := info.Conn.(*trackedConn); ok {
			uses = append(uses, connUse{t, t.writeCount()})
		}
	}}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err = c.transport.RoundTrip(req)
	if err == nil {
		if err = Check(req, resp); err != nil {
			return nil, true, err
		}
		return resp, true, nil
	}
	for _, use := range uses {
		sent = use.conn.abort(use.writesBefore) || sent
	}
	return nil, sent, err
}

// connUse is a connection and its write count before the request.
type connUse struct {
	conn         *trackedConn
	writesBefore int64
}
