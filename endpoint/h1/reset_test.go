package h1_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/internal/standin/early"
)

// startEarly starts an endpoint that answers before it has read a request, and then ends the connection.
func startEarly(text string, end func(conn *net.TCPConn)) string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go early.Serve(listener, text, end)
	return listener.Addr().String()
}

var _ = Describe("an endpoint that ends the connection while a long body is being written", func() {
	const (
		unframed = "HTTP/1.1 200 OK\r\n\r\nwhole"
		events   = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"
		sized    = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
		chunked  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
	)

	exchange := func(address string) error {
		resp, err := h1.NewClient().Do(context.Background(), address, &h1.Request{
			Method: http.MethodPost, Target: "/", Host: "a.example", Body: bytes.Repeat([]byte{'b'}, 8<<20),
		})
		if err != nil {
			return err
		}
		defer resp.Close()
		_, err = io.ReadAll(resp.Body)
		return err
	}

	// Guards against an answer without a length that looks whole because the write of the request took the
	// error of the connection.
	DescribeTable("shows an answer without a length as broken", func(text string, end func(conn *net.TCPConn)) {
		address := startEarly(text, end)
		for range 5 {
			Expect(exchange(address)).To(HaveOccurred())
		}
	},
		Entry("when it resets at once", unframed, early.Reset(0)),
		Entry("when it resets after 5 ms", unframed, early.Reset(5*time.Millisecond)),
		Entry("when it resets after 50 ms", unframed, early.Reset(50*time.Millisecond)),
		Entry("when it resets after 300 ms", unframed, early.Reset(300*time.Millisecond)),
		Entry("when it closes with the request unread", unframed, early.CloseUnread),
		Entry("when it resets a stream", events, early.Reset(5*time.Millisecond)),
	)

	// Guards against whole answers that are lost since they come before the body was read.
	DescribeTable("takes a whole answer", func(text string, end func(conn *net.TCPConn)) {
		Expect(exchange(startEarly(text, end))).To(Succeed())
	},
		Entry("with a length before a reset", sized, early.Reset(50*time.Millisecond)),
		Entry("in chunks before a reset", chunked, early.Reset(50*time.Millisecond)),
		Entry("without a length if it reads on", unframed, early.CloseRead),
	)
})
