// Package h1 sends HTTP/1.1 requests to endpoints over persistent connections. Unlike the transport
// of net/http, it reports whether a request was sent, detects answers that belong to another
// request, and never retries a request.
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
	"github.com/crocusreel/crocusreel/internal/tcpend"
)

// Request is a request to an endpoint.
type Request struct {
	Method string
	// Target is the path with the query, as written on the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// OwnerOf returns what an answer with the given status and header states of the request that it
	// belongs to. Faulty endpoints send answers to earlier requests late; these are skipped. If OwnerOf
	// is nil, the answers bear no IDs, and the request gets a connection of its own.
	OwnerOf func(status int, h http.Header) Ownership
	// Barrier is sent after an answer without an ID that may belong to another request; nil if there is
	// none. The outcome of the request is unknown then.
	Barrier *Barrier
	// EndpointContext is cancelled when the endpoint is known to have died, which ends the
	// exchange. Without it, a connection to an endpoint that has died may stay silent until it
	// times out. EndpointContext is nil if the death of the endpoint cannot be detected.
	EndpointContext context.Context
}

// Error is the error of a failed exchange.
type Error struct {
	// Sent reports that the endpoint may have received the request. If it is false, the request
	// definitely did not run.
	Sent bool
	// NewConnection reports that the connection could not be opened, or was opened for this
	// exchange.
	NewConnection bool
	// Heard reports that the endpoint sent something, although no answer.
	Heard bool
	// Sending is when and over which connection the request was sent. It is zero if there was no
	// connection.
	Sending Sending
	Cause   error
}

// Sending describes how a request was sent.
type Sending struct {
	// LocalAddress is the local IP:port of the connection.
	LocalAddress string
	// Exchanges is the number of earlier exchanges on the connection, ConnectionAge the time since it
	// was opened.
	Exchanges     int
	ConnectionAge time.Duration
	// WrittenAt is the time at which the last byte of the request was written; zero if it was not, or
	// if a long body is still being written.
	WrittenAt time.Time
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.Cause }

// ToleratedSilence is how long an endpoint may be silent, without even acknowledging data, before its
// connections are closed: sound endpoints are, for a second or so.
const ToleratedSilence = 1500 * time.Millisecond

// Timeouts and sizes of connections to endpoints.
const (
	// dialTimeout limits the time to establish a connection. A handshake takes a few milliseconds,
	// and an endpoint whose machine is down does not answer at all.
	dialTimeout = 400 * time.Millisecond
	// defaultReuseTime is the time for which an unused connection is kept if the endpoint states no
	// timeout. Timeouts are stated in whole seconds, so an endpoint that states none may have one
	// below a second.
	defaultReuseTime = 700 * time.Millisecond
	// reuseMargin is the time before the stated timeout from which a connection is no longer used.
	// It is not known whether a request ran that was sent while the endpoint closed the connection.
	reuseMargin = 500 * time.Millisecond
	// maxIdle is the maximum number of idle connections to one endpoint. Endpoints accept a few
	// hundred connections from all nodes together, and a node sends a few requests per second to
	// each.
	maxIdle = 4
	// readBufferBytes is the size of a connection's read buffer in bytes: two events of a stream.
	readBufferBytes = 2048
	// maxForeignAnswers is the number of answers that are skipped before that of a request,
	// maxForeignBodyBytes the maximum size of their bodies in bytes.
	maxForeignAnswers   = 2
	maxForeignBodyBytes = 64 << 10
	// maxDiscardBytes is the size up to which a body of no interest is read so that its connection can
	// be used again, and maxDiscardTime the time for that.
	maxDiscardBytes = 16 << 10
	maxDiscardTime  = 200 * time.Millisecond
	// minConcurrentWriteBytes is the body size in bytes from which the answer is read while the
	// body is still being written, because an endpoint may answer before it has read a long body.
	minConcurrentWriteBytes = 32 << 10
)

