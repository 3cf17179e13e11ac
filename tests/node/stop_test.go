package node_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
)

const (
	// gracePeriod is the time from SIGTERM to SIGKILL in the settings of the nodes, addressesExpire the
	// time after which no caller holds an address answer that names the node.
	gracePeriod     = 8 * time.Second
	addressesExpire = 4500 * time.Millisecond
	// lateStart is shortly before the node stops to accept calls that have 3 s, as the routes allow.
	lateStart = 4620 * time.Millisecond
	// promptAnswer is the time within which a request that cannot be served is refused.
	promptAnswer = 150 * time.Millisecond
)

// stopCall is a call that was sent to a node that is leaving.
type stopCall struct {
	reply
	// sentAt is the time since the SIGTERM.
	sentAt, took time.Duration
}

// stopLoad is a load of calls on one node.
type stopLoad struct {
	node     int
	path     string
	deadline time.Duration
	kept     bool
}

// terminateUnderLoad sends SIGTERM to the nodes and calls to them until the end of the grace period.
func (s *site) terminateUnderLoad(loads []stopLoad, terminated ...int) [][]stopCall {
	GinkgoHelper()
	for _, i := range terminated {
		s.nodes[i].Terminate()
	}
	return s.load(loads, gracePeriod)
}

// load sends calls to the nodes every 50 ms, and every 10 ms in the last two seconds, on new or kept
// connections.
func (s *site) load(loads []stopLoad, length time.Duration) [][]stopCall {
	GinkgoHelper()
	calls := make([][]stopCall, len(loads))
	var mu sync.Mutex
	var open sync.WaitGroup
	began := time.Now()
	for at := time.Duration(0); at < length; at = time.Since(began) {
		for i, load := range loads {
			open.Go(func() {
				over := client
				if load.kept {
					over = http.DefaultClient
				}
				c := stopCall{sentAt: time.Since(began)}
				c.reply = s.sendOver(over, s.nodes[load.node], load.path, "key", load.deadline)
				c.took = time.Since(began) - c.sentAt
				mu.Lock()
				defer mu.Unlock()
				calls[i] = append(calls[i], c)
			})
		}
		if at < length-2*time.Second {
			time.Sleep(50 * time.Millisecond)
		} else {
			time.Sleep(10 * time.Millisecond)
		}
	}
	open.Wait()
	return calls
}

// expectNoneCut expects that each call that ran was answered completely, and that none ran that was refused
// as not run.
func expectNoneCut(calls []stopCall, apps ...*worker.Worker) {
	GinkgoHelper()
	ran := make(map[string]bool)
	for _, app := range apps {
		for _, run := range app.Runs() {
			ran[run.ID] = true
		}
	}
	for _, c := range calls {
		what := fmt.Sprintf("request %s, sent %s after SIGTERM, status %d after %s", c.id, c.sentAt, c.status, c.took)
		if ran[c.id] {
			Expect(c.complete).To(BeTrue(), what)
			Expect(c.status).NotTo(Equal(http.StatusServiceUnavailable), what)
		}
	}
}

// expectPromptRefusals expects that no call waited to be refused.
func expectPromptRefusals(calls []stopCall) {
	GinkgoHelper()
	for _, c := range calls {
		if c.status == http.StatusServiceUnavailable {
			Expect(c.took).To(BeNumerically("<", promptAnswer), "request %s, sent %s after SIGTERM", c.id, c.sentAt)
		}
	}
}

// newStopSite starts nodes, plain endpoints that need workTime, and an engine whose streams outlast the
// grace period.
func newStopSite(nodes int, workTime time.Duration) (s *site, apps []*worker.Worker, engine *worker.Worker) {
	GinkgoHelper()
	s = newSite()
	s.perProcess = true
	for i := range 3 {
		id := fmt.Sprintf("app-%d", i)
		apps = append(apps, s.startPlainWorker(worker.Options{ID: id, WorkTime: workTime}))
		s.register(id, "app", s.addresses[id], "ready")
	}
	engine = s.startEngine("engine-0", 1000)
	s.start(nodes)
	for _, n := range s.nodes {
		s.expectCall(n)
	}
	return s, apps, engine
}

