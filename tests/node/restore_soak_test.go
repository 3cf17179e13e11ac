package node_test

import (
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

// Bounds of the platform.
const (
	// contactTime is the time after the end of a fault from which the other bounds hold.
	contactTime = 3 * time.Second
	// drainBound is the time after the acknowledgement of a withdrawal from which the endpoint gets no
	// requests, and evacuationBound the same for a data centre.
	drainBound      = 2 * time.Second
	evacuationBound = 5 * time.Second
	// revocationBound is the time after the acknowledgement of a revocation from which no node serves
	// the key, whatever fails.
	revocationBound = 5 * time.Second
	// copyLifetime is the time after the store's return until entries of the copy that nobody writes
	// expire.
	copyLifetime = 3600 * time.Millisecond
)

// never is later than any time of a run.
var never = time.Unix(1<<40, 0)

// soakCall is a call of a random run.
type soakCall struct {
	reply
	key, path, node string
	sentAt          time.Time
}

// soakEndpoint is an endpoint of a random run.
type soakEndpoint struct {
	id     string
	worker *worker.Worker
	// phase is that of its entry; empty if it has none.
	phase string
	// withdrawnAt is when the store acknowledged that it leaves.
	withdrawnAt time.Time
}

// restoreSoak is the state of one random run with restorations of the store.
type restoreSoak struct {
	*restoreSite
	random *rand.Rand

	// mu guards the fields below.
	mu    sync.Mutex
	calls []soakCall
	// keySince and keyUntil hold the times at which the store acknowledged that a key was added and
	// revoked.
	keySince, keyUntil map[string]time.Time
	endpoints          []*soakEndpoint
	// faults holds the beginning and the end of each fault.
	faults []*[2]time.Time
	// far is the endpoint in dc3; evacuations holds the times between which dc3 was evacuated.
	far         *worker.Worker
	evacuated   bool
	evacuations []*[2]time.Time
	number      int
	// storeLinks are the links between the nodes and the store.
	storeLinks []*rig.Link
}

// restoreSeeds returns the seeds of the random runs with restorations, as soakSeeds does.
func restoreSeeds() []int {
	if os.Getenv("SOAK_SEEDS") != "" {
		return soakSeeds()
	}
	return []int{1, 2}
}

var _ = Describe("a random run with restorations of the store", func() {
	for _, seed := range restoreSeeds() {
		// Guards against broken bounds for callers when the store comes back from an older copy while the
		// operator, endpoints, nodes and links change and fail.
		It(fmt.Sprintf("keeps the bounds with seed %d", seed), func() {
			s := &restoreSoak{
				restoreSite: &restoreSite{site: newSite(), apps: make(map[string]*worker.Worker)},
				random:      rand.New(rand.NewPCG(uint64(seed), 3)),
				keySince:    make(map[string]time.Time), keyUntil: make(map[string]time.Time),
			}
			s.linked = true
			s.dataCentres = []string{"dc1", "dc2", "dc2"}
			s.addKey()
			s.addKey()
			for range 3 {
				s.addEndpoint()
			}
			s.far = s.startAppIn("far", "dc3")
			s.start(3)
			s.storeLinks = s.links[len(s.links)-3:]
			stop := make(chan struct{})
			var load sync.WaitGroup
			for i := range callerCount {
				load.Go(func() { s.call(i, stop) })
			}
			for range 2 {
				s.playRestoration()
			}
			time.Sleep(contactTime + evacuationBound - drainBound)
			close(stop)
			load.Wait()
			s.check()
			for _, n := range s.nodes {
				s.expectServed(n, "key")
			}
		})
	}
})

// addKey adds a key to the configuration.
func (s *restoreSoak) addKey() {
	GinkgoHelper()
	s.number++
	key := fmt.Sprintf("key-%d", s.number)
	s.keys = append(slices.Clone(s.keys), key)
	s.configure()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keySince[key], s.keyUntil[key] = time.Now(), never
}

// revokeKey removes the oldest key but "key", which is never revoked.
func (s *restoreSoak) revokeKey() {
	GinkgoHelper()
	if len(s.keys) < 2 {
		return
	}
	key := s.keys[1]
	s.keys = slices.Delete(slices.Clone(s.keys), 1, 2)
	s.configure()
	By("revokes " + key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keyUntil[key] = time.Now()
}

func (s *restoreSoak) addEndpoint() {
	GinkgoHelper()
	s.number++
	e := &soakEndpoint{id: fmt.Sprintf("app-%d", s.number), phase: "ready", withdrawnAt: never}
	e.worker = s.startPlainWorker(worker.Options{ID: e.id})
	s.register(e.id, "app", s.addresses[e.id], e.phase)
	s.endpoints = append(s.endpoints, e)
}

// withdrawEndpoint makes the oldest endpoint leave, unless too few would remain, by its entry or by
// the removal of its entry.
func (s *restoreSoak) withdrawEndpoint() {
	GinkgoHelper()
	var ready []*soakEndpoint
	for _, e := range s.endpoints {
		if e.phase == "ready" {
			ready = append(ready, e)
		}
	}
	if len(ready) < 2 {
		return
	}
	e := ready[0]
	e.worker.SetLeaving()
	if s.random.IntN(2) == 0 {
		e.phase = "draining"
		s.register(e.id, "app", s.addresses[e.id], e.phase)
	} else {
		e.phase = ""
		s.removeEntry(e.id)
	}
	e.withdrawnAt = time.Now()
	By(fmt.Sprintf("%s withdraws, phase %q", e.id, e.phase))
}

// change makes one random change of the operator or of an endpoint.
func (s *restoreSoak) change() {
	GinkgoHelper()
	switch s.random.IntN(6) {
	case 0:
		s.addKey()
	case 1, 2:
		s.revokeKey()
	case 3:
		s.addEndpoint()
	case 4:
		s.withdrawEndpoint()
	case 5:
		s.toggleEvacuation()
	}
}

// toggleEvacuation orders the evacuation of dc3 or ends it.
func (s *restoreSoak) toggleEvacuation() {
	GinkgoHelper()
	s.evacuated = !s.evacuated
	if !s.evacuated {
		s.evacuations[len(s.evacuations)-1][1] = time.Now()
	}
	s.setEvacuation("dc3", s.evacuated)
	if s.evacuated {
		s.evacuations = append(s.evacuations, &[2]time.Time{time.Now(), never})
	}
}

// beginFault records the beginning of a fault; the function that it returns records its end.
func (s *restoreSoak) beginFault() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := &[2]time.Time{time.Now(), never}
	s.faults = append(s.faults, fault)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		fault[1] = time.Now()
	}
}

