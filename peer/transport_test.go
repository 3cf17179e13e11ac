package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Many requests acquire permits concurrently. Over HTTP/1 each would need its own connection, and a
// burst would exhaust the ports. The server still accepts HTTP/1 from other clients.
func TestClientAndServerSpeakHTTP2InCleartext(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Proto", r.Proto)
	}), nil)
	go func() { _ = s.Serve(l) }()
	defer Shutdown(context.Background(), s)
	for client, proto := range map[*http.Client]string{NewHTTPClient(nil): "HTTP/2.0", {}: "HTTP/1.1"} {
		resp, err := client.Get(BaseURL(l.Addr().String(), nil))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(resp.Body.Close()).To(gomega.Succeed())
		g.Expect(resp.Header.Get("Proto")).To(gomega.Equal(proto))
		client.CloseIdleConnections()
	}
}

// Guards against streams that fill the memory of a process whose own caller reads slowly.
func TestStreamingClientBuffersLittleOfAStreamThatIsNotRead(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	const streamBytes = 4 << 20
	var sent atomic.Int64
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for sent.Load() < streamBytes {
			n, err := w.Write(make([]byte, 16<<10))
			if err != nil {
				return
			}
			sent.Add(int64(n))
		}
	}), nil)
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	client := NewStreamingClient()
	defer client.CloseIdleConnections()
	resp, err := client.Get(BaseURL(l.Addr().String(), nil))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	g.Consistently(sent.Load, 300*time.Millisecond).Should(gomega.BeNumerically("<", 4*streamBufferBytes))
	n, err := io.Copy(io.Discard, resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(n).To(gomega.BeNumerically(">=", int64(streamBytes)))
}
