package node_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
)

// reachCall is a call of a random run.
type reachCall struct {
	reply
	node   int
	path   string
	key    string
	sentAt time.Time
}

// reachFault is a fault of one node, or of all if node is negative.
type reachFault struct {
	node       int
	begin, end time.Time
}

// reachSoak is the state of one random run in which nodes are cut off from all endpoints.
type reachSoak struct {
	*reachSite
	random  *rand.Rand
	workers []*worker.Worker
	number  int

	// mu guards the fields below.
	mu    sync.Mutex
	calls []reachCall
	// nodeFaults are those of nodes and of the store, cuts those between nodes and endpoints.
	nodeFaults, cuts []*reachFault
	// disturbed holds the nodes that have a fault.
	disturbed map[int]bool
	// revokedAt holds when the store acknowledged that a key was revoked.
	revokedAt map[string]time.Time

	// storeUp is held during an outage of the store, and by the operator and endpoints while they
	// write.
	storeUp sync.Mutex
}

// reachSeeds returns the seeds of the random runs with cuts, as soakSeeds does.
func reachSeeds() []int {
	if os.Getenv("SOAK_SEEDS") != "" {
		return soakSeeds()
	}
	return []int{1, 2}
}

const (
	// reachNodes is the number of nodes of a random run.
	reachNodes = 4
	// reachDeadline is the deadline of its requests.
	reachDeadline = 4 * time.Second
)

var _ = Describe("a random run with nodes that are cut off from all endpoints", func() {
	for _, seed := range reachSeeds() {
		// Guards against callers that are not served, work that runs twice and brittle endpoints that fall
		// over, while nodes are cut off from the endpoints and nodes, keys and the store change and fail.
		It(fmt.Sprintf("keeps the bounds with seed %d", seed), func() {
			s := &reachSoak{
				reachSite: &reachSite{site: newSite()}, random: rand.New(rand.NewPCG(uint64(seed), 5)),
				revokedAt: make(map[string]time.Time), disturbed: make(map[int]bool),
			}
			s.perProcess, s.linked = true, true
			s.dataCentres = []string{"dc1", "dc1", "dc2", "dc2"}
			s.keys = []string{"key", "key-0"}
			s.configure()
			s.apps = s.startBrittleApps(3)
			s.workers = append(s.workers, s.apps...)
			for i := range 3 {
				s.workers = append(s.workers, s.startEngine(fmt.Sprintf("engine-%d", i), 20))
			}
			s.launch(reachNodes)
			for _, n := range s.nodes {
				Eventually(n.ready, 10*time.Second, 20*time.Millisecond).Should(BeTrue())
				s.expectCall(n)
			}
			stop := make(chan struct{})
			var load sync.WaitGroup
			for i := range 2 * callerCount {
				load.Go(func() { s.call(i, stop) })
			}
			brittleFrom := time.Duration(s.random.IntN(6000)) * time.Millisecond
			By(fmt.Sprintf("plain endpoints say that they are brittle after %v, and are %v later", brittleFrom, brittleNotice))
			time.AfterFunc(brittleFrom, func() { s.announceBrittle() })
			time.AfterFunc(brittleFrom+brittleNotice, func() { s.becomeBrittle() })
			for range 2 {
				s.playCut()
			}
			close(stop)
			load.Wait()
			s.check()
			expectFewFalls(s.apps)
			for _, n := range s.nodes {
				s.expectCall(n)
			}
		})
	}
})

// announceBrittle has the plain endpoints say that they are brittle, becomeBrittle has them fall over.
func (s *reachSoak) announceBrittle() {
	for _, w := range s.apps {
		w.SetNotice("Server-Brittle", fmt.Sprint(brittleLimit))
	}
}

func (s *reachSoak) becomeBrittle() {
	for _, w := range s.apps {
		w.SetBrittle(brittleLimit)
	}
}

// call sends requests of all kinds to random nodes, over connections that stay open, until stop is
// closed.
func (s *reachSoak) call(caller int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(uint64(caller), 6))
	open := &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{}}
	defer open.CloseIdleConnections()
	paths := []string{"/calls/1", "/bookings/1", "/drafts/1"}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(60)) * time.Millisecond):
		}
		s.mu.Lock()
		keys := slices.Clone(s.keys)
		s.mu.Unlock()
		c := reachCall{node: random.IntN(len(s.nodes)), path: paths[random.IntN(len(paths))], key: keys[random.IntN(len(keys))], sentAt: time.Now()}
		c.reply = s.sendOver(open, s.nodes[c.node], c.path, c.key, reachDeadline)
		s.mu.Lock()
		s.calls = append(s.calls, c)
		s.mu.Unlock()
	}
}

