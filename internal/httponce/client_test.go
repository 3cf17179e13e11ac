package httponce

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// breakingServer answers only the first request that it receives. For each later request, on any
// connection, it reads the request and closes the connection without an answer.
type breakingServer struct {
	listener net.Listener
	requests atomic.Int64
}

func newBreakingServer() *breakingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &breakingServer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	DeferCleanup(listener.Close)
	return s
}

func (s *breakingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if s.requests.Add(1) > 1 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func (s *breakingServer) url() string { return "http://" + s.listener.Addr().String() + "/" }

var _ = Describe("a pooled connection that breaks after the request was written", func() {
	// A service executes a booking that arrived on a pooled connection and crashes before it
	// answers. A transport that retries on its own would book a second bed without the caller's
	// knowledge.
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		for _, body := range []string{"", "bed 7"} {
			It("sends "+method+" with body '"+body+"' once", func() {
				server := newBreakingServer()
				client := New(Options{})
				send := func() (bool, error) {
					req, err := NewRequest(context.Background(), method, server.url(), []byte(body))
					Expect(err).NotTo(HaveOccurred())
					req.Header.Set("Idempotency-Key", "k1")
					resp, sent, err := client.Do(req)
					if err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
						Expect(resp.Body.Close()).To(Succeed())
					}
					return sent, err
				}
				_, err := send()
				Expect(err).NotTo(HaveOccurred())
				sent, err := send()
				Expect(err).To(HaveOccurred())
				Expect(sent).To(BeTrue())
				Expect(server.requests.Load()).To(BeEquivalentTo(2))
			})
		}
	}

	// Control case: with a plain net/http request the transport sends the second request twice,
	// which shows that breakingServer detects a replay.
	It("is repeated by net/http for an ordinary request with a key", func() {
		server := newBreakingServer()
		client := New(Options{})
		for range 2 {
			req, err := http.NewRequest(http.MethodPost, server.url(), nil)
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Idempotency-Key", "k1")
			if resp, _, err := client.Do(req); err == nil {
				Expect(resp.Body.Close()).To(Succeed())
			}
		}
		Expect(server.requests.Load()).To(BeNumerically(">", 2))
	})
})

var _ = Describe("whether a failed request was sent", func() {
	// Nothing listens at the address of the endpoint. The request was certainly not run, so it
	// can be retried on another endpoint immediately.
	It("is no when the connection is refused", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		addr := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		req, err := NewRequest(context.Background(), http.MethodPost, "http://"+addr, []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		_, sent, err := New(Options{}).Do(req)
		Expect(err).To(HaveOccurred())
		Expect(sent).To(BeFalse())
	})

	It("is no when the context was cancelled before the call", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		req, err := NewRequest(ctx, http.MethodPost, newBreakingServer().url(), []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		_, sent, err := New(Options{}).Do(req)
		Expect(err).To(HaveOccurred())
		Expect(sent).To(BeFalse())
	})

	// The caller gives up while the write goroutine of the transport is about to write. The
	// request is reported as not sent, but the write could still reach the endpoint afterwards.
	It("stays no: an aborted connection accepts no more writes", func() {
		local, remote := net.Pipe()
		DeferCleanup(remote.Close)
		conn := &trackedConn{Conn: local}
		Expect(conn.abort(conn.writeCount())).To(BeFalse())
		_, err := conn.Write([]byte("x"))
		Expect(err).To(MatchError(errAborted))
	})
})
