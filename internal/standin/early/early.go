// Package early is a stand-in for an endpoint that answers before it has read a request, and then ends the
// connection.
package early

import (
	"io"
	"net"
	"time"
)

// readBytes is how much of a request is read before it is answered.
const readBytes = 1024

// Serve answers each connection that the listener accepts with the text, as soon as it has read the first
// kilobyte of a request, and then ends it. It returns when the listener is closed.
func Serve(listener net.Listener, text string, end func(conn *net.TCPConn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			_, _ = io.ReadFull(conn, make([]byte, readBytes))
			_, _ = io.WriteString(conn, text)
			end(conn.(*net.TCPConn))
		}()
	}
}

// Reset returns an end that resets the connection after a pause.
func Reset(pause time.Duration) func(conn *net.TCPConn) {
	return func(conn *net.TCPConn) {
		time.Sleep(pause)
		_ = conn.SetLinger(0)
	}
}

// CloseUnread closes the connection, the rest of the request being unread.
func CloseUnread(*net.TCPConn) {}

// CloseRead closes the endpoint's direction of the connection, and reads the rest of the request.
func CloseRead(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}
