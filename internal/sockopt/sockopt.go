// Package sockopt sets socket options that detect an unresponsive peer.
package sockopt

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probes is the number of keep-alive probes that fit into the limit.
const probes = 3

// Watch configures the dialer so that its connections fail when the peer acknowledges nothing for
// limit, whether or not there is traffic. It replaces the KeepAliveConfig and Control fields of the
// dialer.
//
// A peer that lost power or its network sends no reset. Without keep-alive probes, a connection that
// waits for a response would wait for ever. Without TCP_USER_TIMEOUT, a connection that has sent a
// request would retransmit it for about 15 minutes.
func Watch(d *net.Dialer, limit time.Duration) {
	every := limit / probes
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: every, Interval: every, Count: probes}
	d.Control = func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit/time.Millisecond))
		})
		return errors.Join(err, failed)
	}
}
