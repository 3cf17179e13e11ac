// Package sockopt sets up connections that notice a silent peer.
package sockopt

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probes is the number of keep-alive probes within the limit.
const probes = 3

// Watch makes connections of the dialer end when the peer acknowledges nothing for the
// given time, with or without traffic.
//
// A peer that lost power or was cut off sends no reset. Without probes, a connection
// that waits for an answer would wait for ever; without the user timeout, one that
// has sent a request would retransmit it for a quarter of an hour.
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
