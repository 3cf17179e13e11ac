package node_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/early"
)

// startRaw starts an endpoint that reads the head of one request on each connection and leaves the answer to
// a function. Its health checks are good.
func startRaw(answer func(conn *net.TCPConn, r *http.Request)) string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		switch {
		case err != nil:
		case r.URL.Path == "/healthz":
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nCrocusreel-Instance-Id: raw\r\nContent-Length: 0\r\n\r\n")
		default:
			answer(conn.(*net.TCPConn), r)
		}
	}
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// startOdd starts an endpoint that gives each request the answer of text, having read its head only, and then ends
// the connection.
func startOdd(text func(id string) string, end func(conn *net.TCPConn)) string {
	GinkgoHelper()
	return startRaw(func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(conn, text(r.Header.Get("Crocusreel-Attempt-Id")))
		end(conn)
	})
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

// oddHeads are malformed heads, with what follows them.
var oddHeads = map[string]func(id string) string{
	"status 000 with an answer in its body": func(id string) string {
		return "HTTP/1.1 000 x\r\nCrocusreel-Attempt-Id: " + id + "\r\n\r\n" + cutHead(id) + "Content-Length: 4\r\n\r\nbody"
	},
	"status 999": func(id string) string {
		return strings.Replace(cutHead(id), " 200 ", " 999 ", 1) + "Content-Length: 4\r\n\r\nbody"
	},
	"a blank before the colon": func(id string) string {
		return cutHead(id) + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	},
	"chunks in HTTP/1.0": func(id string) string {
		return strings.Replace(cutHead(id), "HTTP/1.1", "HTTP/1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	},
}

var _ = Describe("an answer whose head is malformed", func() {
	// Guards against such an answer that is delivered, in part or with a body that is not the endpoint's, and
	// against a statement that the request has not run.
	DescribeTable("is not delivered", func(forwarded bool) {
		s := &reachSite{site: newSite()}
		s.perProcess = forwarded
		var text atomic.Pointer[func(id string) string]
		address := startOdd(func(id string) string { return (*text.Load())(id) }, early.CloseUnread)
		for _, service := range []string{"app", "pool"} {
			id := "odd-" + service
			s.addresses[id] = s.exposeEndpoint(id, address)
			s.register(id, service, s.addresses[id], "ready")
		}
		if !forwarded {
			s.start(1)
		} else {
			s.start(3)
			s.cutOff(s.nodes[0], rig.CutReset)
			s.awaitLoss("app")
		}
		for name, head := range oddHeads {
			text.Store(&head)
			for _, path := range []string{"/bookings/1", "/drafts/1"} {
				got := s.sendOver(client, s.nodes[0], path, "key", 800*time.Millisecond)
				Expect(got.status).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout), "%s, %s: %+v", name, path, got)
			}
		}
	},
		Entry("by the node that got the request", false),
		Entry("by a node that has it served by another one", true),
	)
})
