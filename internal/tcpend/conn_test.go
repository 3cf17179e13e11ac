package tcpend_test

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/crocusreel/crocusreel/internal/tcpend"
)

// connect returns the two ends of a connection.
func connect(g *WithT) (c *tcpend.Conn, peer *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	raw, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	return tcpend.Wrap(raw), accepted.(*net.TCPConn)
}

func reset(g *WithT, peer *net.TCPConn) {
	g.Expect(peer.SetLinger(0)).To(Succeed())
	g.Expect(peer.Close()).To(Succeed())
	time.Sleep(20 * time.Millisecond)
}

// Guards against a reset that looks like an end because another call took its error.
func TestResetIsNoEnd(t *testing.T) {
	for name, take := range map[string]func(g *WithT, c *tcpend.Conn){
		"a write": func(g *WithT, c *tcpend.Conn) {
			_, err := c.Write([]byte("x"))
			g.Expect(err).To(HaveOccurred())
		},
		"a query": func(g *WithT, c *tcpend.Conn) {
			raw, err := c.SyscallConn()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(raw.Control(func(fd uintptr) {
				taken, optErr := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
				g.Expect(optErr).NotTo(HaveOccurred())
				g.Expect(taken).NotTo(BeZero())
			})).To(Succeed())
		},
		"nothing": func(*WithT, *tcpend.Conn) {},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, peer := connect(g)
			defer func() { _ = c.Close() }()
			reset(g, peer)
			take(g, c)
			_, err := c.Read(make([]byte, 1))
			g.Expect(err).To(HaveOccurred())
			g.Expect(err).NotTo(Equal(io.EOF))
		})
	}
}

// Guards against an orderly end that looks like a reset.
func TestCloseIsAnEnd(t *testing.T) {
	g := NewWithT(t)
	c, peer := connect(g)
	defer func() { _ = c.Close() }()
	_, err := c.Write([]byte("x"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = peer.Read(make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(peer.Close()).To(Succeed())
	_, err = c.Read(make([]byte, 1))
	g.Expect(err).To(Equal(io.EOF))
}
