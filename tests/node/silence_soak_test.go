package node_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// silenceSeeds returns the seeds of the random runs with endpoints that fall silent, as soakSeeds does.
func silenceSeeds() []int {
	if os.Getenv("SOAK_SEEDS") != "" {
		return soakSeeds()
	}
	return []int{1, 4}
}

// silenceNodes returns the number of nodes of a random run: SOAK_NODES, or 3.
func silenceNodes() int {
	if n, err := strconv.Atoi(os.Getenv("SOAK_NODES")); err == nil {
		return n
	}
	return 3
}

// silencePause is the time between two silences of one endpoint.
const silencePause = time.Second

// playSilences makes random shares of the endpoints silent in a series of silences that may overlap, most of
// them shortly after a change of the configuration, and makes nodes leave around them.
func (s *site) playSilences(random *rand.Rand, apps, engines []*endpointProcess, length time.Duration) {
	GinkgoHelper()
	kinds, changes := []silenceKind{stopped, unheard}, []string{"idle", "timeout", "route"}
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	all := append(apps[:len(apps):len(apps)], engines...)
	heardFrom := make(map[*endpointProcess]time.Duration)
	var acts sync.WaitGroup
	defer acts.Wait()
	began := time.Now()
	act := func(at time.Duration, f func()) {
		acts.Go(func() {
			time.Sleep(at - time.Since(began))
			f()
		})
	}
	left := 0
	for at := between(500*time.Millisecond, time.Second); at < length-3*time.Second; at += between(400*time.Millisecond, 2*time.Second) {
		kind, change, silent := kinds[random.IntN(2)], changes[random.IntN(3)], between(time.Second, 1300*time.Millisecond)
		group := [][]*endpointProcess{apps, engines, all}[random.IntN(3)]
		share := []float64{0.4, 0.6, 1}[random.IntN(3)]
		silentAt := at + 600*time.Millisecond
		var chosen []*endpointProcess
		for _, e := range group {
			if random.Float64() < share && silentAt >= heardFrom[e] {
				chosen = append(chosen, e)
				heardFrom[e] = silentAt + silent + silencePause
			}
		}
		if random.IntN(4) > 0 {
			act(at, func() { s.changeSafely(change) })
		}
		act(silentAt, func() { s.silence(kind, silent, chosen...) })
		if left < len(s.nodes)-2 && random.IntN(3) == 0 {
			act(at+between(0, 2*time.Second), s.nodes[left].Terminate)
			left++
		}
	}
}

// changeSafely is changeConfiguration for several goroutines.
func (s *site) changeSafely(how string) {
	s.changes.Lock()
	defer s.changes.Unlock()
	defer GinkgoRecover()
	s.changeConfiguration(how)
}

var _ = Describe("a random run with endpoints that fall silent", func() {
	for _, seed := range silenceSeeds() {
		// Guards against requests that run twice, at two endpoints at a time, or without an answer, when sound
		// endpoints are silent again and again while the configuration changes and nodes leave.
		It(fmt.Sprintf("runs no request twice with seed %d", seed), func() {
			random := rand.New(rand.NewPCG(uint64(seed), 11))
			s, apps, engines := newSilenceSite(silenceNodes(), true, nil)
			const length = 14 * time.Second
			done := make(chan []silenceRequest)
			go func() { done <- s.sendLoads(s.nodes, silenceLoads, 60*time.Millisecond, length) }()
			s.playSilences(random, apps, engines, length)
			sent := <-done
			time.Sleep(200 * time.Millisecond)
			Expect(len(sent)).To(BeNumerically(">", 100))
			examine(sent, append(apps, engines...)).expectNone()
		})
	}
})
