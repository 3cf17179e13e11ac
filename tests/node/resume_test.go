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
	})
})
