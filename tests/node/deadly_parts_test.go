package node_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/platform"
)

const (
	// detectionTime is the time after the fifth crash within which all nodes must know a deadly part,
	// and lateRunsAllowed the number of runs of the part that may reach engines later.
	detectionTime   = 3 * time.Second
	lateRunsAllowed = 3
	// deadlyCrashes is the number of crashes from which detectionTime counts.
	deadlyCrashes = 5
	// restartTime is the time until a crashed engine is back under a new ID.
	restartTime = time.Second
)

var _ = Describe("a part of prompts that crashes each engine that begins an answer on it", func() {
	const length = 11 * time.Second
	sound := func(int) string { return "f1:79,f2:800" }

	// Guards against deaths that are counted against each request only: new requests with the same
	// part crash one engine after the other.
	DescribeTable("reaches engines no longer once it has crashed five", func(nodes int, gap time.Duration, path string, sound, parts func(int) string, deadly ...string) {
		p := newCrashingPool(14, deadly...)
		p.start(nodes)
		load := &partsLoad{pool: p, deadly: parts, sound: sound, deadlyGap: gap, path: path, length: length}
		load.run()
		AddReportEntry("crashes", fmt.Sprintf("%d crashes, deadly requests by status %v, sound share from second 6 on %.3f",
			p.crashCount(), load.deadlyStatus, load.share(6)))
		Expect(p.lateRuns(time.Time{})).To(BeNumerically("<=", lateRunsAllowed))
		Expect(load.share(6)).To(BeNumerically(">=", 0.5))
	},
		Entry("in the middle", 3, 60*time.Millisecond, "/drafts/", sound, func(int) string { return "f1:79,bad:400,f2:800" }, "bad"),
		Entry("behind parts of sound requests", 3, 60*time.Millisecond, "/drafts/", sound, func(int) string { return "f1:79,f2:800,bad:400" }, "bad"),
		Entry("in first place", 3, 60*time.Millisecond, "/drafts/", sound, func(int) string { return "bad:400,f2:800" }, "bad"),
		Entry("seldom", 3, 700*time.Millisecond, "/drafts/", sound, func(int) string { return "f1:79,bad:400" }, "bad"),
		Entry("beside another one", 3, 60*time.Millisecond, "/drafts/", sound, func(n int) string { return fmt.Sprintf("f1:79,bad%d:400", n%2) }, "bad0", "bad1"),
		Entry("beside a rare sound part", 3, 60*time.Millisecond, "/drafts/",
			func(n int) string {
				if n%50 == 49 {
					return "f1:79,7a7e:100"
				}
				return "f1:79,f2:800"
			}, func(int) string { return "f1:79,7a7e:100,bad:400" }, "bad"),
		Entry("among seven nodes", 7, 60*time.Millisecond, "/drafts/", sound, func(int) string { return "f1:79,bad:400" }, "bad"),
		Entry("on a resumable route", 3, 60*time.Millisecond, "/notes/", sound, func(int) string { return "f1:79,bad:400" }, "bad"),
	)

	// Guards against a verdict that a node forgets when it starts again.
	It("is known to a node that starts again", func() {
		p := newCrashingPool(14, "bad")
		p.start(3)
		deadly := func(int) string { return "f1:79,bad:400" }
		load := &partsLoad{pool: p, deadly: deadly, sound: sound, deadlyGap: 60 * time.Millisecond, path: "/drafts/", length: 6 * time.Second}
		load.run()
		p.nodes[1].Kill()
		Expect(p.nodes[1].Start()).To(Succeed())
		Eventually(p.nodes[1].ready, 5*time.Second, 5*time.Millisecond).Should(BeTrue())
		crashes := p.crashCount()
		for i := range 10 {
			Expect(p.sendPartsTo(p.nodes[1], fmt.Sprintf("/drafts/again%d", i), deadly(i)+",e:1").status).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(p.crashCount()).To(Equal(crashes))
		Expect(p.lateRuns(time.Time{})).To(BeNumerically("<=", lateRunsAllowed))
	})

	// Guards against a verdict that is lost when all nodes are killed at the same time.
	It("is known after all nodes have started again", func() {
		p := newCrashingPool(14, "bad")
		p.start(3)
		deadly := func(int) string { return "f1:79,bad:400" }
		load := &partsLoad{pool: p, deadly: deadly, sound: sound, deadlyGap: 60 * time.Millisecond, path: "/drafts/", length: 6 * time.Second}
		load.run()
		for _, n := range p.nodes {
			n.Kill()
		}
		for _, n := range p.nodes {
			Expect(n.Start()).To(Succeed())
		}
		for _, n := range p.nodes {
			Eventually(n.ready, 8*time.Second, 5*time.Millisecond).Should(BeTrue())
		}
		crashes := p.crashCount()
		for i := range 12 {
			Expect(p.sendParts(i, fmt.Sprintf("/drafts/again%d", i), deadly(i)+",e:1").status).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(p.crashCount()).To(Equal(crashes))
	})
})

var _ = Describe("engines that die of nothing in the prompts", func() {
	// Guards against parts that are blamed for the deaths of engines on which all requests with them
	// ran.
	DescribeTable("blame no part", func(engines int, pause time.Duration) {
		p := newCrashingPool(engines)
		p.start(3)
		load := &partsLoad{
			pool: p, deadly: func(int) string { return "f1:79,f2:800" }, sound: func(int) string { return "f1:79,f2:800" },
			deadlyGap: 100 * time.Millisecond, path: "/drafts/", length: 9 * time.Second,
		}
		var running sync.WaitGroup
		running.Go(load.run)
		time.Sleep(2 * time.Second)
		for i := range 6 {
			p.mu.Lock()
			victim := p.workers[i]
			p.mu.Unlock()
			victim.Stop()
			time.Sleep(pause)
		}
		running.Wait()
		Expect(load.share(8)).To(BeNumerically("==", 1))
		for _, n := range p.nodes {
			Expect(p.logged(n, "reason=suspect_request")).To(BeFalse(), n.ip)
		}
	},
		Entry("one a second", 10, 900*time.Millisecond),
		Entry("all at once", 10, time.Duration(0)),
	)
})

var _ = Describe("the row of a quarantine", func() {
	// rows returns the keys of the rows.
	rows := func(p *crashingPool) func() []string {
		return func() []string {
			listing, err := p.store.List(context.Background(), "quarantine")
			if err != nil {
				return nil
			}
			var keys []string
			for _, row := range listing.Rows {
				keys = append(keys, row.Key)
			}
			return keys
		}
	}
	quarantined := func() *crashingPool {
		p := newCrashingPool(14, "bad")
		p.start(3)
		load := &partsLoad{
			pool: p, deadly: func(int) string { return "f1:79,bad:400" }, sound: func(int) string { return "f1:79" },
			deadlyGap: 60 * time.Millisecond, path: "/drafts/", length: 4 * time.Second,
		}
		load.run()
		Eventually(rows(p), 3*time.Second, 50*time.Millisecond).Should(Equal([]string{"bad"}))
		return p
	}

	// Guards against a wrong verdict that an operator cannot end.
	It("ends it at all nodes when an operator removes it", func() {
		p := quarantined()
		p.write(platform.Write{Table: "quarantine", Key: "bad", Delete: true})
		released := func(n *nodeProcess) func() bool {
			return func() bool { return p.logged(n, "prompt parts released", "parts=[bad]") }
		}
		for _, n := range p.nodes {
			Eventually(released(n), 15*time.Second, 100*time.Millisecond).Should(BeTrue(), n.ip)
		}
		crashes := p.crashCount()
		p.sendParts(0, "/drafts/after", "f1:79,bad:400,e:1")
		Expect(p.crashCount()).To(Equal(crashes + 1))
	})

	// Guards against a row that is lost when the store goes back to a copy, and is then taken for one that
	// an operator has removed.
	It("is written again after the store was restored from a copy without it", func() {
		p := newCrashingPool(14, "bad")
		ctx := GinkgoT().Context()
		p.start(3)
		Expect(p.faults.SetFaults(ctx, admin.PlatformFaults{KeepCopy: true})).To(Succeed())
		load := &partsLoad{
			pool: p, deadly: func(int) string { return "f1:79,bad:400" }, sound: func(int) string { return "f1:79" },
			deadlyGap: 60 * time.Millisecond, path: "/drafts/", length: 4 * time.Second,
		}
		load.run()
		Eventually(rows(p), 3*time.Second, 50*time.Millisecond).Should(Equal([]string{"bad"}))
		Expect(p.faults.SetFaults(ctx, admin.PlatformFaults{Restore: true})).To(Succeed())
		Eventually(rows(p), 8*time.Second, 50*time.Millisecond).Should(Equal([]string{"bad"}))
		crashes := p.crashCount()
		time.Sleep(12 * time.Second)
		for i := range 6 {
			Expect(p.sendParts(i, fmt.Sprintf("/drafts/again%d", i), "f1:79,bad:400,e:1").status).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(p.crashCount()).To(Equal(crashes))
	})
})
