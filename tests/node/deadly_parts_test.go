package node_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
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

// crashingPool is a pool of engines that crash when they begin an answer to a prompt with a deadly
// part, and come back.
type crashingPool struct {
	*site
	deadly []string

	mu      sync.Mutex
	started int
	// workers are the engines that were started, ids their IDs.
	workers []*worker.Worker
	ids     []string
	// crashes are the times at which engines crashed, runs those at which deadly runs began.
	crashes, runs []time.Time
	stopped       bool
	// restarting is held while nodes are killed and started.
	restarting sync.Mutex
}

func newCrashingPool(engines int, deadly ...string) *crashingPool {
	GinkgoHelper()
	p := &crashingPool{site: newSite(), deadly: deadly}
	for range engines {
		Expect(p.startEngine()).To(Succeed())
	}
	DeferCleanup(p.stop)
	return p
}

// startEngine starts and registers an engine under a new ID.
func (p *crashingPool) startEngine() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	p.started++
	id := fmt.Sprintf("e%d", p.started)
	w, err := worker.Start(worker.Options{
		ID: id, Events: 20, EventInterval: 10 * time.Millisecond, KVStore: p.memory,
		FaultOf: func(r *worker.Run) worker.Fault { return p.faultOf(id, r) },
	})
	if err != nil {
		return err
	}
	p.workers = append(p.workers, w)
	p.ids = append(p.ids, id)
	return p.writeEndpoint(platform.Write{Key: id, Value: entryData("pool", w.Address())})
}

func (p *crashingPool) faultOf(id string, r *worker.Run) worker.Fault {
	shared := r.Header.Get("Crocusreel-Prompt-Prefix")
	shared = shared[:strings.LastIndex(shared, ",")+1]
	for _, part := range p.deadly {
		if strings.Contains(shared, part+":") {
			p.recordCrash(id)
			return worker.CrashAtStart
		}
	}
	return worker.None
}

// recordCrash records a deadly run, starts the engine's successor and removes its entry.
func (p *crashingPool) recordCrash(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.runs = append(p.runs, now)
	p.crashes = append(p.crashes, now)
	time.AfterFunc(restartTime, func() {
		_ = p.startEngine()
		_ = p.writeEndpoint(platform.Write{Key: id, Delete: true})
	})
}

func (p *crashingPool) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	for _, w := range p.workers {
		w.Stop()
	}
}

// lateRuns returns the number of deadly runs later than detectionTime after the fifth crash, without
// those before the given time.
func (p *crashingPool) lateRuns(notBefore time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < deadlyCrashes {
		return 0
	}
	from := p.crashes[deadlyCrashes-1].Add(detectionTime)
	if from.Before(notBefore) {
		from = notBefore
	}
	late := 0
	for _, at := range p.runs {
		if at.After(from) {
			late++
		}
	}
	return late
}

func (p *crashingPool) crashCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.crashes)
}

// partsLoad is a load of streams whose prompts share parts.
type partsLoad struct {
	pool *crashingPool
	// deadly and sound return the parts but the last one of the nth request; a nil sound sends none.
	deadly, sound func(n int) string
	// deadlyGap is the time between two deadly requests, each with a path and a body of its own.
	deadlyGap time.Duration
	path      string
	length    time.Duration

	// began counts the sound streams that began by the time that they were sent, sent all of them.
	mu          sync.Mutex
	sent, began map[int]int
	// deadlyStatus counts the statuses of deadly requests.
	deadlyStatus map[int]int
}

// soundGap is the time between two sound streams.
const soundGap = 20 * time.Millisecond

// run sends the load to the nodes in turn until it ends and all answers have ended.
func (l *partsLoad) run() {
	l.sent, l.began, l.deadlyStatus = make(map[int]int), make(map[int]int), make(map[int]int)
	var sending sync.WaitGroup
	began := time.Now()
	each := func(gap time.Duration, send func(n int)) {
		for n := 0; time.Since(began) < l.length; n++ {
			sending.Go(func() { send(n) })
			time.Sleep(gap)
		}
	}
	var senders sync.WaitGroup
	senders.Go(func() {
		each(l.deadlyGap, func(n int) {
			got := l.pool.sendParts(n, fmt.Sprintf("%s%d", l.path, n), l.deadly(n)+fmt.Sprintf(",d%d:250", n))
			l.mu.Lock()
			defer l.mu.Unlock()
			l.deadlyStatus[got.status]++
		})
	})
	senders.Go(func() {
		if l.sound == nil {
			return
		}
		each(soundGap, func(n int) {
			second := int(time.Since(began) / time.Second)
			got := l.pool.sendParts(n, fmt.Sprintf("%ss%d", l.path, n), l.sound(n)+fmt.Sprintf(",c%d:250", n))
			l.mu.Lock()
			defer l.mu.Unlock()
			l.sent[second]++
			if strings.Contains(got.body, "id: 1\n") {
				l.began[second]++
			}
		})
	})
	senders.Wait()
	sending.Wait()
}

// share returns the share of the sound streams of the seconds from first on that began.
func (l *partsLoad) share(first int) float64 {
	sent, began := 0, 0
	for second, n := range l.sent {
		if second >= first {
			sent, began = sent+n, began+l.began[second]
		}
	}
	return float64(began) / float64(max(sent, 1))
}

var partsRequests atomic.Int64

// sendParts sends a stream with the given prompt parts to the nodes in turn.
func (p *crashingPool) sendParts(n int, path, parts string) reply {
	return p.sendPartsTo(p.nodes[n%len(p.nodes)], path, parts)
}

func (p *crashingPool) sendPartsTo(node *nodeProcess, path, parts string) reply {
	body := "body of " + path + strconv.FormatInt(partsRequests.Add(1), 10)
	return p.sendRequest(client, node, path, body, http.Header{"Crocusreel-Prompt-Prefix": {parts}})
}

// logged reports whether a node has logged a line with all of the texts.
func (s *site) logged(n *nodeProcess, texts ...string) bool {
	data, err := os.ReadFile(filepath.Join(s.dir, n.ip+".log"))
	if err != nil {
		return false
	}
lines:
	for _, line := range strings.Split(string(data), "\n") {
		for _, text := range texts {
			if !strings.Contains(line, text) {
				continue lines
			}
		}
		return true
	}
	return false
}

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
