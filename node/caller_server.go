package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/peer"
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
	log      *zap.Logger

	mu      sync.Mutex
	current routing.Limits
	conns   *connListener
	servers []*http.Server
	// stopping is set once the server shuts down; stopped is closed at the end of it.
	stopping bool
	stopped  chan struct{}
}

func newCallerServer(handler http.Handler, listener net.Listener, log *zap.Logger) *callerServer {
	l := &callerServer{handler: handler, listener: listener, log: log, stopped: make(chan struct{})}
	l.apply(routing.Limits{})
	return l
}

// apply puts limits into force. Zero values select the defaults.
func (l *callerServer) apply(limits routing.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping || l.conns != nil && limits == l.current {
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

// Pauses after the system could not accept a connection: for a moment, it lacks descriptors or memory.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 200 * time.Millisecond
	// acceptLogInterval is the shortest time between two lines on such failures.
	acceptLogInterval = time.Second
)

// serve accepts connections until the listener fails for good or the server has been closed, and returns
// the error of Accept.
func (l *callerServer) serve() error {
	pause := minAcceptPause
	var loggedAt time.Time
	for {
		conn, err := l.listener.Accept()
		switch {
		case err == nil:
			pause = minAcceptPause
			l.dispatch(conn)
			continue
		case l.isStopping():
			<-l.stopped
			return err
		case !lacksResources(err):
			return err
		}
		metrics.Count("callers_not_accepted")
		if time.Since(loggedAt) >= acceptLogInterval {
			loggedAt = time.Now()
			l.log.Warn("connections of callers cannot be accepted", zap.Error(err), zap.Duration("pause", pause))
		}
		time.Sleep(pause)
		pause = min(2*pause, maxAcceptPause)
	}
}

// lacksResources reports whether an error of Accept may pass.
func lacksResources(err error) bool {
	for _, temporary := range []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

func (l *callerServer) dispatch(conn net.Conn) {
	for {
		l.mu.Lock()
		conns, stopping := l.conns, l.stopping
		l.mu.Unlock()
		if stopping {
			_ = conn.Close()
			return
		}
		select {
		case conns.conns <- conn:
			return
		case <-conns.done:
		}
	}
}

// shutDown accepts no more connections and waits until the answers that are being written have been
// sent, or until ctx ends. It leaves no connection open.
func (l *callerServer) shutDown(ctx context.Context) {
	var all sync.WaitGroup
	for _, s := range l.stop() {
		all.Go(func() { peer.Shutdown(ctx, s) })
	}
	all.Wait()
}

// close closes all servers and their connections, and ends serve.
func (l *callerServer) close() {
	for _, s := range l.stop() {
		_ = s.Close()
	}
	close(l.stopped)
}

// stop closes the listener and returns the servers.
func (l *callerServer) stop() []*http.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	_ = l.listener.Close()
	return l.servers
}

func (l *callerServer) isStopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopping
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