// playCut cuts off some of the nodes, at times all, while other things change and fail shortly before
// its beginning, during it and around its end.
func (s *reachSoak) playCut() {
	GinkgoHelper()
	cut := []rig.Cut{rig.CutSilent, rig.CutReset, rig.CutNew}[s.random.IntN(3)]
	order := s.random.Perm(len(s.nodes))
	cutOff := order[:1+s.random.IntN(len(s.nodes))]
	length := contactBound + 1500*time.Millisecond + time.Duration(s.random.IntN(1500))*time.Millisecond
	By(fmt.Sprintf("nodes %v cut off, %v, for %v", cutOff, cut, length))
	var changes sync.WaitGroup
	s.disturb(&changes)
	time.Sleep(time.Duration(s.random.IntN(400)) * time.Millisecond)
	began := time.Now()
	for _, i := range cutOff {
		s.cutOff(s.nodes[i], cut)
	}
	for range 1 + s.random.IntN(2) {
		time.Sleep(time.Duration(s.random.IntN(1200)) * time.Millisecond)
		s.disturb(&changes)
	}
	time.Sleep(time.Until(began.Add(length)))
	s.mu.Lock()
	for _, i := range cutOff {
		s.cuts = append(s.cuts, &reachFault{node: i, begin: began, end: time.Now()})
	}
	s.mu.Unlock()
	for _, i := range cutOff {
		s.cutOff(s.nodes[i], rig.NoCut)
	}
	time.Sleep(time.Duration(s.random.IntN(300)) * time.Millisecond)
	s.disturb(&changes)
	changes.Wait()
	time.Sleep(1500 * time.Millisecond)
}

// fault records a fault from now on; the function that it returns records its end.
func (s *reachSoak) fault(node int) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &reachFault{node: node, begin: time.Now(), end: never}
	s.nodeFaults = append(s.nodeFaults, f)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f.end = time.Now()
	}
}

// disturb makes one random change or injects one random fault. Faults of different nodes and of the
// store may overlap.
func (s *reachSoak) disturb(changes *sync.WaitGroup) {
	GinkgoHelper()
	i := s.random.IntN(len(s.nodes))
	length := time.Duration(s.random.IntN(1200)) * time.Millisecond
	kind := s.random.IntN(8)
	By(fmt.Sprintf("disturbance %d of node %d for %v", kind, i, length))
	if kind < len(nodeFaults) {
		s.injectNodeFault(changes, i, nodeFaults[kind], length)
		return
	}
	switch kind {
	case 4:
		s.storeUp.Lock()
		end := s.fault(-1)
		ctx := context.Background()
		Expect(s.faults.SetFaults(ctx, admin.PlatformFaults{Unreachable: true})).To(Succeed())
		changes.Go(func() {
			defer GinkgoRecover()
			defer s.storeUp.Unlock()
			defer end()
			time.Sleep(length)
			Expect(s.faults.SetFaults(ctx, admin.PlatformFaults{})).To(Succeed())
		})
	case 5:
		s.change(s.revoke)
	case 6:
		s.change(s.configure)
	case 7:
		s.change(s.replaceEngine)
	}
}

// change makes a change while the store is up.
func (s *reachSoak) change(write func()) {
	s.storeUp.Lock()
	defer s.storeUp.Unlock()
	write()
}

// nodeFault is a fault of one node, or of its link to the store.
type nodeFault struct {
	begin, end func(s *reachSoak, node int)
}

var nodeFaults = []nodeFault{
	{begin: func(s *reachSoak, i int) { s.nodes[i].Kill() }, end: (*reachSoak).restart},
	{begin: func(s *reachSoak, i int) { s.nodes[i].Terminate() }, end: (*reachSoak).restart},
	{begin: func(s *reachSoak, i int) { s.nodes[i].Freeze() }, end: func(s *reachSoak, i int) { s.nodes[i].Thaw() }},
	{
		begin: func(s *reachSoak, i int) { s.storeLink(i).Cut() },
		end:   func(s *reachSoak, i int) { Expect(s.storeLink(i).Recreate()).To(Succeed()) },
	},
}

// restart kills the node if it still runs, and starts it.
func (s *reachSoak) restart(node int) {
	n := s.nodes[node]
	n.Kill()
	Expect(n.Start()).To(Succeed())
	Eventually(n.ready, 10*time.Second, 20*time.Millisecond).Should(BeTrue())
}

