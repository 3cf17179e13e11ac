package node_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/node"
)

var _ = Describe("The server for callers", func() {
	// Guards against an answer that is cut off because the process ends while it is being written.
	It("delivers the answers that are being written when it shuts down", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		entered := make(chan struct{})
		served := make(chan error, 1)
		server := node.NewCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(entered)
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(w, "answer")
		}), listener)
		go func() { served <- server.Serve() }()
		answers := make(chan string, 1)
		go func() {
			resp, err := http.Get("http://" + listener.Addr().String())
			if err != nil {
				answers <- err.Error()
				return
			}
			defer func() { _ = resp.Body.Close() }()
			body, _ := io.ReadAll(resp.Body)
			answers <- string(body)
		}()
		Eventually(entered).Should(BeClosed())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		server.ShutDown(ctx)
		Eventually(answers).Should(Receive(Equal("answer")))
		_, err = net.Dial("tcp", listener.Addr().String())
		Expect(err).To(HaveOccurred())
		Expect(served).NotTo(Receive())
		server.Close()
		Eventually(served).Should(Receive(HaveOccurred()))
	})
})