// startStream starts a stream on the node that outlasts the grace period, and waits until it runs.
func (s *site) startStream(node int, engine *worker.Worker) {
	GinkgoHelper()
	before := len(engine.Runs())
	go s.send(s.nodes[node], "/drafts/1", "key")
	Eventually(engine.Runs, 2*time.Second, 10*time.Millisecond).Should(HaveLen(before + 1))
}

var _ = Describe("A node that leaves", func() {
	// Guards against calls that are cut off because the node passed them on too shortly before its stop.
	DescribeTable("cuts off no call", func(workTime time.Duration, deadline time.Duration) {
		loads := []stopLoad{
			{node: 0, path: "/bookings/1", deadline: deadline},
			{node: 1, path: "/calls/1", deadline: deadline, kept: true},
			{node: 2, path: "/bookings/1", deadline: deadline, kept: true},
		}
		s, apps, engine := newStopSite(4, workTime)
		s.startStream(0, engine)
		s.startStream(1, engine)
		for i, calls := range s.terminateUnderLoad(loads, 0, 1, 2) {
			expectNoneCut(calls, apps...)
			expectPromptRefusals(calls)
			for _, c := range calls {
				if c.sentAt < addressesExpire {
					Expect(c.status).To(Equal(http.StatusOK), "%s, load %d", c.sentAt, i)
				}
			}
		}
	},
		Entry("that is short", 20*time.Millisecond, time.Second),
		Entry("that takes longer", 300*time.Millisecond, time.Second),
		Entry("whose caller sets a long deadline", 300*time.Millisecond, sendDeadline),
		Entry("that takes long", 1200*time.Millisecond, sendDeadline),
	)

	// Guards against calls that are cut off at the node that serves them for another one, or at the node
	// that forwards them.
	DescribeTable("cuts off no forwarded call", func(terminated ...int) {
		s, apps, _ := newStopSite(4, 300*time.Millisecond)
		s.cutOff(s.nodes[0], rig.CutReset)
		r := &reachSite{site: s, apps: apps}
		r.awaitLoss("app")
		loads := []stopLoad{{node: 0, path: "/bookings/1", deadline: time.Second}, {node: 0, path: "/calls/1", deadline: sendDeadline, kept: true}}
		for _, calls := range s.terminateUnderLoad(loads, terminated...) {
			expectNoneCut(calls, apps...)
			expectPromptRefusals(calls)
			for _, c := range calls {
				if c.sentAt < addressesExpire {
					Expect(c.status).To(Equal(http.StatusOK), "%s", c.sentAt)
				}
			}
		}
	},
		Entry("when the serving nodes leave", 1, 2),
		Entry("when the forwarding node leaves", 0),
		Entry("when both leave", 0, 1),
	)

	// Guards against callers that send their body slowly and wait for an answer that cannot come.
	It("refuses a call whose body is not complete in time", func() {
		s, apps, engine := newStopSite(2, 300*time.Millisecond)
		s.startStream(0, engine)
		began := time.Now()
		s.nodes[0].Terminate()
		time.Sleep(lateStart)
		conn, err := net.Dial("tcp", net.JoinHostPort(s.nodes[0].ip, strconv.Itoa(callerPort)))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte("POST /bookings/1 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key\r\nCrocusreel-Attempt-Id: slow-body\r\nCrocusreel-Deadline-Ms: 12000\r\nContent-Length: 20\r\n\r\nab"))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(began.Add(gracePeriod))).To(Succeed())
		head := make([]byte, 64)
		n, err := conn.Read(head)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.HasPrefix(string(head[:n]), "HTTP/1.1 503 ")).To(BeTrue(), string(head[:n]))
		Expect(time.Since(began)).To(BeNumerically("<", lateStart+time.Second))
		for _, app := range apps {
			for _, run := range app.Runs() {
				Expect(run.ID).NotTo(Equal("slow-body"))
			}
		}
	})
})
