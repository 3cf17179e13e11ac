package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
)

// filler are bytes that are no answer.
var filler = strings.Repeat("x", 64<<10)

// endless are answers without an end: a beginning, and what is sent again and again.
var endless = []struct{ begin, again string }{
	{"", filler},
	{"HEAD", filler},
	{"HEAD\r\n", filler},
	{"HEADContent-Length: 100000000000\r\n\r\n", filler},
	{"HEADTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n", filler},
	{"HEADTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 1000)},
	{"HEADTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1000)},
	{"HEADTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X: y\r\n", 1000)},
	{"HTTP/1.1 503 Service Unavailable\r\nCrocusreel-Not-Executed: 1\r\n\r\n", filler},
	{"HEADContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ", filler},
	{"HEADContent-Type: text/event-stream\r\n\r\n", strings.Repeat("id: 1\ndata: x\n\n", 1000)},
	{"HEADContent-Type: text/event-stream\r\n\r\n", strings.Repeat(": x\n\n", 1000)},
}

// startEndless starts an endpoint that answers each request with the next of the answers without an end, until its
// caller closes.
func startEndless() string {
	GinkgoHelper()
	var count atomic.Int32
	return startRaw(func(conn *net.TCPConn, r *http.Request) {
		answer := endless[int(count.Add(1))%len(endless)]
		begin := strings.Replace(answer.begin, "HEAD", cutHead(r.Header.Get("Crocusreel-Attempt-Id")), 1)
		_, err := io.WriteString(conn, begin)
		for err == nil {
			_, err = io.WriteString(conn, answer.again)
		}
	})
}

// sendSlowly sends a call and reads its answer slowly, for as long as the call lasts.
func (s *site) sendSlowly(n *nodeProcess) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, _ := s.newRequest(ctx, n, "/calls/1", 2*time.Second)
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	for err == nil {
		_, err = resp.Body.Read(make([]byte, 16))
		time.Sleep(10 * time.Millisecond)
	}
}

// memoryLimitMB is the memory of a VM in the settings of the nodes.
const memoryLimitMB = 134

// peakMemoryKiB returns the highest resident memory that the node has had.
func (n *nodeProcess) peakMemoryKiB() (peak int) {
	GinkgoHelper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.PID()))
	Expect(err).NotTo(HaveOccurred())
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	Expect(found).To(BeTrue())
	_, err = fmt.Sscanf(rest, "%d kB", &peak)
	Expect(err).NotTo(HaveOccurred())
	return peak
}

var _ = Describe("endpoints that send bytes without end", func() {
	// Guards against a node that keeps such bytes and runs out of memory, with the requests of other callers.
	DescribeTable("leave the node and its other requests alone", func(forwarded bool) {
		s := &reachSite{site: newSite()}
		s.perProcess = forwarded
		bad := startEndless()
		for i := range 4 {
			for _, service := range []string{"app", "pool"} {
				id := fmt.Sprintf("bad-%s-%d", service, i)
				s.addresses[id] = s.exposeEndpoint(id, bad)
				s.register(id, service, s.addresses[id], "ready")
			}
		}
		app := s.startPlainWorker(worker.Options{ID: "app", WorkTime: time.Millisecond})
		s.register("app", "app", s.addresses["app"], "ready")
		s.startEngine("engine", 20)
		nodes := 1
		if forwarded {
			nodes = 2
		}
		s.start(nodes)
		if forwarded {
			s.cutOff(s.nodes[0], rig.CutReset)
			s.awaitLoss("app")
		}
		var served, whole atomic.Int32
		var open sync.WaitGroup
		began := time.Now()
		for i := range 80 {
			open.Go(func() {
				for time.Since(began) < 6*time.Second {
					if i%8 == 7 {
						s.sendSlowly(s.nodes[0])
						continue
					}
					path := []string{"/calls/1", "/drafts/1", "/notes/1", "/bookings/1"}[i%4]
					body := strings.Repeat("b", []int{10, 200 << 10}[i/4%2])
					got := s.sendRequest(client, s.nodes[0], path, body, http.Header{"Crocusreel-Deadline-Ms": {"2000"}})
					if got.status == http.StatusOK && got.complete {
						served.Add(1)
						if strings.Contains(got.body, "xxxx") {
							whole.Add(1)
						}
					}
				}
			})
		}
		open.Wait()
		for _, n := range s.nodes {
			Expect(n.Running()).To(BeTrue())
			AddReportEntry(fmt.Sprintf("%s: peak memory %d KiB, %d requests served", n.ip, n.peakMemoryKiB(), served.Load()))
			Expect(n.peakMemoryKiB()).To(BeNumerically("<", memoryLimitMB*1000))
		}
		Expect(whole.Load()).To(BeZero(), "answers without an end looked whole")
		Expect(served.Load()).To(BeNumerically(">", 100))
		Expect(app.Runs()).NotTo(BeEmpty())
	},
		Entry("that serves them", false),
		Entry("that serves them for another node", true),
	)
})
