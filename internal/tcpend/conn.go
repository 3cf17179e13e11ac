// Package tcpend tells the end of a TCP connection that its peer has closed from that of one that
// was broken.
//
// A socket reports an error once, to whichever call comes first: when a connection is reset while a
// request is being written, the write gets the error, and the read that follows sees a plain end. An
// answer without a length would then look whole.
package tcpend

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// ErrBroken is the error of a read that has reached the end of a connection which its peer has not closed
// in order, or not before it had received all that was written.
var ErrBroken = eris.New("the connection broke")

const (
	// maxWriteWait is how long the end of a connection waits for writes in progress: a peer may have closed
	// its direction only and read on.
	maxWriteWait = 2 * time.Second
	// tcpClose is the state of a TCP connection that was reset or has timed out (TCP_CLOSE in Linux).
	tcpClose = 7
)

// Conn is a TCP connection whose Read returns io.EOF only if the peer has closed the connection in order and
// no write has failed.
type Conn struct {
	net.Conn
	mu sync.Mutex
	// writes is the number of writes in progress; idle is closed once there are none.
	writes int
	idle   chan struct{}
	// failed is set once a write has failed.
	failed bool
}

// Wrap returns a Conn on top of c.
func Wrap(c net.Conn) *Conn { return &Conn{Conn: c} }

// Dialer returns a dial function whose connections are Conns.
func Dialer(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Wrap(c), nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writes == 0 {
		c.idle = make(chan struct{})
	}
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = c.failed || err != nil
	if c.writes--; c.writes == 0 {
		close(c.idle)
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && (!c.written() || c.reset()) {
		err = ErrBroken
	}
	return n, err
}

// written waits for writes in progress and reports whether all writes have succeeded.
func (c *Conn) written() bool {
	c.mu.Lock()
	idle, writing := c.idle, c.writes > 0
	c.mu.Unlock()
	if writing {
		timeout := time.NewTimer(maxWriteWait)
		defer timeout.Stop()
		select {
		case <-idle:
		case <-timeout.C:
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.failed
}

// reset reports whether the connection was reset or has timed out, whichever call got the error.
func (c *Conn) reset() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	state := uint8(0)
	err = raw.Control(func(fd uintptr) {
		if info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
			state = info.State
		}
	})
	return err == nil && state == tcpClose
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.Errorf("a connection of type %T has no descriptor", c.Conn)
	}
	return sc.SyscallConn()
}