// Client sends requests to endpoints and pools its connections. It is safe for concurrent use.
type Client struct {
	dialer net.Dialer
	// mu guards idle, the idle connections by address.
	mu   sync.Mutex
	idle map[string][]*conn
	// OnOpen is called for each new connection.
	OnOpen func()
	// OnSkipped is called for each answer that is not taken for that of the request. It must not block.
	OnSkipped func(SkippedAnswer)
}

// SkippedAnswer is an answer that is not taken for that of the request that was sent last on its
// connection.
type SkippedAnswer struct {
	// Address is the IP:port of the endpoint.
	Address string
	// Request is the request that was sent last.
	Request *Request
	// Sending is when and over which connection the request was sent.
	Sending Sending
	Status  int
	Header  http.Header
}

// NewClient returns a client without open connections.
func NewClient() *Client {
	c := &Client{
		dialer: net.Dialer{Timeout: dialTimeout},
		idle:   make(map[string][]*conn),
		OnOpen: func() {}, OnSkipped: func(SkippedAnswer) {},
	}
	sockopt.DetectDeadPeer(&c.dialer, ToleratedSilence)
	return c
}

// Do sends the request to the endpoint at address (IP:port) and returns the answer, whose body has
// not been read yet. Every error is an *Error. When ctx is done, the connection is closed so that
// the endpoint stops working on the request.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	conn, err := c.getConn(ctx, address, r.needsNewConnection())
	if err != nil {
		return nil, &Error{Cause: err, NewConnection: true}
	}
	resp := &Response{
		client: c, conn: conn, address: address, stop: closeOnDone(conn, ctx, r.EndpointContext),
		NewConnection: conn.exchanges == 0,
		Sending:       conn.describe(),
	}
	if err := resp.exchange(r); err != nil {
		err.NewConnection, err.Sending = resp.NewConnection, resp.Sending
		resp.Close()
		switch {
		case ctx.Err() != nil:
			err.Cause = ctx.Err()
		case r.EndpointContext != nil && r.EndpointContext.Err() != nil:
			err.Cause = context.Cause(r.EndpointContext)
		}
		return nil, err
	}
	return resp, nil
}

// needsNewConnection reports whether the request gets a connection on which nothing else was sent. A long body may
// still be being written when its answer arrives, so that no barrier can follow it.
func (r *Request) needsNewConnection() bool {
	return r.OwnerOf == nil || len(r.Body) >= minConcurrentWriteBytes
}

// closeOnDone closes the connection when one of the contexts is done, unless stop is called before.
// stop returns false if the connection was closed or is about to be closed.
func closeOnDone(c *conn, ctx, endpointCtx context.Context) (stop func() bool) {
	closeConn := func() { _ = c.Close() }
	stopCtx := context.AfterFunc(ctx, closeConn)
	if endpointCtx == nil {
		return stopCtx
	}
	stopEndpointCtx := context.AfterFunc(endpointCtx, closeConn)
	return func() bool {
		endpointAlive := stopEndpointCtx()
		return stopCtx() && endpointAlive
	}
}

// Refused reports whether the error of Dial means that no process listens at the address any more.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Dial opens a connection to the address and closes it again.
func (c *Client) Dial(ctx context.Context, address string) error {
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return eris.Wrap(err, "connect")
	}
	c.OnOpen()
	return eris.Wrap(raw.Close(), "close")
}

func (c *Client) getConn(ctx context.Context, address string, newConnection bool) (*conn, error) {
	if !newConnection {
		if kept := c.takeIdle(address); kept != nil {
			return kept, nil
		}
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "connect")
	}
	c.OnOpen()
	return newConn(raw), nil
}

