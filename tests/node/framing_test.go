package node_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
)

// startEngineEnding starts and registers an engine whose streams of 20 events have neither a length
// nor chunks, and end with the given fault.
func (s *site) startEngineEnding(id, lineEnd string, faultOf func(*worker.Run) worker.Fault) {
	GinkgoHelper()
	w, err := worker.Start(worker.Options{
		ID: id, Events: 20, EventInterval: 2 * time.Millisecond, KVStore: s.memory, Framing: worker.UntilClose, LineEnd: lineEnd, FaultOf: faultOf,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(w.Stop)
	s.addresses[id] = s.exposeEndpoint(id, w.Address())
	s.register(id, "pool", s.addresses[id], "ready")
}

// sendKept sends a stream over the client's kept connections and reports whether one was reused.
func (s *site) sendKept(over *http.Client, n *nodeProcess, path string) (body string, reused bool, err error) {
	GinkgoHelper()
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) { reused = c.Reused },
	})
	req, _ := s.newRequest(ctx, n, path, sendDeadline)
	resp, err := over.Do(req)
	if err != nil {
		return "", reused, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), reused, err
}

var _ = Describe("a stream without a length or chunks", func() {
	cutIfAsked := func(r *worker.Run) worker.Fault {
		if strings.HasSuffix(r.Target, "/cut") {
			return worker.CutInEvent
		}
		return worker.None
	}

	// Guards against a broken stream that ends like a whole one, and against a kept connection on which
	// the next answer does not arrive whole.
	DescribeTable("is whole, or visibly broken, for a caller that keeps its connection", func(lineEnd string) {
		s := newSite()
		s.startEngineEnding("e1", lineEnd, cutIfAsked)
		s.start(1)
		over := &http.Client{Timeout: 5 * time.Second}
		for _, path := range []string{"/drafts/1", "/drafts/2", "/drafts/cut", "/drafts/3", "/drafts/4"} {
			body, reused, err := s.sendKept(over, s.nodes[0], path)
			events := strings.Count(body, "id: ")
			if strings.HasSuffix(path, "/cut") {
				Expect(err).To(HaveOccurred())
				Expect(events).To(Equal(9))
				continue
			}
			Expect(err).NotTo(HaveOccurred(), path)
			Expect(events).To(Equal(20), path)
			Expect(strings.HasSuffix(body, lineEnd+lineEnd)).To(BeTrue(), path)
			Expect(reused).To(Equal(path == "/drafts/2" || path == "/drafts/4"), path)
		}
	}, Entry("LF", "\n"), Entry("CR LF", "\r\n"), Entry("CR", "\r"))

	DescribeTable("is whole, or visibly broken, if another node serves it", func(lineEnd string) {
		s := &reachSite{site: newSite()}
		s.perProcess = true
		s.startApp("app1")
		s.startEngineEnding("e1", lineEnd, cutIfAsked)
		s.startEngineEnding("e2", lineEnd, cutIfAsked)
		s.start(3)
		s.cutOff(s.nodes[0], rig.CutReset)
		s.awaitLoss("pool")
		for _, path := range []string{"/drafts/1", "/drafts/cut", "/drafts/2"} {
			got := s.send(s.nodes[0], path, "key")
			whole := !strings.HasSuffix(path, "/cut")
			Expect(got.complete && got.status == http.StatusOK).To(Equal(whole), path)
			Expect(strings.Count(got.body, "id: ")).To(Equal(map[bool]int{true: 20, false: 9}[whole]), path)
		}
	}, Entry("LF", "\n"), Entry("CR LF", "\r\n"), Entry("CR", "\r"))
})
