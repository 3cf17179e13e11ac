// Package httponce sends HTTP requests that are never replayed, and tells for each
// failed request whether any byte of it can have reached the server.
package httponce

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/internal/sockopt"
)

const (
	// idleTimeout is how long an unused connection is kept. It is shorter than the
	// idle timeouts that servers commonly have, so that the client closes first: a
	// server that closes at the moment of a write leaves the outcome unknown.
	idleTimeout = 30 * time.Second
	// maxIdle bounds the idle connections to one server.
	maxIdle = 512
)

// Options of a Client.
type Options struct {
	// ConnectTimeout bounds the TCP handshake. Default 1 second.
	ConnectTimeout time.Duration
	// UserTimeout is the time after which a connection is given up on which sent bytes
	// or probes stay unacknowledged; 0 leaves it to the system, which takes minutes.
	UserTimeout time.Duration
}

// Client talks to servers over HTTP/1.1 with pooled connections.
type Client struct {
	transport *http.Transport
}

// New returns a client.
func New(o Options) *Client {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = time.Second
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	d := &dialer{net.Dialer{Timeout: o.ConnectTimeout}}
	if o.UserTimeout > 0 {
		sockopt.Watch(&d.Dialer, o.UserTimeout)
	}
	return &Client{transport: &http.Transport{
		DialContext:         d.dial,
		Protocols:           protocols,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// CloseIdle closes the connections that carry no request.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// NewRequest builds a request that the transport cannot replay.
//
// net/http sends a request again on its own when a pooled connection breaks and it
// takes the request for repeatable: no body or a body that can be rewound, and a
// method such as GET or a header Idempotency-Key. A booking would then run twice
// while its caller saw one attempt. A body that is present but cannot be rewound
// rules out each of these cases, also where it is empty.
func NewRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	req.Body = io.NopCloser(&opaqueReader{bytes.NewReader(body)})
	req.ContentLength = int64(len(body))
	return req, nil
}

// opaqueReader hides the concrete reader type from net/http.
type opaqueReader struct{ r io.Reader }

func (o *opaqueReader) Read(p []byte) (int, error) { return o.r.Read(p) }

// Do sends a request made by NewRequest. It follows no redirect. If it fails with
// sent == false, no byte of the request has left or will leave this process.
func (c *Client) Do(req *http.Request) (resp *http.Response, sent bool, err error) {
	var conns []mark
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if t, ok := info.Conn.(*trackedConn); ok {
			conns = append(conns, mark{t, t.written()})
		}
	}}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err = c.transport.RoundTrip(req)
	if err == nil {
		return resp, true, nil
	}
	for _, m := range conns {
		sent = m.conn.seal(m.writes) || sent
	}
	return nil, sent, err
}

// mark is a connection and the number of writes on it before the request.
type mark struct {
	conn   *trackedConn
	writes int64
}
