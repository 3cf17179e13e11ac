package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/routing"
)

// endlessService adds an endpoint of the plain service, near and preferred, that answers with a beginning
// and then with the same bytes again and again.
func (r *testRelay) endlessService(id, begin, again string) {
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
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, begin)
				for err == nil {
					_, err = io.WriteString(conn, again)
				}
			}()
		}
	}()
	r.Fleet.Update(fleet.Instance{ID: id, Service: "app", Address: listener.Addr().String(), DataCentre: "dc1", Slots: 8})
}

var _ = Describe("an endpoint that sends bytes without end", func() {
	long := strings.Repeat("x", 32<<10)

	// Guards against a request that waits until its deadline for the end of a head or of a refusal, although
	// another endpoint is sound.
	DescribeTable("does not keep a call from another endpoint", func(begin, again string) {
		r := newTestRelay()
		r.service("sound", worker.None)
		for _, id := range []string{"a", "b", "c", "d"} {
			r.endlessService(id, begin, again)
		}
		for range 5 {
			req := r.request(routing.Idempotent)
			req.Route.MaxAttempts = 8
			began := time.Now()
			v, a := r.serve(req)
			Expect(v.Broken).To(BeFalse())
			if v.Refusal == nil {
				Expect(a.text()).To(Equal("answer to " + req.ID))
			}
			Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		}
		req := r.request(routing.Idempotent)
		v, _ := r.serve(req)
		Expect(v.Refusal).To(BeNil())
	},
		Entry("in a status line", "HTTP/1.1 200 ", long),
		Entry("in header fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"),
		Entry("in informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
		Entry("in the body of a refusal", "HTTP/1.1 503 Service Unavailable\r\nCrocusreel-Not-Executed: 1\r\n\r\n", long),
	)

	// Guards against a stream that keeps its caller, its engine's memory and the node for as long as the
	// engine likes.
	It("ends a stream far beyond the longest answer that was asked for", func() {
		r := newTestRelay()
		r.start("pool", worker.Options{ID: "e1", Events: 4000, EventInterval: time.Millisecond, KVStore: r.memory})
		req := r.request(routing.Streaming)
		req.Deadline = time.Now().Add(20 * time.Second)
		req.Size.MaxOutput = 40
		v, _ := r.serve(req)
		Expect(v.Broken).To(BeTrue())
		Expect(v.Events).To(BeNumerically("<=", 2*40+1010))
	})

	// Guards against an event without an end that takes the node's memory.
	It("ends a stream in an event that is too long", func() {
		r := newTestRelay()
		r.endlessService("a", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ", long)
		req := r.request(routing.Streaming)
		req.Service = app
		began := time.Now()
		v, a := r.serve(req)
		Expect(v.Broken || v.Refusal != nil).To(BeTrue())
		Expect(len(a.text())).To(BeNumerically("<", 1<<20))
		Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	})
})
