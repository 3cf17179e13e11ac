package node_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
)

// minPatience is longer than any silence, with the work that is done after it.
const minPatience = 2 * time.Second

// maxOverlap is how long a run may still be active after the next run of its request began elsewhere.
const maxOverlap = 400 * time.Millisecond

// endpointProcess is an endpoint that is a process of its own.
type endpointProcess struct {
	*rig.Process
	id string
	// address is the IP:port on which it listens.
	address string
	// killedAt is when it was killed, zero if it was not.
	killedAt time.Time
	// link is the proxy in front of the endpoint, nil if there is none.
	link *rig.ProcessLink
}

// runs returns the runs that the endpoint has logged. Those of an endpoint that was killed ended then.
func (e *endpointProcess) runs() []*worker.RunSpan {
	GinkgoHelper()
	log, err := os.Open(e.LogPath)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = log.Close() }()
	runs, err := worker.ReadRunLog(e.id, log)
	Expect(err).NotTo(HaveOccurred())
	for _, run := range runs {
		if run.EndedAt.IsZero() {
			run.EndedAt = e.killedAt
		}
	}
	return runs
}

// startEndpointProcess starts and registers an endpoint of a service, with further arguments of its command.
func (s *site) startEndpointProcess(id, service string, args ...string) *endpointProcess {
	GinkgoHelper()
	address, err := rig.FreeAddress()
	Expect(err).NotTo(HaveOccurred())
	e := s.launchEndpoint(id, address, args...)
	s.addresses[id] = s.exposeEndpoint(id, address)
	if s.perProcess {
		e.link = s.endpointLinks[len(s.endpointLinks)-1]
	}
	s.register(id, service, s.addresses[id], "ready")
	return e
}

// restartAs starts an endpoint at the address of another one that has ended, behind the same proxy.
func (s *site) restartAs(old *endpointProcess, id string, args ...string) *endpointProcess {
	GinkgoHelper()
	e := s.launchEndpoint(id, old.address, append(args, "--work-ms", "60")...)
	e.link = old.link
	return e
}

// launchEndpoint starts an endpoint process and waits until it accepts connections.
func (s *site) launchEndpoint(id, address string, args ...string) *endpointProcess {
	GinkgoHelper()
	args = append([]string{"worker", "--listen", address, "--id", id}, args...)
	e := &endpointProcess{id: id, address: address, Process: rig.NewProcess(id, filepath.Join(s.dir, id+".log"), standinBin, nil, args...)}
	Expect(e.Start()).To(Succeed())
	DeferCleanup(e.Kill)
	Eventually(func() error {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}, 5*time.Second, 10*time.Millisecond).Should(Succeed())
	return e
}

// silenceKind is the way in which endpoints fall silent.
type silenceKind string

const (
	// stopped endpoints are stopped by SIGSTOP; the kernel acknowledges for them.
	stopped silenceKind = "stopped"
	// unheard endpoints work on, but no byte passes between them and the nodes.
	unheard silenceKind = "unheard"
)

// silence makes the endpoints silent for the given time, and records how long they were.
func (s *site) silence(kind silenceKind, length time.Duration, endpoints ...*endpointProcess) {
	var each sync.WaitGroup
	for _, e := range endpoints {
		each.Go(func() {
			began := time.Now()
			defer func() { s.recordSilence(time.Since(began)) }()
			if kind == stopped {
				e.Freeze()
				time.Sleep(length)
				e.Thaw()
				return
			}
			for _, n := range s.nodes {
				e.link.Cut(n.Process, rig.CutSilent)
			}
			time.Sleep(length)
			for _, n := range s.nodes {
				e.link.Cut(n.Process, rig.NoCut)
			}
		})
	}
	each.Wait()
}

func (s *site) recordSilence(length time.Duration) {
	for {
		longest := s.longestSilence.Load()
		if int64(length) <= longest || s.longestSilence.CompareAndSwap(longest, int64(length)) {
			return
		}
	}
}

// silenceLoad is a kind of request that callers send while endpoints fall silent.
type silenceLoad struct {
	path     string
	deadline time.Duration
}

// once reports whether the request must not run more than once.
func (l silenceLoad) once() bool { return l.path == "/bookings/1" || l.path == "/drafts/1" }

