package h1_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/endpoint/h1"
)

// scriptedEndpoint answers the requests on each connection with the given texts, in order. It reads the
// requests itself, so that a text may hold no answer or several.
type scriptedEndpoint struct {
	net.Listener
	opened atomic.Int32
}

func startScripted(texts ...string) *scriptedEndpoint {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	e := &scriptedEndpoint{Listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.opened.Add(1)
			go serveScript(conn, texts)
		}
	}()
	return e
}

func serveScript(conn net.Conn, texts []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, text := range texts {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, text)
	}
	_, _ = http.ReadRequest(reader)
}

func scripted(status, id string) string {
	if id != "" {
		id = "Id: " + id + "\r\n"
	}
	return "HTTP/1.1 " + status + "\r\n" + id + "Content-Length: 2\r\n\r\nok"
}

// identified returns a request with the given ID, whose answers bear it.
func identified(id, body string) *h1.Request {
	return &h1.Request{
		Method: http.MethodPost, Target: "/", Host: "a.example", Header: http.Header{}, Body: []byte(body),
		OwnerOf: func(_ int, h http.Header) h1.Ownership {
			switch h.Get("Id") {
			case id:
				return h1.Own
			case "":
				return h1.Unidentified
			}
			return h1.Foreign
		},
		Barrier: &h1.Barrier{Header: http.Header{}, IsAnswer: func(status int, _ http.Header) bool { return status == http.StatusMisdirectedRequest }},
	}
}

var _ = Describe("an answer", func() {
	const (
		ok, refused, barrier = "200 OK", "503 Service Unavailable", "421 Misdirected Request"
		none                 = ""
	)
	first := scripted(ok, "1")

	// do sends request 1 and then request 2 on the same connection.
	do := func(e *scriptedEndpoint) (*h1.Response, error) {
		GinkgoHelper()
		client := h1.NewClient()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		DeferCleanup(cancel)
		resp, err := client.Do(ctx, e.Addr().String(), identified("1", ""))
		Expect(err).NotTo(HaveOccurred())
		resp.Discard()
		resp, err = client.Do(ctx, e.Addr().String(), identified("2", ""))
		Expect(e.opened.Load()).To(BeNumerically("==", 1))
		return resp, err
	}

	// Guards against an answer that is taken for that of the request after it on a kept connection.
	DescribeTable("is that of the request before it only with proof", func(status int, second ...string) {
		resp, err := do(startScripted(append([]string{first}, second...)...))
		if status == 0 {
			Expect(err).To(MatchError(h1.ErrUnidentified))
			var failed *h1.Error
			Expect(errors.As(err, &failed)).To(BeTrue())
			Expect(failed.Sent && failed.Heard).To(BeTrue())
			return
		}
		Expect(err).NotTo(HaveOccurred())
		defer resp.Close()
		Expect(resp.StatusCode).To(Equal(status))
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("ok"))
	},
		Entry("its ID", 503, scripted(refused, "2")),
		Entry("no ID, the barrier next", 503, scripted(refused, none), scripted(barrier, none)),
		Entry("no ID, then the own answer", 200, scripted(refused, none)+scripted(ok, "2")),
		Entry("no ID, the own answer after the barrier was sent", 200, scripted(refused, none), scripted(ok, "2")),
		Entry("two without an ID of one kind", 503, scripted(refused, none)+scripted(refused, none), scripted(barrier, none)),
		Entry("two without an ID of two kinds", 0, scripted(refused, none)+scripted("400 Bad Request", none), scripted(barrier, none)),
		Entry("no ID, the first barrier refused too", 503, scripted(refused, none), scripted(refused, none), scripted(barrier, none)),
		Entry("no ID, all barriers refused too", 0, scripted(refused, none), scripted(refused, none), scripted(refused, none)),
		Entry("no ID, and the end of the connection", 0, strings.Replace(scripted(refused, none), "\r\n", "\r\nConnection: close\r\n", 1)),
		Entry("another ID, then the own answer", 200, scripted(ok, "1")+scripted(ok, "2")),
	)

	// Guards against a refusal that does not count although nothing else can be on a new connection.
	It("is believed without an ID on a new connection", func() {
		resp, err := h1.NewClient().Do(context.Background(), startScripted(scripted(refused, none)).Addr().String(), identified("1", "body"))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(503))
		resp.Discard()
	})

	// Guards against a connection that is used again although more may come on it.
	DescribeTable("is followed by no request on its connection", func(answer, body string) {
		e := startScripted(answer, scripted(ok, "1"))
		client := h1.NewClient()
		for range 2 {
			resp, err := client.Do(context.Background(), e.Addr().String(), identified("1", body))
			Expect(err).NotTo(HaveOccurred())
			resp.Discard()
		}
		Expect(e.opened.Load()).To(BeNumerically("==", 2))
	},
		Entry("if it bears no ID", scripted(refused, none), none),
		Entry("if it refuses a request with a body", scripted(refused, "1"), "body"),
		Entry("if one before it was skipped", scripted(ok, "0")+scripted(ok, "1"), none),
	)

	// Guards against a refusal of a long request, sent before its body was read, that does not count.
	It("is believed without an ID after a long body", func() {
		e := startScripted(scripted(ok, "1"), scripted(refused, none))
		client := h1.NewClient()
		for i, body := range []string{"", strings.Repeat("x", 64<<10)} {
			resp, err := client.Do(context.Background(), e.Addr().String(), identified("1", body))
			Expect(err).NotTo(HaveOccurred())
			resp.Discard()
			Expect(e.opened.Load()).To(BeNumerically("==", i+1))
		}
	})

	// Guards against orders and health checks that take a late answer for theirs.
	It("without IDs is read on connections of its own only", func() {
		e := startScripted(scripted(ok, "1"), scripted(ok, "1"))
		client := h1.NewClient()
		order := &h1.Request{Method: http.MethodGet, Target: "/", Header: http.Header{}}
		for i, r := range []*h1.Request{identified("1", ""), order, order, identified("1", "")} {
			resp, err := client.Do(context.Background(), e.Addr().String(), r)
			Expect(err).NotTo(HaveOccurred())
			resp.Discard()
			Expect(e.opened.Load()).To(BeNumerically("==", []int{1, 2, 3, 3}[i]))
		}
	})
})