// injectNodeFault injects a fault into a node that has none.
func (s *reachSoak) injectNodeFault(changes *sync.WaitGroup, node int, f nodeFault, length time.Duration) {
	if !s.markDisturbed(node, true) {
		return
	}
	end := s.fault(node)
	f.begin(s, node)
	changes.Go(func() {
		defer GinkgoRecover()
		defer s.markDisturbed(node, false)
		defer end()
		time.Sleep(length)
		f.end(s, node)
	})
}

// markDisturbed marks a node as disturbed or not; it returns false if the mark was already so.
func (s *reachSoak) markDisturbed(node int, disturbed bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.disturbed[node]
	s.disturbed[node] = disturbed
	return before != disturbed
}

// revoke replaces the second key by a new one.
func (s *reachSoak) revoke() {
	GinkgoHelper()
	s.number++
	s.mu.Lock()
	old := s.keys[1]
	s.keys = []string{"key", fmt.Sprintf("key-%d", s.number)}
	s.mu.Unlock()
	s.configure()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revokedAt[old] = time.Now()
}

// replaceEngine adds an engine and lets the one that was added before the last ones leave.
func (s *reachSoak) replaceEngine() {
	GinkgoHelper()
	s.number++
	s.workers = append(s.workers, s.startEngine(fmt.Sprintf("engine-new-%d", s.number), 20))
	s.register("engine-0", "pool", s.addresses["engine-0"], "draining")
}

// excused reports whether the call's node, or the store, had a fault from contactBound before the call.
func (s *reachSoak) excused(c reachCall) bool {
	for _, f := range s.nodeFaults {
		if (f.node == c.node || f.node < 0) && c.sentAt.After(f.begin.Add(-time.Second)) && c.sentAt.Before(f.end.Add(contactBound)) {
			return true
		}
	}
	return false
}

// check compares the answers to callers with the runs of the endpoints, and those at nodes that were
// cut off with those at others.
func (s *reachSoak) check() {
	GinkgoHelper()
	starts := make(map[string]int)
	runs := make(map[string]worker.Run)
	for _, w := range s.workers {
		for _, run := range w.Runs() {
			runs[run.ID] = run
			if !run.Resumed {
				starts[run.ID]++
			}
		}
	}
	for _, c := range s.calls {
		if c.path != "/calls/1" {
			Expect(starts[c.id]).To(BeNumerically("<=", 1), "%s ran %d times", c.id, starts[c.id])
			if c.status == http.StatusServiceUnavailable {
				Expect(starts[c.id]).To(BeZero(), "%s was told 503 and ran", c.id)
			}
		}
		if at, revoked := s.revokedAt[c.key]; revoked && c.sentAt.After(at.Add(revocationBound)) {
			Expect(starts[c.id]).To(BeZero(), "%s ran with a key revoked %v before it was sent", c.id, c.sentAt.Sub(at))
		}
		switch {
		case c.status != http.StatusOK || !c.complete:
		case c.path == "/drafts/1":
			Expect(c.body).To(Equal(expectedEvents(c.id, 20)))
		default:
			Expect(c.body).To(Equal("answer to " + c.id))
		}
	}
	s.checkServed()
}

// checkServed checks for each cut that the first attempts at the nodes that were cut off were served
// at least two thirds as often as those at the others, or that few failed.
func (s *reachSoak) checkServed() {
	GinkgoHelper()
	cuts := make(map[time.Time][]*reachFault)
	for _, cut := range s.cuts {
		cuts[cut.begin] = append(cuts[cut.begin], cut)
	}
	for begin, cut := range cuts {
		end := cut[0].end
		at := func(node int) bool {
			return slices.ContainsFunc(cut, func(f *reachFault) bool { return f.node == node })
		}
		var cutOff, others attempts
		for _, c := range s.calls {
			if c.sentAt.Before(begin.Add(contactBound)) || c.sentAt.After(end) || s.excused(c) {
				continue
			}
			counted := &others
			if at(c.node) {
				counted = &cutOff
			}
			counted.made++
			if c.status == http.StatusOK && c.complete {
				counted.served++
			}
		}
		AddReportEntry("served", fmt.Sprintf("cut off: %d of %d, others: %d of %d", cutOff.served, cutOff.made, others.served, others.made))
		if others.made == 0 || cutOff.made == 0 {
			continue
		}
		seldom := float64(cutOff.served)/float64(cutOff.made) < 2.0/3*float64(others.served)/float64(others.made)
		many := float64(cutOff.made-cutOff.served) > 10+float64(cutOff.made+others.made)/50
		Expect(seldom && many).To(BeFalse(), "cut off: %d of %d served, others: %d of %d", cutOff.served, cutOff.made, others.served, others.made)
	}
}