var silenceLoads = []silenceLoad{
	{"/calls/1", 600 * time.Millisecond},
	{"/calls/1", 2500 * time.Millisecond},
	{"/bookings/1", 600 * time.Millisecond},
	{"/bookings/1", 2500 * time.Millisecond},
	{"/drafts/1", 12 * time.Second},
	{"/notes/1", 12 * time.Second},
}

// silenceRequest is a request of a load and its reply.
type silenceRequest struct {
	silenceLoad
	reply
	node int
	// took is the time until the end of the reply.
	took time.Duration
}

// sendLoads sends each kind of request to each of the nodes that accepts connections, at the given interval, over
// kept connections, until the time is over.
func (s *site) sendLoads(nodes []*nodeProcess, loads []silenceLoad, interval, length time.Duration) []silenceRequest {
	var mu sync.Mutex
	var sent []silenceRequest
	var open sync.WaitGroup
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	over := &http.Client{Timeout: 15 * time.Second, Transport: transport}
	for began := time.Now(); time.Since(began) < length; time.Sleep(interval) {
		for i, n := range nodes {
			for _, l := range loads {
				open.Go(func() {
					at := time.Now()
					got := silenceRequest{silenceLoad: l, node: i, reply: s.sendOver(over, n, l.path, "key", l.deadline)}
					got.took = time.Since(at)
					mu.Lock()
					defer mu.Unlock()
					sent = append(sent, got)
				})
			}
		}
	}
	open.Wait()
	return sent
}

// silenceFindings are the requests that met a fault.
type silenceFindings struct {
	// twice must run once and ran more often.
	twice []string
	// overlapping ran at two endpoints at a time.
	overlapping []string
	// falselyNotRun were answered as not run and ran.
	falselyNotRun []string
	// cut ran and ended without an answer.
	cut []string
	// lost failed although their time was longer than the silence.
	lost []string
}

// repeatedRuns returns how many requests ran more than once.
func repeatedRuns(endpoints []*endpointProcess) (repeated int) {
	GinkgoHelper()
	runs := make(map[string]int)
	for _, e := range endpoints {
		for _, run := range e.runs() {
			runs[run.ID]++
			if runs[run.ID] == 2 {
				repeated++
			}
		}
	}
	return repeated
}

