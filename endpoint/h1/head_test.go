package h1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/endpoint/h1"
)

// own is a field by which an answer bears the ID of its request.
const own = "X-Id: 1\r\n"

// startClosing starts an endpoint that answers one request with the text and closes the connection.
func startClosing(text string) string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, text)
		}
	}()
	return listener.Addr().String()
}

// receive returns the status and the whole body of an answer.
func receive(text string) (status int, body string, err error) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	resp, err := h1.NewClient().Do(ctx, startClosing(text), &h1.Request{
		Method: http.MethodPost, Target: "/", Host: "a.example", Body: []byte("b"),
		OwnerOf: func(_ int, h http.Header) h1.Ownership {
			if h.Get("X-Id") == "1" {
				return h1.Own
			}
			return h1.Foreign
		},
	})
	if err != nil {
		return 0, "", err
	}
	defer resp.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

var _ = Describe("the head of an answer", func() {
	const inner = "HTTP/1.1 200 OK\r\n" + own + "Content-Length: 5\r\n\r\ninner"

	// Guards against malformed heads that become answers: skipped as informational, so that what
	// follows in the body is read as a head, or read with another end of the body.
	DescribeTable("that is malformed is no answer", func(text string) {
		status, body, err := receive(text)
		Expect(err).To(HaveOccurred(), "%d %q", status, body)
	},
		Entry("status 000", "HTTP/1.1 000 x\r\n"+own+"Content-Length: 4\r\n\r\nbody"),
		Entry("status 000 with an answer in its body", "HTTP/1.1 000 x\r\n"+own+"\r\n"+inner),
		Entry("status 099 with an answer in its body", "HTTP/1.1 099 x\r\n"+own+"\r\n"+inner),
		Entry("status 101 with an answer after it", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"+inner),
		Entry("status 600", "HTTP/1.1 600 x\r\n"+own+"Content-Length: 4\r\n\r\nbody"),
		Entry("status 999", "HTTP/1.1 999 x\r\n"+own+"Content-Length: 4\r\n\r\nbody"),
		Entry("a blank before the colon of an encoding", "HTTP/1.1 200 OK\r\n"+own+"Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
		Entry("a blank before the colon of a length", "HTTP/1.1 200 OK\r\n"+own+"Content-Length : 50\r\n\r\nbody"),
		Entry("a tab before the colon", "HTTP/1.1 200 OK\r\n"+own+"Content-Length\t: 50\r\n\r\nbody"),
		Entry("a blank in a name", "HTTP/1.1 200 OK\r\n"+own+"X y: z\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("a control byte in a name", "HTTP/1.1 200 OK\r\n"+own+"X\x01: z\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("a byte over 127 in a name", "HTTP/1.1 200 OK\r\n"+own+"X\xe9: z\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("an empty name", "HTTP/1.1 200 OK\r\n"+own+": z\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("a control byte in a value", "HTTP/1.1 200 OK\r\n"+own+"X: a\x00b\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("a length and chunks", "HTTP/1.1 200 OK\r\n"+own+"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
		Entry("chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n"+own+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
		Entry("an interim answer with a length", "HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\nbody"+inner),
		Entry("an interim answer with a length, whose body is an answer", "HTTP/1.1 103 Early Hints\r\nContent-Length: 70\r\n\r\n"+inner),
		Entry("HTTP/2 as its version", "HTTP/2.0 200 OK\r\n"+own+"Content-Length: 4\r\n\r\nbody"),
		Entry("a sign in a length", "HTTP/1.1 200 OK\r\n"+own+"Content-Length: +4\r\n\r\nbody"),
		Entry("two lengths", "HTTP/1.1 200 OK\r\n"+own+"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody"),
		Entry("a length folded into two lines", "HTTP/1.1 200 OK\r\n"+own+"Content-Length: 4\r\n 5\r\n\r\nbody"),
		Entry("a sign in a chunk size", "HTTP/1.1 200 OK\r\n"+own+"Transfer-Encoding: chunked\r\n\r\n+4\r\nbody\r\n0\r\n\r\n"),
		Entry("a blank before a chunk size", "HTTP/1.1 200 OK\r\n"+own+"Transfer-Encoding: chunked\r\n\r\n 4\r\nbody\r\n0\r\n\r\n"),
		Entry("a trailer without a colon", "HTTP/1.1 200 OK\r\n"+own+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nbroken\r\n\r\n"),
	)

	// Guards against sound answers that are lost to the checks of their heads.
	DescribeTable("that is sound is an answer", func(text string) {
		status, body, err := receive(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("body"))
	},
		Entry("after an interim answer", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n"+own+"Content-Length: 4\r\n\r\nbody"),
		Entry("with bytes over 127 in a value", "HTTP/1.1 200 OK\r\n"+own+"X: caf\xe9\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("with an empty value", "HTTP/1.1 200 OK\r\n"+own+"X:\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("with a folded field", "HTTP/1.1 200 OK\r\n"+own+"X: a\r\n b\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("with the name of a framing field in a value", "HTTP/1.1 200 OK\r\n"+own+"X: Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("with trailers and a chunk extension", "HTTP/1.1 200 OK\r\n"+own+"Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4;a=b\r\nbody\r\n0\r\nX: y\r\n\r\n"),
		Entry("with a blank after a chunk size", "HTTP/1.1 200 OK\r\n"+own+"Transfer-Encoding: chunked\r\n\r\n4 \r\nbody\r\n0\r\n\r\n"),
	)
})
