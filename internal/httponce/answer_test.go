package httponce

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/early"
)

// exchange sends a long request to an endpoint that answers with the text, and reads the whole answer.
func exchange(text string, end func(conn *net.TCPConn)) error {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	go early.Serve(listener, text, end)
	req, err := NewRequest(context.Background(), http.MethodPost, "http://"+listener.Addr().String()+"/", bytes.Repeat([]byte{'b'}, 8<<20))
	Expect(err).NotTo(HaveOccurred())
	resp, sent, err := New(Options{}).Do(req)
	Expect(sent).To(BeTrue())
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return err
}

// Guards against malformed heads that become answers, by which a request counts as run or refused.
var _ = DescribeTable("a malformed head is no answer", func(head string) {
	Expect(exchange(head+"Content-Length: 5\r\n\r\nwhole", early.CloseRead)).To(HaveOccurred())
},
	Entry("status 000", "HTTP/1.1 000 x\r\n"),
	Entry("status 600", "HTTP/1.1 600 x\r\n"),
	Entry("a blank before a colon", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n"),
	Entry("a control byte in a value", "HTTP/1.1 200 OK\r\nX: a\x01b\r\n"),
)

var _ = Describe("an answer whose connection ends while the request is being written", func() {
	// Guards against an answer without a length that looks whole because the transport's write took the error
	// of the connection.
	DescribeTable("is broken if it has no length", func(end func(conn *net.TCPConn)) {
		for range 5 {
			Expect(exchange("HTTP/1.1 200 OK\r\n\r\nwhole", end)).To(HaveOccurred())
		}
	},
		Entry("by a reset at once", early.Reset(0)),
		Entry("by a reset after 5 ms", early.Reset(5*time.Millisecond)),
		Entry("by a reset after 50 ms", early.Reset(50*time.Millisecond)),
		Entry("by a close with the request unread", early.CloseUnread),
	)

	// Guards against whole answers that are lost since they come before the request was sent.
	It("is whole if it has a length", func() {
		Expect(exchange("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", early.Reset(50*time.Millisecond))).To(Succeed())
	})
})
