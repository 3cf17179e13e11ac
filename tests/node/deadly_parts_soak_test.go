package node_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/platform"
)

const (
	// partsSoakTime is how long a random run with deadly parts is disturbed, partsSoakRest how long the
	// load goes on afterwards.
	partsSoakTime = 6 * time.Second
	partsSoakRest = 4 * time.Second
	// partsSoakDisturbances is the number of disturbances of a run. Some of them overlap.
	partsSoakDisturbances = 6
)

// partsSoakSeeds returns the seeds of the random runs with deadly parts. SOAK_SEEDS selects others.
func partsSoakSeeds() []int {
	if os.Getenv("SOAK_SEEDS") == "" {
		return []int{1, 2}
	}
	return soakSeeds()
}

// disturb disturbs the nodes, the engines or the store in one way, chosen at random. The moments are
// chosen to fall before, during and after the time in which the deadly part is found.
func (p *crashingPool) disturb(random *rand.Rand) {
	defer GinkgoRecover()
	ctx := GinkgoT().Context()
	node := p.nodes[random.IntN(len(p.nodes))]
	wait := func(most time.Duration) { time.Sleep(time.Duration(random.Int64N(int64(most)))) }
	switch random.IntN(6) {
	case 0:
		p.restarting.Lock()
		defer p.restarting.Unlock()
		node.Kill()
		wait(400 * time.Millisecond)
		Expect(node.Start()).To(Succeed())
	case 1:
		node.Freeze()
		wait(1200 * time.Millisecond)
		node.Thaw()
	case 2:
		Expect(p.faults.SetFaults(ctx, admin.PlatformFaults{Unreachable: true})).To(Succeed())
		wait(1500 * time.Millisecond)
		Expect(p.faults.SetFaults(ctx, admin.PlatformFaults{})).To(Succeed())
	case 3:
		for range 1 + random.IntN(3) {
			p.endEngine(p.anyEngine(random))
		}
	case 4:
		p.withdraw(p.anyEngine(random))
	case 5:
		p.restarting.Lock()
		defer p.restarting.Unlock()
		for _, n := range p.nodes {
			n.Kill()
		}
		wait(300 * time.Millisecond)
		for _, n := range p.nodes {
			Expect(n.Start()).To(Succeed())
		}
	}
}

func (p *crashingPool) anyEngine(random *rand.Rand) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return random.IntN(len(p.workers))
}

// endEngine ends an engine of nothing in the prompts, and starts another one.
func (p *crashingPool) endEngine(i int) {
	p.mu.Lock()
	w, id := p.workers[i], p.ids[i]
	p.mu.Unlock()
	w.Stop()
	time.AfterFunc(restartTime, func() {
		_ = p.startEngine()
		_ = p.writeEndpoint(platform.Write{Key: id, Delete: true})
	})
}

// withdraw has an engine announce that it leaves, and ends it two seconds later.
func (p *crashingPool) withdraw(i int) {
	p.mu.Lock()
	w, id := p.workers[i], p.ids[i]
	p.mu.Unlock()
	_ = p.writeEndpoint(platform.Write{Key: id, Value: entryDataIn("pool", w.Address(), "draining")})
	time.AfterFunc(2*time.Second, w.Stop)
	time.AfterFunc(2*time.Second+restartTime, func() {
		_ = p.startEngine()
		_ = p.writeEndpoint(platform.Write{Key: id, Delete: true})
	})
}

var _ = Describe("a random run with deadly parts", func() {
	for _, seed := range partsSoakSeeds() {
		// Guards against parts that crash engines again, and against sound streams that are refused,
		// after nodes, engines or the store were lost while the part was being found, or later.
		It(fmt.Sprintf("keeps the part off the engines with seed %d", seed), func() {
			random := rand.New(rand.NewPCG(uint64(seed), 7))
			p := newCrashingPool(14, "bad")
			p.start(3)
			load := &partsLoad{
				pool: p, deadlyGap: time.Duration(30+random.IntN(300)) * time.Millisecond, path: []string{"/drafts/", "/notes/"}[random.IntN(2)],
				length: partsSoakTime + partsSoakRest,
				deadly: func(int) string { return "f1:79,f2:800,bad:400" }, sound: func(int) string { return "f1:79,f2:800" },
			}
			var running, disturbing sync.WaitGroup
			running.Go(load.run)
			for range partsSoakDisturbances {
				own := rand.New(rand.NewPCG(random.Uint64(), 1))
				at := time.Duration(random.Int64N(int64(partsSoakTime)))
				disturbing.Go(func() {
					time.Sleep(at)
					p.disturb(own)
				})
			}
			disturbing.Wait()
			running.Wait()
			AddReportEntry("outcome", fmt.Sprintf("%d crashes, deadly requests by status %v, sound share in the last seconds %.3f",
				p.crashCount(), load.deadlyStatus, load.share(8)))
			Expect(p.lateRuns(time.Time{})).To(BeNumerically("<=", lateRunsAllowed))
			Expect(load.share(8)).To(BeNumerically(">=", 0.95))
		})
	}
})
