package sockopt_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/crocusreel/crocusreel/internal/sockopt"
)

// keepAlive are the socket options that decide when the kernel gives up a silent connection.
type keepAlive struct{ idle, interval, userTimeout time.Duration }

// optionsOf returns the options of a connection that the dialer opens.
func optionsOf(t *testing.T, d *net.Dialer) (k keepAlive) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := d.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	read := func(fd uintptr, option int, unit time.Duration) time.Duration {
		value, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
		if err != nil {
			t.Fatal(err)
		}
		return time.Duration(value) * unit
	}
	if err := raw.Control(func(fd uintptr) {
		k.idle, k.interval = read(fd, unix.TCP_KEEPIDLE, time.Second), read(fd, unix.TCP_KEEPINTVL, time.Second)
		k.userTimeout = read(fd, unix.TCP_USER_TIMEOUT, time.Millisecond)
	}); err != nil {
		t.Fatal(err)
	}
	return k
}

// givesUpAt returns when the keep-alive timer of the kernel closes an idle connection whose peer, heard
// last at 0, is silent for a time: once userTimeout has passed with a probe unanswered. 0 means never.
func (k keepAlive) givesUpAt(silentFrom, length time.Duration) time.Duration {
	heard, unanswered := time.Duration(0), false
	for at := k.idle; at < time.Minute; {
		switch {
		case unanswered && at-heard >= k.userTimeout:
			return at
		case at >= silentFrom && at < silentFrom+length:
			unanswered = true
			at += k.interval
		case at >= silentFrom+length && at-heard > k.idle:
			return 0
		default:
			heard, unanswered = at, false
			at += k.idle
		}
	}
	return 0
}

// Guards against connections that are given up because their peer was silent for a moment: with a user
// timeout below two probe intervals, one lost probe suffices, whatever the number of probes.
func TestConnectionsSurviveShortSilences(t *testing.T) {
	const tolerated = 1500 * time.Millisecond
	d := &net.Dialer{}
	sockopt.DetectDeadPeer(d, tolerated)
	k := optionsOf(t, d)
	for from := time.Duration(0); from < 2*time.Second; from += 50 * time.Millisecond {
		for length := 100 * time.Millisecond; length <= tolerated; length += 100 * time.Millisecond {
			if at := k.givesUpAt(from, length); at != 0 {
				t.Fatalf("a silence of %v from %v on ends the connection at %v (options %+v)", length, from, at, k)
			}
		}
	}
}

// Guards against connections to a dead peer that are kept for long.
func TestConnectionsToDeadPeersAreGivenUp(t *testing.T) {
	d := &net.Dialer{}
	sockopt.DetectDeadPeer(d, 1500*time.Millisecond)
	k := optionsOf(t, d)
	for from := time.Duration(0); from < 2*time.Second; from += 50 * time.Millisecond {
		if at := k.givesUpAt(from, time.Hour); at == 0 || at-from > 4*time.Second {
			t.Fatalf("a connection whose peer is dead from %v on is given up at %v (options %+v)", from, at, k)
		}
	}
}
