package fleet_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/fairshare"
	"github.com/crocusreel/crocusreel/fleet"
)

// workspaceWork is a request that fills a quarter of an engine.
func workspaceWork(workspace string) fleet.Work {
	return fleet.Work{Service: clusterPool, Workspace: workspace, Demand: quarterOfEngine}
}

// sharesCluster is a cluster whose placements end after runTime.
type sharesCluster struct {
	*cluster
	mu      sync.Mutex
	started []*fleet.Placement
	// waits holds the waits of the placed work by workspace, and refused the number refused.
	waits   map[string][]time.Duration
	refused map[string]int
	pending int
}

const (
	sharesRunTime = 2 * time.Second
	sharesStep    = 50 * time.Millisecond
)

func newSharesCluster(nodes, engines int, disabled ...fleet.Mechanism) *sharesCluster {
	c := &sharesCluster{cluster: newCluster(nodes), waits: map[string][]time.Duration{}, refused: map[string]int{}}
	for _, n := range c.nodes {
		n.Disabled = fleet.DisabledMechanisms{}
		for _, m := range disabled {
			n.Disabled[m] = true
		}
	}
	for i := range engines {
		c.register(fmt.Sprintf("e%d", i))
	}
	c.run(50 * time.Millisecond)
	return c
}

// send sends one request and returns once it is placed, refused or waiting.
func (c *sharesCluster) send(n *clusterNode, workspace string) {
	GinkgoHelper()
	before := c.settled() + c.waiting()
	go func() {
		p, refusal := n.Acquire(context.Background(), workspaceWork(workspace), time.Minute)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pending++
		if refusal != nil {
			c.refused[workspace]++
			return
		}
		p.SetProduced(1)
		c.waits[workspace] = append(c.waits[workspace], p.Waited)
		c.started = append(c.started, p)
	}()
	Eventually(func() int { return c.settled() + c.waiting() }).WithPolling(100 * time.Microsecond).Should(Equal(before + 1))
}

func (c *sharesCluster) settled() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// step lets time pass, and schedules the end of what has started.
func (c *sharesCluster) step(sent int) {
	GinkgoHelper()
	c.run(sharesStep)
	Eventually(func() int { return c.settled() + c.waiting() }).WithPolling(100 * time.Microsecond).Should(Equal(sent))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.started {
		c.after(sharesRunTime, func() { p.Release(fleet.Good) })
	}
	c.started = nil
}