// disturb injects a random fault of a node or of its link to the store for up to two seconds. It may
// overlap with other faults.
func (s *restoreSoak) disturb(disturbances *sync.WaitGroup) {
	i := s.random.IntN(len(s.nodes))
	length := time.Duration(s.random.IntN(2000)) * time.Millisecond
	n := s.nodes[i]
	kind := s.random.IntN(4)
	end := s.beginFault()
	disturbances.Go(func() {
		defer GinkgoRecover()
		defer end()
		switch kind {
		case 0:
			n.Kill()
			time.Sleep(length)
			Expect(n.Start()).To(Succeed())
			Eventually(n.ready, 10*time.Second, 20*time.Millisecond).Should(BeTrue())
		case 1:
			n.Freeze()
			time.Sleep(length)
			n.Thaw()
		case 2:
			link := s.storeLinks[i]
			link.Cut()
			time.Sleep(length)
			Expect(link.Heal()).To(Succeed())
		case 3:
			link := s.storeLinks[i]
			Expect(link.Stall(rig.Downstream)).To(Succeed())
			time.Sleep(length)
			Expect(link.Heal()).To(Succeed())
		}
	})
}

// playRestoration keeps a copy, makes changes, brings the store back without them, and has the
// operator and the endpoints write again, with changes before, between and after.
func (s *restoreSoak) playRestoration() {
	GinkgoHelper()
	var disturbances sync.WaitGroup
	pauseUpTo := func(limit time.Duration) { time.Sleep(time.Duration(s.random.Int64N(int64(limit)))) }
	s.keepCopy()
	for range s.random.IntN(5) {
		s.change()
		s.writeElsewhere(s.random.IntN(20))
		pauseUpTo(300 * time.Millisecond)
	}
	if s.random.IntN(2) == 0 {
		s.disturb(&disturbances)
	}
	end := s.beginFault()
	away := admin.PlatformFaults{Down: true}
	if s.random.IntN(2) == 0 {
		away = admin.PlatformFaults{Unreachable: true}
	}
	s.setFaults(away)
	pauseUpTo(2500 * time.Millisecond)
	if s.random.IntN(3) == 0 {
		s.disturb(&disturbances)
	}
	s.setFaults(admin.PlatformFaults{Restore: true})
	returnedAt := time.Now()
	By("store returned")
	s.writeAgainInRandomOrder(returnedAt)
	end()
	for range 2 + s.random.IntN(4) {
		pauseUpTo(400 * time.Millisecond)
		s.change()
		if s.random.IntN(4) == 0 {
			s.disturb(&disturbances)
		}
	}
	time.Sleep(time.Until(returnedAt.Add(copyLifetime)))
	for _, e := range s.endpoints {
		if e.phase == "" {
			s.removeEntry(e.id)
		}
	}
	disturbances.Wait()
}

