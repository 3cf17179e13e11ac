package node_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/platform"
)

// lateSeeds returns the seeds of the random runs with endpoints that answer late, as soakSeeds does.
func lateSeeds() []int {
	if os.Getenv("SOAK_SEEDS") != "" {
		return soakSeeds()
	}
	return []int{1, 2}
}

// replaceEndpoints kills plain endpoints again and again and starts others at the same addresses under other IDs.
// The old entries stay for a moment. It returns the endpoints that were started.
func (s *site) replaceEndpoints(random *rand.Rand, endpoints []*endpointProcess, args func() []string, length time.Duration) (started []*endpointProcess) {
	GinkgoHelper()
	for began := time.Now(); time.Since(began) < length; {
		time.Sleep(time.Duration(300+random.IntN(1200)) * time.Millisecond)
		i := random.IntN(len(endpoints))
		old := endpoints[i]
		old.Kill()
		old.killedAt = time.Now()
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		e := s.restartAs(old, fmt.Sprintf("%s-%d", old.id, len(started)), args()...)
		endpoints[i] = e
		started = append(started, e)
		s.register(e.id, "app", s.addresses[old.id], "ready")
		s.addresses[e.id] = s.addresses[old.id]
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		Expect(s.writeEndpoint(platform.Write{Key: old.id, Delete: true})).To(Succeed())
	}
	return started
}

var _ = Describe("a random run with endpoints that answer late", func() {
	for _, seed := range lateSeeds() {
		// Guards against work that runs twice, or is refused and ran, when endpoints answer late, fall silent and are replaced.
		It(fmt.Sprintf("believes no answer of another request with seed %d", seed), func() {
			random := rand.New(rand.NewPCG(uint64(seed), 67))
			args := func() []string {
				return []string{
					"--refuse-share", "0.06", "--fail-share", "0.03", "--late-share", "0.05",
					"--seed", strconv.Itoa(random.IntN(1 << 20)),
				}
			}
			s, apps, engines := newSilenceSite(silenceNodes(), true, args)
			const length = 14 * time.Second
			done := make(chan []silenceRequest)
			go func() { done <- s.sendLoads(s.nodes, silenceLoads, 60*time.Millisecond, length) }()
			all := append(apps[:len(apps):len(apps)], engines...)
			all = append(all, s.replaceEndpoints(random, apps[:2:2], args, 4*time.Second)...)
			s.playSilences(random, apps[2:], engines, length-4*time.Second)
			sent := <-done
			time.Sleep(200 * time.Millisecond)
			Expect(len(sent)).To(BeNumerically(">", 100))
			runs := make(map[string]int)
			for _, e := range all {
				for _, run := range e.runs() {
					runs[run.ID]++
				}
			}
			f, answered := examineLate(sent, runs)
			GinkgoWriter.Println("answered", answered, "of", len(sent))
			Expect(f).To(BeZero())
			overlapping, longest := examine(sent, all).overlapping, time.Duration(s.longestSilence.Load())
			if longest > h1.ToleratedSilence {
				// The machine was too busy for the silences of the run: work that may run again does after them.
				AddReportEntry("silences of over 1.5 s", fmt.Sprint(longest, " ", overlapping))
				return
			}
			Expect(overlapping).To(BeEmpty())
		})
	}
})
