package node_test

import (
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

	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/platform"
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