// writeAgainInRandomOrder writes the operator's state and the entries of the endpoints again within
// two seconds of the store's return.
func (s *restoreSoak) writeAgainInRandomOrder(returnedAt time.Time) {
	GinkgoHelper()
	writes := []func(){
		s.writeConfiguration,
		func() { s.setEvacuation("dc3", s.evacuated) },
		func() { s.registerIn("far", "app", s.far.Address(), "dc3") },
	}
	for _, e := range s.endpoints {
		if e.phase != "" {
			writes = append(writes, func() { s.register(e.id, "app", s.addresses[e.id], e.phase) })
		}
	}
	s.random.Shuffle(len(writes), func(i, j int) { writes[i], writes[j] = writes[j], writes[i] })
	longest := time.Duration(s.random.IntN(1800)) * time.Millisecond
	for i, write := range writes {
		time.Sleep(time.Until(returnedAt.Add(longest * time.Duration(i) / time.Duration(len(writes)))))
		write()
	}
}

// call sends calls with valid and revoked keys to random nodes until stop is closed.
func (s *restoreSoak) call(caller int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(uint64(caller), 4))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(40)) * time.Millisecond):
		}
		s.mu.Lock()
		keys := []string{"key", "key"}
		for key := range s.keySince {
			keys = append(keys, key)
		}
		s.mu.Unlock()
		slices.Sort(keys)
		n := s.nodes[random.IntN(len(s.nodes))]
		c := soakCall{key: keys[random.IntN(len(keys))], path: "/calls/1", node: n.ip, sentAt: time.Now()}
		if random.IntN(3) == 0 {
			c.path = "/bookings/1"
		}
		c.reply = s.send(n, c.path, c.key)
		s.mu.Lock()
		s.calls = append(s.calls, c)
		s.mu.Unlock()
	}
}

// bindsAt reports whether the bounds of machines that are in touch hold at a time for what was
// acknowledged at another.
func (s *restoreSoak) bindsAt(t, acknowledged time.Time, bound time.Duration) bool {
	if t.Before(acknowledged.Add(bound)) {
		return false
	}
	for _, fault := range s.faults {
		if fault[0].Before(t) && t.Before(fault[1].Add(contactTime)) {
			return false
		}
	}
	return true
}

// check compares the answers to callers with what the store acknowledged.
func (s *restoreSoak) check() {
	GinkgoHelper()
	var broken []string
	report := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	runs := make(map[string]int)
	for _, e := range s.endpoints {
		for _, run := range e.worker.Runs() {
			runs[run.ID]++
			if s.bindsAt(run.StartedAt, e.withdrawnAt, drainBound) {
				report("%s ran %s %s after its withdrawal", e.id, run.ID, run.StartedAt.Sub(e.withdrawnAt))
			}
		}
	}
	for _, run := range s.far.Runs() {
		runs[run.ID]++
		for _, evacuation := range s.evacuations {
			if run.StartedAt.Before(evacuation[1]) && s.bindsAt(run.StartedAt, evacuation[0], evacuationBound) {
				report("far ran %s %s after its evacuation", run.ID, run.StartedAt.Sub(evacuation[0]))
			}
		}
	}
	served := 0
	for _, c := range s.calls {
		since, until := s.keySince[c.key], s.keyUntil[c.key]
		if c.key == "key" {
			until = never
		}
		at := fmt.Sprintf("%s with %s at %s at %s", c.id, c.key, c.node, c.sentAt.Format(time.StampMilli))
		switch {
		case c.status == http.StatusOK:
			served++
			if c.sentAt.After(until.Add(revocationBound)) || s.bindsAt(c.sentAt, until, applyBound) {
				report("%s was served %s after the revocation", at, c.sentAt.Sub(until))
			}
		case c.status == http.StatusUnauthorized && c.key == "key":
			report("%s was denied though the key was always valid", at)
		case c.status == http.StatusUnauthorized && c.sentAt.Before(until) && s.bindsAt(c.sentAt, since, applyBound):
			report("%s was denied %s after the key was added", at, c.sentAt.Sub(since))
		case c.status == http.StatusServiceUnavailable && c.path == "/bookings/1" && runs[c.id] > 0:
			report("%s was told 503 and ran", at)
		}
		if c.path == "/bookings/1" && runs[c.id] > 1 {
			report("%s ran %d times", at, runs[c.id])
		}
	}
	AddReportEntry("calls", fmt.Sprintf("%d, %d served", len(s.calls), served))
	Expect(broken).To(BeEmpty())
	Expect(served).To(BeNumerically(">", len(s.calls)/5))
}
