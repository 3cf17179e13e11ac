package rig

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Cut is the way in which a process is cut off from a listener.
type Cut int

const (
	// NoCut leaves the process connected.
	NoCut Cut = iota
	// CutSilent holds back all bytes, of open connections and of new ones, until the cut ends.
	CutSilent
	// CutReset resets open connections and new ones.
	CutReset
	// CutNew resets new connections and leaves open ones alone.
	CutNew
)

var cutNames = map[Cut]string{NoCut: "connected", CutSilent: "silent", CutReset: "reset", CutNew: "new connections reset"}

// String implements fmt.Stringer.
func (c Cut) String() string { return cutNames[c] }

// ProcessLink is a proxy in front of one listener that can cut off single processes. It tells them
// apart by the owner of the connecting socket. It is safe for concurrent use.
type ProcessLink struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// changed is signalled when cuts or conns change.
	changed *sync.Cond
	cuts    map[*Process]Cut
	conns   map[*processConn]struct{}
	closed  bool
}

// processConn is a proxied connection.
type processConn struct {
	client, target net.Conn
	// owner is the process that opened the connection, nil if it is none of those that were ever cut
	// off.
	owner  *Process
	closed bool
}

// NewProcessLink starts a proxy on a free port of 127.0.0.1 that connects to target.
func NewProcessLink(target string) (*ProcessLink, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "process link")
	}
	l := &ProcessLink{listener: listener, target: target, cuts: make(map[*Process]Cut), conns: make(map[*processConn]struct{})}
	l.changed = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

// Address returns the IP:port on which the proxy listens.
func (l *ProcessLink) Address() string { return l.listener.Addr().String() }

// Close closes the listener and all connections.
func (l *ProcessLink) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		l.closeLocked(c)
	}
}

// Cut cuts the process off, or ends its cut with NoCut.
func (l *ProcessLink) Cut(p *Process, cut Cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[p] = cut
	for c := range l.conns {
		if c.owner == nil {
			c.owner = l.ownerLocked(c.client)
		}
		if c.owner == p && cut == CutReset {
			l.closeLocked(c)
		}
	}
	l.changed.Broadcast()
}

func (l *ProcessLink) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(client)
	}
}

// serve proxies one connection until one side closes it.
func (l *ProcessLink) serve(client net.Conn) {
	c := &processConn{client: client}
	l.mu.Lock()
	if len(l.cuts) > 0 {
		c.owner = l.ownerLocked(client)
	}
	cut := l.cuts[c.owner]
	refused := l.closed || c.owner != nil && (cut == CutReset || cut == CutNew)
	if !refused {
		l.conns[c] = struct{}{}
	}
	l.mu.Unlock()
	if refused {
		reset(client)
		return
	}
	target, err := net.Dial("tcp4", l.target)
	if err != nil {
		l.close(c)
		return
	}
	l.mu.Lock()
	c.target = target
	gone := c.closed
	l.mu.Unlock()
	if gone {
		reset(target)
		return
	}
	go l.pump(c, client, target)
	l.pump(c, target, client)
}

// pump copies bytes in one direction. While the owner is cut off silently, it holds them back.
func (l *ProcessLink) pump(c *processConn, from, to net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if !l.awaitConnected(c) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				l.close(c)
				return
			}
		}
		if err != nil {
			l.close(c)
			return
		}
	}
}

// awaitConnected waits until the owner of the connection is not cut off silently. It returns false
// if the connection is closed.
func (l *ProcessLink) awaitConnected(c *processConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !c.closed && c.owner != nil && l.cuts[c.owner] == CutSilent {
		l.changed.Wait()
	}
	return !c.closed
}

func (l *ProcessLink) close(c *processConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLocked(c)
}

// closeLocked closes both sides, the client's with a reset if its owner is cut off that way.
func (l *ProcessLink) closeLocked(c *processConn) {
	if c.closed {
		return
	}
	c.closed = true
	delete(l.conns, c)
	if c.owner != nil && l.cuts[c.owner] == CutReset {
		reset(c.client)
	} else {
		_ = c.client.Close()
	}
	if c.target != nil {
		_ = c.target.Close()
	}
	l.changed.Broadcast()
}

// reset closes the connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// ownerLocked returns the process, of those that were ever cut off, that opened the connection; nil
// if it is none of them.
func (l *ProcessLink) ownerLocked(client net.Conn) *Process {
	inode := socketInode(client.RemoteAddr().(*net.TCPAddr), client.LocalAddr().(*net.TCPAddr))
	if inode == 0 {
		return nil
	}
	for p := range l.cuts {
		if ownsSocket(p.PID(), inode) {
			return p
		}
	}
	return nil
}

// Layout of the messages of sock_diag(7): a request for one socket is a netlink header, eight bytes of
// options and the socket's ID; the inode stands at a fixed offset of the answer.
const (
	sockDiagByFamily  = 20
	sockDiagIDBytes   = 48
	sockDiagBytes     = unix.SizeofNlMsghdr + 8 + sockDiagIDBytes
	sockDiagInodeAt   = unix.SizeofNlMsghdr + 4 + sockDiagIDBytes + 16
	sockDiagAllStates = 0xffffffff
	sockDiagNoCookie  = 0xffffffff
)

// socketInode returns the inode of the TCP socket with the given addresses; 0 if there is none. It
// asks the kernel for this socket alone, as /proc/net/tcp grows with every closed connection.
func socketInode(local, remote *net.TCPAddr) uint32 {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return 0
	}
	defer func() { _ = unix.Close(fd) }()
	m := make([]byte, 0, sockDiagBytes)
	m = binary.NativeEndian.AppendUint32(m, sockDiagBytes)
	m = binary.NativeEndian.AppendUint16(m, sockDiagByFamily)
	m = binary.NativeEndian.AppendUint16(m, unix.NLM_F_REQUEST)
	m = append(m, make([]byte, 8)...) // sequence and port
	m = append(m, unix.AF_INET, unix.IPPROTO_TCP, 0, 0)
	m = binary.NativeEndian.AppendUint32(m, sockDiagAllStates)
	m = binary.BigEndian.AppendUint16(m, uint16(local.Port))
	m = binary.BigEndian.AppendUint16(m, uint16(remote.Port))
	m = append(append(m, local.IP.To4()...), make([]byte, 12)...)
	m = append(append(m, remote.IP.To4()...), make([]byte, 12)...)
	m = binary.NativeEndian.AppendUint32(m, 0) // any interface
	m = binary.NativeEndian.AppendUint32(m, sockDiagNoCookie)
	m = binary.NativeEndian.AppendUint32(m, sockDiagNoCookie)
	if err := unix.Sendto(fd, m, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0
	}
	answer := make([]byte, 4096)
	n, _, err := unix.Recvfrom(fd, answer, 0)
	if err != nil || n < sockDiagInodeAt+4 || binary.NativeEndian.Uint16(answer[4:]) != sockDiagByFamily {
		return 0
	}
	return binary.NativeEndian.Uint32(answer[sockDiagInodeAt:])
}

// ownsSocket reports whether the process has the socket with the given inode open.
func ownsSocket(pid int, inode uint32) bool {
	want := fmt.Sprintf("socket:[%d]", inode)
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if name, err := os.Readlink(dir + "/" + e.Name()); err == nil && name == want {
			return true
		}
	}
	return false
}
