package h1

import (
	"bufio"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/internal/httphead"
	"github.com/crocusreel/crocusreel/internal/tcpend"
)

// Bounds of the head of an answer. Endpoints in trouble send bytes without end that are no answer;
// http.ReadResponse would keep all of a line or header field until the request's time is over.
const (
	// maxHeadBytes is the maximum size of the heads of one exchange in bytes, including informational
	// answers.
	maxHeadBytes = 24 << 10
	// maxHeadTime is the time from the first byte of a head to its end.
	maxHeadTime = 2 * time.Second
	// maxInformational is the number of informational answers (status 1xx) before an answer.
	maxInformational = 16
)

var (
	errHeadTooLong         = eris.Errorf("the head of the answer is longer than %d bytes", maxHeadBytes)
	errTooManyInformations = eris.Errorf("more than %d informational answers", maxInformational)
)

// headLimiter bounds what is read from a connection while the head of an answer is read.
type headLimiter struct {
	net.Conn
	// inHead is set while a head is read, started once its first byte has arrived.
	inHead, started bool
	// left is the number of bytes that may still be read.
	left int
	// received is what was received since the head began.
	received []byte
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.Conn.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.Conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.received = append(l.received, p[:n]...)
	if n > 0 {
		l.start()
	}
	return n, err
}

// start limits the time until the end of the head.
func (l *headLimiter) start() {
	if !l.started {
		l.started = true
		_ = l.SetReadDeadline(time.Now().Add(maxHeadTime))
	}
}

// begin begins a head, of which the given bytes have been read already.
func (l *headLimiter) begin(buffered []byte) {
	l.inHead, l.started = true, false
	l.received = append(l.received, buffered...)
	if len(buffered) > 0 {
		l.start()
	}
}

// end ends the head.
func (l *headLimiter) end() {
	l.inHead, l.received = false, nil
	if l.started {
		_ = l.SetReadDeadline(time.Time{})
	}
}

// readHead reads the head of the next answer.
func (c *conn) readHead(method *http.Request) (*http.Response, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, eris.Wrap(err, "read what is buffered")
	}
	c.limiter.begin(buffered)
	defer c.limiter.end()
	resp, err := http.ReadResponse(c.reader, method)
	if err != nil {
		return nil, err
	}
	if err := httphead.Check(resp); err != nil {
		return nil, err
	}
	received := c.limiter.received
	return resp, httphead.CheckFraming(resp, received[:len(received)-c.reader.Buffered()])
}

// readFinal reads the head of an answer and skips informational ones.
func (c *conn) readFinal(method *http.Request) (*http.Response, error) {
	for range maxInformational + 1 {
		resp, err := c.readHead(method)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, errTooManyInformations
}

// newConn returns a connection to an endpoint that has not been used yet.
func newConn(raw net.Conn) *conn {
	connection := tcpend.Wrap(raw)
	limiter := &headLimiter{Conn: connection}
	return &conn{Conn: connection, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes), openedAt: time.Now()}
}
