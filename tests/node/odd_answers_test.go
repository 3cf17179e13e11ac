package node_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/early"
)

// startOdd starts an endpoint whose health checks are good and that gives each other request the answer of text,
// having read its head only, and then ends the connection.
func startOdd(text func(id string) string, end func(conn *net.TCPConn)) string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				if r.URL.Path == "/healthz" {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nCrocusreel-Instance-Id: odd\r\nContent-Length: 0\r\n\r\n")
					return
				}
				_, _ = io.WriteString(conn, text(r.Header.Get("Crocusreel-Attempt-Id")))
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// uploadBytes is the size of a request of which an endpoint reads the beginning only.
const uploadBytes = 3 << 20

var _ = Describe("an answer that the endpoint breaks off while a long request is being written", func() {
	// Guards against a part of an answer that is delivered as a whole one: the write of the request took the
	// error of the connection, and the end of the answer looked orderly.
	DescribeTable("is not delivered as whole", func(path, head, body string, end func(conn *net.TCPConn)) {
		s := newSite()
		address := startOdd(func(id string) string { return cutHead(id) + head + "\r\n" + body }, end)
		for _, service := range []string{"app", "pool"} {
			s.register("odd-"+service, service, address, "ready")
		}
		s.start(1)
		for range 3 {
			got := s.sendRequest(client, s.nodes[0], path, strings.Repeat("b", uploadBytes), http.Header{"Crocusreel-Deadline-Ms": {"1500"}})
			Expect(got.status == http.StatusOK && got.complete).To(BeFalse(), "%+v", got)
			Expect(got.status).NotTo(Equal(http.StatusServiceUnavailable), "%+v", got)
		}
	},
		Entry("when it resets at once", "/bookings/1", "", "part", early.Reset(0)),
		Entry("when it resets after 50 ms", "/bookings/1", "", "part", early.Reset(50*time.Millisecond)),
		Entry("when it closes with the request unread", "/bookings/1", "", "part", early.CloseUnread),
		Entry("when the call may be repeated", "/calls/1", "", "part", early.Reset(5*time.Millisecond)),
		Entry("when it is a stream", "/drafts/1", "Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n", early.Reset(5*time.Millisecond)),
	)
})