// examine compares the runs of the endpoints with what the callers got.
func examine(sent []silenceRequest, endpoints []*endpointProcess) silenceFindings {
	GinkgoHelper()
	runs := make(map[string][]*worker.RunSpan)
	for _, e := range endpoints {
		for _, run := range e.runs() {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	var f silenceFindings
	counts := make(map[string]int)
	for _, r := range sent {
		what := fmt.Sprintf("%s %s %s at node %d, status %d after %s", r.id, r.path, r.deadline, r.node, r.status, r.took.Round(time.Millisecond))
		ran := runs[r.id]
		counts[fmt.Sprintf("%s %s %d", r.path, r.deadline, r.status)]++
		for _, run := range ran {
			what += fmt.Sprintf("; %s from %s to %s", run.Worker, run.BeganAt.Format("05.000"), run.EndedAt.Format("05.000"))
		}
		if r.once() && len(ran) > 1 {
			f.twice = append(f.twice, what)
		}
		if overlap(ran) {
			f.overlapping = append(f.overlapping, what)
		}
		if r.once() && len(ran) > 0 && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) {
			f.falselyNotRun = append(f.falselyNotRun, what)
		}
		if len(ran) > 0 && (r.status == 0 || r.status == http.StatusOK && !r.complete) {
			f.cut = append(f.cut, what)
		}
		if r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout && r.deadline > minPatience {
			f.lost = append(f.lost, what)
		}
	}
	GinkgoWriter.Println("replies by path, deadline and status:", counts)
	return f
}

// overlap reports whether a run was still active maxOverlap after a later one began at another endpoint.
func overlap(runs []*worker.RunSpan) bool {
	for _, before := range runs {
		for _, after := range runs {
			if before.Worker != after.Worker && before.BeganAt.Before(after.BeganAt) &&
				(before.EndedAt.IsZero() || before.EndedAt.Sub(after.BeganAt) > maxOverlap) {
				return true
			}
		}
	}
	return false
}

// expectNone expects that no request met a fault.
func (f silenceFindings) expectNone() {
	GinkgoHelper()
	Expect(f).To(BeZero())
}

// changeConfiguration writes a further version with another idle timeout, other timeouts of the routes, or a
// route that goes to another service.
func (s *site) changeConfiguration(how string) {
	GinkgoHelper()
	version := s.configVersion
	s.adjust = func(document map[string]any) {
		routes := document["routes"].([]map[string]any)
		switch how {
		case "idle":
			document["limits"] = map[string]any{"idle_timeout_ms": 5000 + 500*(version%5)}
		case "timeout":
			for _, route := range routes {
				route["timeout_ms"] = route["timeout_ms"].(int) + 500
			}
		case "route":
			routes[0]["service"] = "app2"
			document["services"] = append(document["services"].([]map[string]any), map[string]any{
				"name": "app2", "max_connections": 100, "health_path": "/healthz",
			})
		}
	}
	s.configure()
}

// newSilenceSite starts nodes, five plain endpoints and five engines, each a process of its own. args returns
// further arguments of each endpoint's command; nil for none.
func newSilenceSite(nodes int, linked bool, args func() []string) (s *site, apps, engines []*endpointProcess) {
	GinkgoHelper()
	s = newSite()
	s.perProcess = linked
	if args == nil {
		args = func() []string { return nil }
	}
	for i := range 5 {
		name := strconv.Itoa(i)
		apps = append(apps, s.startEndpointProcess("app-"+name, "app", append(args(), "--work-ms", "60")...))
		engines = append(engines, s.startEndpointProcess("engine-"+name, "pool", append(args(), "--events", "60")...))
	}
	apps = append(apps, s.startEndpointProcess("app2-0", "app2", "--work-ms", "60"))
	s.start(nodes)
	return s, apps, engines
}

var _ = Describe("endpoints that fall silent for a moment", func() {
	for _, c := range []struct {
		kind   silenceKind
		share  int
		change string
	}{
		{stopped, 5, "idle"}, {stopped, 3, "timeout"}, {stopped, 3, "route"}, {unheard, 3, "idle"},
	} {
		// Guards against requests that go on at another endpoint while the one before still works on them, and
		// against lost answers, when sound endpoints are silent for 1.2 s while the configuration changes.
		It(fmt.Sprintf("get no request that runs elsewhere, %d of 5 %s, %s changes", c.share, c.kind, c.change), func() {
			s, apps, engines := newSilenceSite(3, c.kind == unheard, nil)
			done := make(chan []silenceRequest)
			go func() { done <- s.sendLoads(s.nodes, silenceLoads, 25*time.Millisecond, 5*time.Second) }()
			time.Sleep(time.Second)
			s.changeConfiguration(c.change)
			time.Sleep(600 * time.Millisecond)
			s.silence(c.kind, 1200*time.Millisecond, append(apps[:c.share:c.share], engines[:c.share]...)...)
			sent := <-done
			time.Sleep(200 * time.Millisecond)
			examine(sent, append(apps, engines...)).expectNone()
		})
	}

	// Guards against streams that run again through another node while the one that serves them for a node that
	// is cut off is stopped for a second.
	It("keep the streams of a node that is stopped while it serves for another one", func() {
		s, apps, engines := newSilenceSite(3, true, nil)
		s.cutOff(s.nodes[0], rig.CutReset)
		cut := &reachSite{site: s}
		cut.awaitLoss("app")
		cut.awaitLoss("pool")
		loads := []silenceLoad{{"/notes/1", 12 * time.Second}}
		done := make(chan []silenceRequest)
		go func() { done <- s.sendLoads(s.nodes[:1], loads, 40*time.Millisecond, 3*time.Second) }()
		time.Sleep(time.Second)
		s.nodes[1].Freeze()
		time.Sleep(1200 * time.Millisecond)
		s.nodes[1].Thaw()
		sent := <-done
		examine(sent, append(apps, engines...)).expectNone()
		Expect(repeatedRuns(engines)).To(BeZero())
	})
})
