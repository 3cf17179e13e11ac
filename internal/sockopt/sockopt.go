// Package sockopt sets socket options that detect an unresponsive peer.
package sockopt

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeInterval is the time without received data after which a keep-alive probe is sent, and the
	// time between two probes. Linux knows whole seconds only.
	probeInterval = time.Second
	// maxProbes exceeds the number of probes that fit into any timeout, which ends the connection.
	maxProbes = 16
)

// DetectDeadPeer configures the dialer so that its connections survive a peer that is silent for up to
// the given time, and fail within two further seconds, rounded up to whole seconds, whether or not
// there is traffic. It replaces the KeepAliveConfig and Control fields of the dialer.
//
// A peer that lost power or its network sends no reset. Without keep-alive probes, a connection that
// waits for a response would wait for ever. Without TCP_USER_TIMEOUT, a connection that has sent a
// request would retransmit it for about 15 minutes. If it is set, it also decides when unanswered
// probes end a connection, whatever their number. A silence that begins just before a probe swallows
// it, so the timeout has to leave room for the first probe after the silence.
func DetectDeadPeer(d *net.Dialer, silence time.Duration) {
	// Half an interval more, so that the timeout does not coincide with a probe.
	timeout := silence.Truncate(probeInterval) + probeInterval + probeInterval/2
	if silence%probeInterval != 0 {
		timeout += probeInterval
	}
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: maxProbes}
	d.Control = func(_, _ string, c syscall.RawConn) error {
		var sockErr error
		err := c.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
		})
		return errors.Join(err, sockErr)
	}
}
