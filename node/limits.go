package node

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/routing"
)

// Defaults for limits of callers' connections that the configuration does not set.
const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// limits serves callers' connections under the limits in force. The limits of an http.Server cannot
// change while it serves, so connections accepted after a change go to a new server; earlier ones
// keep the limits that were in force when they were accepted.
type limits struct {
	handler  http.Handler
	listener net.Listener

	mu      sync.Mutex
	current routing.Limits
	conns   *handedListener
	servers []*http.Server
}

func newLimits(handler http.Handler, listener net.Listener) *limits {
	l := &limits{handler: handler, listener: listener}
	l.apply(routing.Limits{})
	return l
}

// apply puts limits into force. Zero values select the defaults.
func (l *limits) apply(r routing.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns != nil && r == l.current {
		return
	}
	if l.conns != nil {
		// Ends Serve. The server continues to serve the connections it has already accepted.
		_ = l.conns.Close()
	}
	l.current = r
	l.conns = &handedListener{addr: l.listener.Addr(), conns: make(chan net.Conn), done: make(chan struct{})}
	server := &http.Server{
		Handler:           l.handler,
		MaxHeaderBytes:    orDefault(r.MaxHeaderBytes, defaultHeaderBytes),
		ReadHeaderTimeout: orDefault(r.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       orDefault(r.IdleTimeout, defaultIdleTimeout),
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
func (l *limits) serve() error {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return err
		}
		l.hand(conn)
	}
}

func (l *limits) hand(conn net.Conn) {
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
func (l *limits) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.servers {
		_ = s.Close()
	}
}

// handedListener is a net.Listener that accepts the connections sent to its channel.
type handedListener struct {
	addr  net.Addr
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

// Accept implements net.Listener.
func (h *handedListener) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handedListener) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *handedListener) Addr() net.Addr { return h.addr }
