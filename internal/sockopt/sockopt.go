// Package sockopt sets socket options that detect an unresponsive peer.
package sockopt

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of keep-alive probes that fit into the timeout.
const keepAliveProbes = 3

// DetectDeadPeer configures the dialer so that its connections fail when the peer acknowledges
// nothing for the timeout, whether or not there is traffic. It replaces the KeepAliveConfig and
// Control fields of the dialer.
//
// A peer that lost power or its network sends no reset. Without keep-alive probes, a connection that
// waits for a response would wait for ever. Without TCP_USER_TIMEOUT, a connection that has sent a
// request would retransmit it for about 15 minutes.
func DetectDeadPeer(d *net.Dialer, timeout time.Duration) {
	interval := timeout / keepAliveProbes
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes}
	d.Control = func(_, _ string, c syscall.RawConn) error {
		var sockErr error
		err := c.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
		})
		return errors.Join(err, sockErr)
	}
}
