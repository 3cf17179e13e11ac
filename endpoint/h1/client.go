// Package h1 sends HTTP/1.1 requests to endpoints over kept connections. Unlike
// net/http's transport it tells whether a request was sent, recognises answers that
// belong to another request, and never sends a request twice by itself.
package h1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/crocusreel/crocusreel/internal/sockopt"
)

// Request is one request to an endpoint.
type Request struct {
	Method string
	// Target is the path with the query, as it stands on the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Mine tells whether an answer with this header belongs to the request. Endpoints
	// at fault send answers to earlier requests late; they are skipped. Nil accepts all.
	Mine func(http.Header) bool
	// Life ends the exchange once the endpoint is known to have died: a connection whose
	// other end is gone may stay silent until it times out. Nil if that is not known.
	Life context.Context
}

// Error is a failed exchange.
type Error struct {
	// Sent tells that the endpoint may have received the request. Without it, the
	// request has certainly not run.
	Sent  bool
	Cause error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Timings and sizes of connections to endpoints.
const (
	// dialTimeout bounds a new connection: a handshake takes some milliseconds, and an
	// endpoint whose machine is dark does not answer at all.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is the time after which a connection is given up that goes silent
	// without a reset.
	userTimeout = 1500 * time.Millisecond
	// reuseWithout is how long a connection is kept if the endpoint states no
	// timeout. Timeouts are stated in whole seconds, so a silent endpoint may have
	// one below a second.
	reuseWithout = 700 * time.Millisecond
	// reuseMargin is the time before the stated timeout in which a connection is no
	// longer used: a request that crosses the endpoint's close may or may not have run.
	reuseMargin = 500 * time.Millisecond
	// maxIdle bounds the kept connections to one endpoint: endpoints accept a few hundred
	// from all nodes together, and a node sends one some requests a second.
	maxIdle = 4
	// readBuffer is the size of a connection's buffer in bytes: two events of a stream.
	readBuffer = 2048
	// maxForeign is how many answers to other requests are skipped on one connection,
	// and maxForeignBody the size of one in bytes.
	maxForeign     = 2
	maxForeignBody = 64 << 10
	// writeApart is the body size in bytes from which the answer is read while the body
	// is still being written: an endpoint may answer before it has read a long body.
	writeApart = 32 << 10
)

// Client keeps connections to endpoints.
type Client struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
	// Opened counts new connections.
	Opened func()
}

// NewClient returns a client without connections.
func NewClient() *Client {
	c := &Client{
		dialer: net.Dialer{Timeout: dialTimeout},
		idle:   make(map[string][]*conn),
		Opened: func() {},
	}
	sockopt.DetectDeadPeer(&c.dialer, userTimeout)
	return c
}

// Do sends the request to the endpoint at IP:port and returns the head of the answer.
// Every error is an *Error. When ctx ends the connection is closed, so that the
// endpoint stops work on the request.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	conn, err := c.connection(ctx, address)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	resp := &Response{client: c, conn: conn, address: address, stop: closeAfter(conn, ctx, r.Life)}
	if err := resp.exchange(r); err != nil {
		resp.Close()
		switch {
		case ctx.Err() != nil:
			err.Cause = ctx.Err()
		case r.Life != nil && r.Life.Err() != nil:
			err.Cause = context.Cause(r.Life)
		}
		return nil, err
	}
	return resp, nil
}

// closeAfter closes the connection once one of the contexts ends, until it is stopped.
// stop returns false if the connection was closed, or is about to be.
func closeAfter(c *conn, ctx, life context.Context) (stop func() bool) {
	closeConn := func() { _ = c.Close() }
	stopCtx := context.AfterFunc(ctx, closeConn)
	if life == nil {
		return stopCtx
	}
	stopLife := context.AfterFunc(life, closeConn)
	return func() bool {
		alive := stopLife()
		return stopCtx() && alive
	}
}