func (c *Client) takeIdle(address string) *conn {
	for {
		kept := c.popIdle(address)
		if kept == nil {
			return nil
		}
		if time.Now().Before(kept.usableUntil) && kept.openAndEmpty() {
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

func (c *Client) putIdle(address string, kept *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= maxIdle {
		_ = kept.Close()
		return
	}
	c.idle[address] = append(c.idle[address], kept)
}

// Prune closes the idle connections whose reuse time has expired.
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
	*tcpend.Conn
	// reader reads through limiter.
	reader   *bufio.Reader
	limiter  *headLimiter
	openedAt time.Time
	// exchanges is the number of exchanges that have ended.
	exchanges int
	// usableUntil is the end of the reuse time; zero until the first exchange has ended.
	usableUntil time.Time
}

// describe returns what is known of the connection before a request is sent.
func (c *conn) describe() Sending {
	return Sending{LocalAddress: c.LocalAddr().String(), Exchanges: c.exchanges, ConnectionAge: time.Since(c.openedAt)}
}

// openAndEmpty reports whether the connection is open and has no unread bytes. Bytes that arrive
// while no request is pending belong to no request.
func (c *conn) openAndEmpty() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noInput = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && noInput
}

// Response is the answer to a request. The caller must either read Body to its end and call Finish,
// or call Close.
type Response struct {
	*http.Response
	// NewConnection reports that the connection was opened for this exchange.
	NewConnection bool
	// Sending is when and over which connection the request was sent.
	Sending Sending

	client  *Client
	conn    *conn
	address string
	stop    func() bool
	// writeResult receives the result of writing the request if it is written concurrently with
	// reading the answer; nil otherwise.
	writeResult chan error
	// sentBody is set if the request had a body, identified if the answer bears its ID. skipped is the number
	// of answers that were skipped before.
	sentBody, identified bool
	skipped              int
	closed               bool
}

func (r *Response) send(req *Request) *Error {
	head := req.head()
	r.sentBody = len(req.Body) > 0
	if len(req.Body) < minConcurrentWriteBytes {
		n, err := r.conn.Write(append(head, req.Body...))
		if err != nil {
			return &Error{Sent: n > 0, Cause: eris.Wrap(err, "send request")}
		}
		r.Sending.WrittenAt = time.Now()
		return nil
	}
	r.writeResult = make(chan error, 1)
	go func() {
		_, err := r.conn.Write(append(head, req.Body...))
		r.writeResult <- err
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

// Framed reports whether the end of the body can be distinguished from a broken connection.
func (r *Response) Framed() bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// Discard ends an exchange whose body is of no interest. The connection is kept if the rest of the body
// is short and arrives soon, and closed otherwise.
func (r *Response) Discard() {
	if !r.closed && r.clean() && r.conn.readShort(io.Discard, r.Body, maxDiscardBytes) {
		r.Finish()
		return
	}
	r.Close()
}

// readShort reads a body to its end. It returns false if the body is longer than the given number of
// bytes, or takes longer than maxDiscardTime.
func (c *conn) readShort(to io.Writer, body io.Reader, limit int64) bool {
	_ = c.SetReadDeadline(time.Now().Add(maxDiscardTime))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	n, err := io.Copy(to, io.LimitReader(body, limit+1))
	return err == nil && n <= limit
}

// Finish returns the connection to the pool if it can be reused, and closes it otherwise. The body
// must have been read to its end.
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
	r.conn.exchanges++
	r.conn.usableUntil = time.Now().Add(reuseTime(r.Header.Get("Keep-Alive")))
	r.client.putIdle(r.address, r.conn)
}

func (r *Response) reusable() bool {
	if r.Response == nil || r.Response.Close || !r.Framed() || r.conn.reader.Buffered() > 0 || !r.clean() {
		return false
	}
	if r.writeResult == nil {
		return true
	}
	select {
	case err := <-r.writeResult:
		return err == nil
	default:
		return false
	}
}

// clean reports whether nothing that belongs to this exchange is expected on the connection any more. An
// endpoint may send answers to other requests more than once. One that has answered with an error may not have
// read the body of the request, and takes the rest of it for another request.
func (r *Response) clean() bool {
	return r.identified && r.skipped == 0 && (!r.sentBody || r.StatusCode < http.StatusBadRequest)
}

// Close closes the connection, which makes the endpoint stop work that has not ended.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	r.stop()
	_ = r.conn.Close()
}

// reuseTime returns how long an unused connection can be reused, given the endpoint's Keep-Alive
// header.
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
	return defaultReuseTime
}
