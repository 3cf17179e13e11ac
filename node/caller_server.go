package node

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/routing"
)

// Defaults of the limits on callers' connections, for limits that the configuration does not set.
const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// callerServer serves callers' connections under the limits in force. The limits of an
// http.Server cannot change while it serves, so connections accepted after a change go to a new
// server; earlier ones keep the limits that were in force when they were accepted.
type callerServer struct {
	handler  http.Handler
	listener net.Listener

	mu      sync.Mutex
	current routing.Limits
	conns   *connListener
	servers []*http.Server
}

func newCallerServer(handler http.Handler, listener net.Listener) *callerServer {
	l := &callerServer{handler: handler, listener: listener}
	l.apply(routing.Limits{})
	return l
}

// apply puts limits into force. Zero values select the defaults.
func (l *callerServer) apply(limits routing.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns != nil && limits == l.current {
		return
	}
	if l.conns != nil {
		// Ends Serve. The server continues to serve the connections it has already accepted.
		_ = l.conns.Close()
	}
	l.current = limits
	l.conns = &connListener{addr: l.listener.Addr(), conns: make(chan net.Conn), done: make(chan struct{})}
	server := &http.Server{
		Handler:           l.handler,
		MaxHeaderBytes:    orDefault(limits.MaxHeaderBytes, defaultHeaderBytes),
		ReadHeaderTimeout: orDefault(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       orDefault(limits.IdleTimeout, defaultIdleTimeout),
	}
	l.servers = append(l.servers, server)
	conns := l.conns
	go func() { _ = server.Serve(conns) }()
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// serve accepts connections until the listener is closed, and returns the error of Accept.
func (l *callerServer) serve() error {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return err
		}
		l.dispatch(conn)
	}
}

func (l *callerServer) dispatch(conn net.Conn) {
	for {
		l.mu.Lock()
		conns := l.conns
		l.mu.Unlock()
		select {
		case conns.conns <- conn:
			return
		case <-conns.done:
		}
	}
}

// close closes all servers and their connections.
func (l *callerServer) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.servers {
		_ = s.Close()
	}
}

// connListener is a net.Listener that accepts the connections sent to its channel.
type connListener struct {
	addr  net.Addr
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

// Accept implements net.Listener.
func (h *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *connListener) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *connListener) Addr() net.Addr { return h.addr }
