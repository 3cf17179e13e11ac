package node_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
)

// cuttingEndpoint closes each connection after a part of its answer. It goes on to accept connections.
type cuttingEndpoint struct {
	net.Listener
	// text returns the answer to a request.
	text func(id string) string
	// cut is the number of bytes that are sent.
	cut atomic.Int64
}

func startCutting(text func(id string) string) *cuttingEndpoint {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	e := &cuttingEndpoint{Listener: listener, text: text}
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

func (e *cuttingEndpoint) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	text := e.text(r.Header.Get("Crocusreel-Attempt-Id"))
	if r.URL.Path == "/healthz" {
		text = "HTTP/1.1 200 OK\r\nCrocusreel-Instance-Id: cut\r\nContent-Length: 0\r\n\r\n"
	} else if cut := int(e.cut.Load()); cut < len(text) {
		text = text[:cut]
	}
	_, _ = io.WriteString(conn, text)
}

// cutAnswers are the heads of answers and what follows them, by their framing.
var cutAnswers = map[string]func(id string) (head, rest string){
	"a length": func(id string) (string, string) { return cutHead(id) + "Content-Length: 4\r\n\r\n", "body" },
	"chunks": func(id string) (string, string) {
		return cutHead(id) + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n"
	},
	"neither": func(id string) (string, string) { return cutHead(id) + "\r\n", "" },
}

func cutHead(id string) string {
	return "HTTP/1.1 200 OK\r\nCrocusreel-Attempt-Id: " + id + "\r\nCrocusreel-Response-Seal: seal\r\n"
}

var _ = Describe("an answer that ends inside its head", func() {
	for name, answer := range cutAnswers {
		for _, forwarded := range []bool{false, true} {
			where := map[bool]string{false: "", true: ", served by another node"}[forwarded]
			// Guards against a head that is cut and becomes a whole answer with an empty or short body.
			It("is no answer, with "+name+where, func() {
				s := &reachSite{site: newSite()}
				s.perProcess = true
				e := startCutting(func(id string) string {
					head, rest := answer(id)
					return head + rest
				})
				s.addresses["cut"] = s.exposeEndpoint("cut", e.Addr().String())
				s.register("cut", "app", s.addresses["cut"], "ready")
				e.cut.Store(1 << 20)
				nodes := 1
				if forwarded {
					nodes = 3
				}
				s.start(nodes)
				if forwarded {
					s.cutOff(s.nodes[0], rig.CutReset)
					s.awaitLoss("app")
				}
				whole, rest := answer("short-id") // All cuts lie inside the answers to longer IDs.
				for cut := 0; cut < len(whole)+len(rest); cut += 3 {
					e.cut.Store(int64(cut))
					got := s.sendOver(http.DefaultClient, s.nodes[0], "/bookings/1", "key", 800*time.Millisecond)
					Expect(got.status == http.StatusOK && got.complete).To(BeFalse(), "cut at %d of %d: %+v", cut, len(whole)+len(rest), got)
				}
			})
		}
	}
})