// Refuses tells whether nothing listens at the address any more. It is false where that
// is not certain, as for an endpoint that cannot be reached.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		c.Opened()
		_ = raw.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (c *Client) connection(ctx context.Context, address string) (*conn, error) {
	if kept := c.takeIdle(address); kept != nil {
		return kept, nil
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "connect")
	}
	c.Opened()
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func (c *Client) takeIdle(address string) *conn {
	for {
		kept := c.popIdle(address)
		if kept == nil {
			return nil
		}
		if time.Now().Before(kept.usableUntil) && kept.quiet() {
			return kept
		}
		_ = kept.Close()
	}
}

func (c *Client) popIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.idle[address]
	if len(all) == 0 {
		return nil
	}
	kept := all[len(all)-1]
	c.idle[address] = all[:len(all)-1]
	return kept
}

func (c *Client) keep(address string, kept *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= maxIdle {
		_ = kept.Close()
		return
	}
	c.idle[address] = append(c.idle[address], kept)
}

// Prune closes kept connections that may no longer be used.
func (c *Client) Prune() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for address, all := range c.idle {
		usable := all[:0]
		for _, kept := range all {
			if now.Before(kept.usableUntil) {
				usable = append(usable, kept)
			} else {
				_ = kept.Close()
			}
		}
		if len(usable) == 0 {
			delete(c.idle, address)
		} else {
			c.idle[address] = usable
		}
	}
}

type conn struct {
	net.Conn
	reader      *bufio.Reader
	usableUntil time.Time
}

// quiet tells whether the connection is open and has no unread bytes. Bytes that come
// without a request belong to none.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Response is the answer to a request. The caller reads Body to its end and calls
// Finish, or Close.
type Response struct {
	*http.Response
	client  *Client
	conn    *conn
	address string
	stop    func() bool
	// written receives the result of a write that goes on beside the read.
	written chan error
	closed  bool
}

func (r *Response) exchange(req *Request) *Error {
	if err := r.send(req); err != nil {
		return err
	}
	method := &http.Request{Method: req.Method}
	for range maxForeign + 1 {
		resp, err := readFinal(r.conn.reader, method)
		if err != nil {
			return &Error{Sent: true, Cause: eris.Wrap(err, "read answer")}
		}
		if req.Mine == nil || req.Mine(resp.Header) {
			r.Response = resp
			return nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBody))
		if err != nil || n == maxForeignBody || resp.Close {
			break
		}
	}
	return &Error{Sent: true, Cause: eris.New("the answer belongs to another request")}
}

func (r *Response) send(req *Request) *Error {
	head := req.head()
	if len(req.Body) < writeApart {
		n, err := r.conn.Write(append(head, req.Body...))
		if err != nil {
			return &Error{Sent: n > 0, Cause: eris.Wrap(err, "send request")}
		}
		return nil
	}
	r.written = make(chan error, 1)
	go func() {
		_, err := r.conn.Write(append(head, req.Body...))
		r.written <- err
	}()
	return nil
}

func (r *Request) head() []byte {
	var b strings.Builder
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return append(make([]byte, 0, b.Len()+len(r.Body)), b.String()...)
}

// readFinal reads answers until one that is not informational.
func readFinal(reader *bufio.Reader, method *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(reader, method)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// Framed tells whether the end of the body can be told from a broken connection.
func (r *Response) Framed() bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// Finish keeps the connection for another request. The body must have been read to
// its end.
func (r *Response) Finish() {
	if r.closed || !r.reusable() {
		r.Close()
		return
	}
	r.closed = true
	if !r.stop() {
		_ = r.conn.Close()
		return
	}
	r.conn.usableUntil = time.Now().Add(reuseTime(r.Header.Get("Keep-Alive")))
	r.client.keep(r.address, r.conn)
}

func (r *Response) reusable() bool {
	if r.Response == nil || r.Response.Close || !r.Framed() || r.conn.reader.Buffered() > 0 {
		return false
	}
	if r.written == nil {
		return true
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

// Close closes the connection; the endpoint stops work that has not ended.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	r.stop()
	_ = r.conn.Close()
}

// reuseTime reads the endpoint's idle timeout from a Keep-Alive header.
func reuseTime(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if n, err := strconv.Atoi(text); err == nil && n > 0 {
			return time.Duration(n)*time.Second - reuseMargin
		}
	}
	return reuseWithout
}
