package httponce

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/internal/tcpend"
)

var (
	errAborted     = eris.New("write rejected: connection aborted after a failed request")
	errSelfConnect = eris.New("connection refused: connected to itself")
)

type dialer struct{ net.Dialer }

// dial connects and wraps the connection in a trackedConn.
//
// On loopback, the kernel can choose the destination port as the source port when nothing listens
// there, and the connection then connects to itself. The request would be read back as its own
// response, and a server that is certainly down would be treated as one that may have run the
// request. Such a connection is closed and reported as refused.
func (d *dialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if conn.LocalAddr().String() == conn.RemoteAddr().String() {
		_ = conn.Close()
		return nil, errSelfConnect
	}
	return &trackedConn{Conn: tcpend.Wrap(conn)}, nil
}

// trackedConn counts writes and can be closed in a way that rejects every further write.
type trackedConn struct {
	net.Conn
	mu sync.Mutex
	// writes and aborted are guarded by mu.
	writes  int64
	aborted bool
}

// Write implements net.Conn. The count is incremented before the write starts, so that a write in
// progress is included.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.aborted {
		c.mu.Unlock()
		return 0, errAborted
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *trackedConn) writeCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// abort rejects further writes, closes the connection and reports whether the write count differs
// from initialWrites. Without abort, the write goroutine of the transport could still write a
// request after Do has returned and reported that nothing was sent.
func (c *trackedConn) abort(initialWrites int64) bool {
	c.mu.Lock()
	c.aborted = true
	sent := c.writes != initialWrites
	c.mu.Unlock()
	_ = c.Close()
	return sent
}