// flood sends, for 12 s, twice the capacity of the engines. Six small workspaces send an eighth of it
// during the first 10 s, and one workspace sends the rest. The last 2 s serve small requests that wait.
func (c *sharesCluster) flood() (meanWait time.Duration, served int) {
	GinkgoHelper()
	sent := 0
	for step := range 240 {
		for i := range 2 {
			n := c.nodes[(step*2+i)%len(c.nodes)]
			workspace := "flood"
			if step < 200 && (step*2+i)%8 == 0 {
				workspace = fmt.Sprintf("small%d", step/4%6)
			}
			c.send(n, workspace)
			sent++
		}
		c.step(sent)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for workspace, waits := range c.waits {
		if workspace == "flood" {
			continue
		}
		for _, w := range waits {
			meanWait += w
			served++
		}
	}
	return meanWait / time.Duration(max(served, 1)), served
}

var _ = Describe("shares of workspaces", func() {
	// Guards against one workspace that floods making all others wait behind it, on seven nodes.
	It("keep a flood of one workspace from delaying the others", func() {
		without, servedWithout := newSharesCluster(7, 10, fleet.WorkspaceShares).flood()
		with, servedWith := newSharesCluster(7, 10).flood()
		GinkgoWriter.Printf("mean wait of 50 requests of six small workspaces during a flood: %s (%d served) without shares, %s (%d served) with\n",
			without, servedWithout, with, servedWith)
		Expect(with).To(BeNumerically("<", without/3))
		// Workspaces within their share lose less than 0.02 of their 50 requests.
		Expect(servedWith).To(BeNumerically(">", 49))
	})

	// Guards against shares that change the order while no workspace is over its share.
	It("leave the order as it is while no workspace is over its share", func() {
		for _, disabled := range []bool{true, false} {
			w := newFixture()
			w.Disabled = fleet.DisabledMechanisms{fleet.WorkspaceShares: disabled}
			changes := 0
			w.OnShares = func(fleet.SharesChange) { changes++ }
			w.addEngine("e1", "dc1")
			for _, name := range []string{"a", "b", "c", "d"} {
				w.SetRemoteUse("node-"+name, []fairshare.Use{{Service: fairshare.KeyOf("pool"), Workspace: fairshare.KeyOf(name), Tokens: 400_000}})
			}
			holder := w.placeRunning(generation(1000, 30_000))
			order := make(chan string, 8)
			for i, name := range []string{"a", "b", "a", "c", "b", "a"} {
				want := generation(100, 33_000)
				want.Workspace = name
				w.now += 200 * time.Millisecond
				w.enqueue(order, fmt.Sprint(name, i), want)
			}
			holder.Release(fleet.Good)
			var got []string
			for range 6 {
				got = append(got, <-order)
			}
			Expect(got).To(Equal([]string{"a0", "b1", "a2", "c3", "b4", "a5"}))
			Expect(changes).To(BeZero())
		}
	})

	// Guards against refusing a workspace within its share because another one has filled the queue.
	It("refuse waiting work of the flood in place of new work when the queue is full", func() {
		w := newFixture()
		changes := make(chan fleet.SharesChange, 4)
		w.OnShares = func(c fleet.SharesChange) { changes <- c }
		w.addEngine("e1", "dc1")
		w.SetRemoteUse("node2", []fairshare.Use{
			{Service: fairshare.KeyOf("pool"), Workspace: fairshare.KeyOf("flood"), Tokens: 1e6},
			{Service: fairshare.KeyOf("pool"), Workspace: fairshare.KeyOf("x"), Tokens: 1e5},
			{Service: fairshare.KeyOf("pool"), Workspace: fairshare.KeyOf("y"), Tokens: 1e5},
		})
		holder := w.placeRunning(generation(1000, 32_000))
		defer holder.Release(fleet.Neutral)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		refused := make(chan *crocusreel.Refusal, 512)
		send := func(workspace string) {
			want := generation(100, 33_000)
			want.Workspace = workspace
			go func() {
				_, refusal := w.Acquire(ctx, want, time.Minute)
				refused <- refusal
			}()
		}
		for i := range 256 {
			send("flood")
			Eventually(func() int { return w.Waiting("pool") }).WithPolling(100 * time.Microsecond).Should(Equal(i + 1))
		}
		w.SetRemote("node2", nil, []fleet.WaitingWork{{Queue: fleet.LongQueue("pool"), Workspace: fairshare.KeyOf("x"), Tokens: 1000}})
		w.now += 200 * time.Millisecond
		w.Tick()
		change := <-changes
		Expect(change.Active).To(BeTrue())
		Expect(change.Shares[0].Workspace).To(Equal("flood"))
		send("small")
		var refusal *crocusreel.Refusal
		Eventually(refused).Should(Receive(&refusal))
		Expect(refusal.Outcome).To(Equal(crocusreel.OutcomeNotRun))
		Expect(w.OwnWaiting()[0].Workspace).To(Equal(fairshare.KeyOf("small")))
		Expect(w.Waiting("pool")).To(Equal(256))
		send("flood")
		Eventually(refused).Should(Receive())
		Expect(w.OwnWaiting()[0].Workspace).To(Equal(fairshare.KeyOf("small")))
	})
})

// Guards against a report of another node that becomes expensive because this node has a full queue to order by shares.
func BenchmarkSetRemoteSharesActive(b *testing.B) {
	f := newBenchFleet()
	f.SetRemoteUse("10.1.0.1", []fairshare.Use{
		{Service: fairshare.KeyOf("pool"), Workspace: 1, Tokens: 1e6},
		{Service: fairshare.KeyOf("pool"), Workspace: 2, Tokens: 1e5},
		{Service: fairshare.KeyOf("pool"), Workspace: 3, Tokens: 1e5},
	})
	full := make([]fleet.Load, 0, benchEngines)
	for _, key := range f.keys {
		full = append(full, fleet.Load{Key: key, Count: 24, Tokens: 60_000})
	}
	f.SetRemote("10.1.0.1", full, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 250 {
		go func() {
			_, _ = f.Acquire(ctx, fleet.Work{Service: pool, Workspace: fmt.Sprint("w", i%24), Demand: fleet.Demand{Prompt: 3000, Output: 750}}, time.Minute)
		}()
	}
	for f.Waiting("pool") < 250 {
		time.Sleep(time.Millisecond)
	}
	f.now += time.Second
	f.Tick()
	b.ResetTimer()
	f.applyReports(b)
}
