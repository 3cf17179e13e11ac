package relay_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/standin/worker"
	"github.com/crocusreel/crocusreel/quarantine"
	"github.com/crocusreel/crocusreel/relay"
	"github.com/crocusreel/crocusreel/routing"
)

const (
	// exchangeDelay is the usual delay of a change, exchangePeriod the time between regular reports of up to
	// fullRateNodes nodes; it grows in proportion to further nodes.
	exchangeDelay  = 5 * time.Millisecond
	exchangePeriod = 150 * time.Millisecond
	fullRateNodes  = 8
	// engineRestart is the time until a crashed engine is back.
	engineRestart = time.Second
)

const (
	commonPart quarantine.Part = 1
	deadlyPart quarantine.Part = 0xbad
)

// relayFleet is a number of relays in one process that tell each other what they know of deadly requests
// and prompt parts, before engines that crash when they begin an answer to a deadly request.
type relayFleet struct {
	nodes []*testRelay
	// delay is the time from a change at a node until all others know it.
	delay   time.Duration
	pending []atomic.Bool
	// crashes counts the runs that crashed their engines, crashed holds the IDs of these engines.
	crashes atomic.Int32
	crashed sync.Map
	started atomic.Int32
	stopped atomic.Bool
}

func newRelayFleet(nodes, engines int, delay time.Duration) *relayFleet {
	GinkgoHelper()
	f := &relayFleet{delay: delay, pending: make([]atomic.Bool, nodes)}
	for i := range nodes {
		n := newTestRelay()
		n.Quarantine.Broadcast = func() { f.announce(i) }
		n.Quarantine.OnChange = n.Claims.Notify
		n.Claims.Broadcast = func() { f.announce(i) }
		n.Strikes.Broadcast = func() { f.announce(i) }
		n.Strikes.Announce = func(context.Context) { f.announce(i) }
		f.nodes = append(f.nodes, n)
	}
	for range engines {
		f.startEngine()
	}
	go func() {
		for i := 0; !f.stopped.Load(); i++ {
			time.Sleep(exchangePeriod / time.Duration(min(nodes, fullRateNodes)))
			f.send(i % nodes)
		}
	}()
	DeferCleanup(func() { f.stopped.Store(true) })
	return f
}

// announce sends the reports of a node to all others after f.delay.
func (f *relayFleet) announce(node int) {
	if f.pending[node].CompareAndSwap(false, true) {
		time.AfterFunc(f.delay, func() { f.send(node) })
	}
}

func (f *relayFleet) send(node int) {
	f.pending[node].Store(false)
	from := f.nodes[node]
	claims, strikes := from.OwnClaimsAndStrikes()
	report := from.Quarantine.Report()
	name := fmt.Sprint(node)
	for i, to := range f.nodes {
		if i != node {
			for _, strike := range strikes {
				to.Strikes.Merge(strike.Work, strike.Endpoint)
			}
			to.Quarantine.Merge(name, report)
			to.Claims.SetRemote(name, claims)
		}
	}
}

func (f *relayFleet) startEngine() {
	id := fmt.Sprintf("e%d", f.started.Add(1))
	w, err := worker.Start(worker.Options{
		ID: id, Events: 10, EventInterval: 10 * time.Millisecond, KVStore: f.nodes[0].memory,
		FaultOf: func(r *worker.Run) worker.Fault {
			if !strings.Contains(r.Target, "deadly") {
				return worker.None
			}
			f.crashes.Add(1)
			f.crashed.Store(id, true)
			time.AfterFunc(engineRestart, func() { f.replace(id) })
			return worker.CrashAtStart
		},
	})
	if err != nil {
		panic(err) // a loopback port is there
	}
	for _, n := range f.nodes {
		n.Fleet.Update(fleet.Instance{ID: id, Service: "pool", Address: w.Address(), DataCentre: "dc1", Slots: 24})
	}
}

func (f *relayFleet) replace(id string) {
	if f.stopped.Load() {
		return
	}
	for _, n := range f.nodes {
		n.Fleet.Remove(id, false)
	}
	f.startEngine()
}

func (f *relayFleet) crashedEngines() (n int) {
	f.crashed.Range(func(any, any) bool {
		n++
		return true
	})
	return n
}

// outcomes counts sound streams: those that were served, those that were lost because their engine
// crashed, and all others, which were refused or broken.
type outcomes struct{ served, lost, failed int }

// lostWithEngine reports whether a stream ended because the engine crashed on which it ran.
func (f *relayFleet) lostWithEngine(result relay.Result) bool {
	_, crashed := f.crashed.Load(result.Endpoint)
	return crashed && (result.Broken || result.Refusal != nil && result.Refusal.Reason == crocusreel.ReasonEndpointLost)
}

// play sends sound streams and, from the given time on, deadly ones to the nodes in turn, and returns
// the outcomes of the sound ones.
func (f *relayFleet) play(length, deadlyFrom, deadlyGap, soundGap time.Duration) (sound outcomes) {
	var mu sync.Mutex
	var sending, senders sync.WaitGroup
	began := time.Now()
	id := 0
	send := func(target string, parts []quarantine.Part) {
		mu.Lock()
		id++
		n := f.nodes[id%len(f.nodes)]
		req := n.request(routing.Streaming)
		req.ID = fmt.Sprintf("r%d", id)
		mu.Unlock()
		req.Header.Set("Crocusreel-Attempt-Id", req.ID)
		req.Target, req.Parts = target+req.ID, parts
		req.Fingerprint = relay.NewFingerprint("ws", req.Target, nil)
		result := n.Serve(context.Background(), req, &recordingSink{})
		mu.Lock()
		defer mu.Unlock()
		switch {
		case strings.Contains(target, "deadly"):
		case f.lostWithEngine(result):
			sound.lost++
		case result.Refusal != nil || result.Broken:
			sound.failed++
			AddReportEntry("failed", fmt.Sprintf("%s: refusal %v, broken %t", result.Endpoint, result.Refusal, result.Broken))
		default:
			sound.served++
		}
	}
	each := func(from, gap time.Duration, do func()) {
		time.Sleep(from)
		for time.Since(began) < length {
			sending.Go(do)
			time.Sleep(gap)
		}
	}
	senders.Go(func() { each(0, soundGap, func() { send("/sound/", []quarantine.Part{commonPart}) }) })
	senders.Go(func() {
		each(deadlyFrom, deadlyGap, func() { send("/deadly/", []quarantine.Part{commonPart, deadlyPart}) })
	})
	senders.Wait()
	sending.Wait()
	return sound
}
