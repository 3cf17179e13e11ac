package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// eventsOf returns the events of a stream from the first to the last number.
func eventsOf(id string, first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d of %s\n\n", i, i, id)
	}
	return b.String()
}

// sendAfter sends a request of a caller that has the events up to the given ID, and returns the answer.
func (s *site) sendAfter(n *nodeProcess, path string, lastEvent ...string) reply {
	GinkgoHelper()
	req, id := s.newRequest(context.Background(), n, path, 10*time.Second)
	req.Header["Last-Event-Id"] = lastEvent
	resp, err := client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{id: id, status: resp.StatusCode, body: string(body), complete: err == nil}
}

// hasLoggedText returns whether the first node has logged the text.
func (s *reachSite) hasLoggedText(text string) func() bool {
	return func() bool { return strings.Contains(readFile(s.dir, s.nodes[0].ip+".log"), text) }
}

var _ = Describe("a caller that comes back", func() {
	// Guards against an event that reaches the caller twice because the stream starts from its beginning.
	It("gets the events after the last one that it has", func() {
		s := newSite()
		s.startEngine("engine-0", 20)
		s.start(1)
		r := s.sendAfter(s.nodes[0], "/notes/1", "9")
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(r.complete).To(BeTrue())
		Expect(r.body).To(Equal(eventsOf(r.id, 10, 20)))
		Eventually(func() string { return readFile(s.dir, s.nodes[0].ip+".log") }, time.Second).Should(
			MatchRegexp(`event="request ended".*request=` + r.id + ` resumed_at=9 route=notes runs=1`))
	})

	// Guards against a header that is taken for another event than the caller meant.
	It("is refused with 400 if the ID is invalid, on resumable routes only", func() {
		s := newSite()
		s.startEngine("engine-0", 20)
		s.start(1)
		for _, ids := range [][]string{{""}, {"x"}, {"-1"}, {"+1"}, {"1.5"}, {" 1,2"}, {"9223372036854775807"}, {"99999999999999999999"}, {"1", "1"}} {
			r := s.sendAfter(s.nodes[0], "/notes/1", ids...)
			Expect(r.status).To(Equal(http.StatusBadRequest), "%q", ids)
			Expect(r.body).To(ContainSubstring("Last-Event-Id"), "%q", ids)
			r = s.sendAfter(s.nodes[0], "/drafts/1", ids...)
			Expect(r.status).To(Equal(http.StatusOK), "%q", ids)
			Expect(r.body).To(Equal(eventsOf(r.id, 1, 20)), "%q", ids)
		}
	})

	// Guards against an ID that is lost on the way to the node that serves the request.
	It("gets the events after the last one that it has if another node serves it", func() {
		s := newCutSite()
		r := s.sendAfter(s.nodes[0], "/notes/1", "9")
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(r.complete).To(BeTrue())
		Expect(r.body).To(Equal(eventsOf(r.id, 10, 20)))
		run, _ := runOf(r.id, s.engines...)
		Expect(run.Header.Get("Last-Event-Id")).To(Equal("9"))
	})

	// Guards against a stream that is broken, or has an event twice, because the node that served it was killed.
	It("is not needed if the node that serves a forwarded stream is killed", func() {
		s := newCutSite()
		// Which node serves a stream is random.
		const maxRounds = 10
		ranAgain := s.hasLoggedText("stream runs again")
		for round := 0; round < maxRounds && !ranAgain(); round++ {
			n := s.nodes[1+round%2]
			done := make(chan reply)
			go func() { done <- s.send(s.nodes[0], "/notes/1", "key") }()
			Eventually(func() int { return s.openStreams() }, time.Second, 5*time.Millisecond).Should(BeNumerically(">", 0))
			time.Sleep(60 * time.Millisecond)
			n.Kill()
			r := <-done
			Expect(r.status).To(Equal(http.StatusOK))
			Expect(r.complete).To(BeTrue())
			Expect(r.body).To(Equal(eventsOf(r.id, 1, 20)))
			Expect(n.Start()).To(Succeed())
			// A node to which nothing could be sent is not asked for a second.
			time.Sleep(1200 * time.Millisecond)
			s.expectCall(s.nodes[0])
			s.expectCall(n)
		}
		Expect(ranAgain()).To(BeTrue())
	})
})
