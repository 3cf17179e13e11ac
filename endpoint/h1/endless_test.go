package h1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/endpoint/h1"
)

// endlessEndpoint answers each request with a beginning and then with the same bytes again and again.
type endlessEndpoint struct {
	net.Listener
	begin, again string
	// pause is the time between two repetitions.
	pause time.Duration
}

func startEndless(begin, again string, pause time.Duration) *endlessEndpoint {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	e := &endlessEndpoint{Listener: listener, begin: begin, again: again, pause: pause}
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.answer(conn)
		}
	}()
	return e
}

// endlessBytes bounds what an endpoint sends if its client does not close.
const endlessBytes = 256 << 20

func (e *endlessEndpoint) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, err := io.WriteString(conn, e.begin)
	again := []byte(e.again) // The endpoint's own writes allocate nothing: the specs count allocations.
	for sent := 0; err == nil && sent < endlessBytes; sent += len(again) {
		time.Sleep(e.pause)
		_, err = conn.Write(again)
	}
}

// allocated returns the bytes that have been allocated so far.
func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

var _ = Describe("an endpoint that sends bytes without end", func() {
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		memory  = 4 << 20
		atOnce  = 500 * time.Millisecond
		limited = 3 * time.Second
	)
	long := strings.Repeat("x", 32<<10)
	get := &h1.Request{Method: http.MethodGet, Target: "/", Host: "a.example"}

	// Guards against a head without an end, which took the memory of the process or the time of the request.
	DescribeTable("in the head of an answer fails the exchange soon", func(begin, again string, pause, within time.Duration) {
		e := startEndless(begin, again, pause)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		before, began := allocated(), time.Now()
		other := &h1.Request{Method: get.Method, Target: get.Target, Host: get.Host, OwnerOf: func(int, http.Header) h1.Ownership { return h1.Foreign }}
		_, err := h1.NewClient().Do(ctx, e.Addr().String(), other)
		Expect(err).To(HaveOccurred())
		Expect(err.(*h1.Error).Sent).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", within))
		Expect(allocated() - before).To(BeNumerically("<", memory))
	},
		Entry("a status line", "HTTP/1.1 200 ", long, time.Duration(0), atOnce),
		Entry("no answer at all", "", long, time.Duration(0), atOnce),
		Entry("a header field", ok+"X: ", long, time.Duration(0), atOnce),
		Entry("header fields", ok, strings.Repeat("X: y\r\n", 1000), time.Duration(0), atOnce),
		Entry("informational answers", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100), time.Duration(0), atOnce),
		Entry("large informational answers", "", "HTTP/1.1 103 Early Hints\r\nX: "+long+"\r\n\r\n", time.Duration(0), atOnce),
		Entry("a status line that arrives slowly", "HTTP/1.1 200 ", "x", 50*time.Millisecond, limited),
		Entry("header fields that arrive slowly", ok, "X: y\r\n", 50*time.Millisecond, limited),
		Entry("answers to other requests", "", ok+"X: "+long+"\r\nContent-Length: 0\r\n\r\n", time.Duration(0), atOnce),
	)

	// Guards against a wait for the rest of a body of no interest, and against a connection that is used
	// again with a part of it.
	DescribeTable("in a body of no interest costs its connection only", func(begin, again string, pause time.Duration) {
		e := startEndless(begin, again, pause)
		client := h1.NewClient()
		before := allocated()
		for range 3 {
			resp, err := client.Do(context.Background(), e.Addr().String(), get)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.NewConnection).To(BeTrue())
			began := time.Now()
			resp.Discard()
			Expect(time.Since(began)).To(BeNumerically("<", atOnce))
		}
		Expect(allocated() - before).To(BeNumerically("<", memory))
	},
		Entry("without a length", ok+"\r\n", long, time.Duration(0)),
		Entry("without a length, slowly", ok+"\r\n", "x", 20*time.Millisecond),
		Entry("in chunks", ok+"Transfer-Encoding: chunked\r\n\r\n", "8\r\n12345678\r\n", time.Duration(0)),
		Entry("with a large length", ok+"Content-Length: 1000000000\r\n\r\n", long, time.Duration(0)),
	)

	// Guards against parts of a chunked body that are no content and have no end.
	DescribeTable("in a chunked body ends its reading", func(begin, again string) {
		e := startEndless(ok+"Transfer-Encoding: chunked\r\n\r\n"+begin, again, 0)
		before := allocated()
		resp, err := h1.NewClient().Do(context.Background(), e.Addr().String(), get)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Close()
		began := time.Now()
		n, err := io.Copy(io.Discard, resp.Body)
		Expect(err).To(HaveOccurred())
		Expect(n).To(BeNumerically("<", 1<<10))
		Expect(time.Since(began)).To(BeNumerically("<", atOnce))
		Expect(allocated() - before).To(BeNumerically("<", memory))
	},
		Entry("in the line of a chunk", "", "0"),
		Entry("in an extension", "8;", long),
		Entry("in the trailer", "0\r\n", "X: y\r\n"),
		Entry("in a field of the trailer", "0\r\nX: ", long),
		Entry("after a chunk", "1\r\nx", long),
	)

	// Guards against a limit that breaks sound answers: long heads, informational answers, and heads that
	// begin late.
	It("is told apart from long and late heads", func() {
		e := startEndless("HTTP/1.1 100 Continue\r\n\r\n"+ok+"X: "+strings.Repeat("y", 20<<10)+"\r\nContent-Length: 2\r\n\r\nok", "", time.Hour)
		resp, err := h1.NewClient().Do(context.Background(), e.Addr().String(), get)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Close()
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("ok"))
		late := startEndless("", ok+"Content-Length: 2\r\n\r\nok", 2500*time.Millisecond)
		resp, err = h1.NewClient().Do(context.Background(), late.Addr().String(), get)
		Expect(err).NotTo(HaveOccurred())
		resp.Close()
	})
})
