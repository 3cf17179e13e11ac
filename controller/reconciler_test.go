package controller

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/endpoint"
	"github.com/crocusreel/crocusreel/peer/peerv1"
	"github.com/crocusreel/crocusreel/settings"
)

// clock is a manual clock.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) get() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// fakeEngine is an endpoint.Engine that carries out orders at once. Methods that the tests do not
// use panic.
type fakeEngine struct {
	endpoint.Engine
	mu          sync.Mutex
	name        string
	checksFence bool
	state       endpoint.State
	orders      []string
	// intercept decides whether an order reaches the engine, and the error that the sender
	// receives.
	intercept func(o endpoint.Order) (deliver bool, err error)
	// deadline is the context deadline of the last order.
	deadline time.Time
	dead     bool
	leaving  bool
	// afterChange runs after each order that was carried out.
	afterChange func()
}

func (e *fakeEngine) State(context.Context) (endpoint.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return endpoint.State{}, &endpoint.Error{Outcome: crocusreel.OutcomeNotRun, Kind: endpoint.KindUnreachable}
	}
	s := e.state
	s.Models = append([]endpoint.LoadedModel(nil), s.Models...)
	return s, nil
}

func (e *fakeEngine) Load(context.Context) (endpoint.LoadReport, error) {
	return endpoint.LoadReport{Leaving: e.leaving}, nil
}

func (e *fakeEngine) Order(ctx context.Context, o endpoint.Order) error {
	e.mu.Lock()
	intercept := e.intercept
	e.deadline, _ = ctx.Deadline()
	e.mu.Unlock()
	if intercept != nil {
		if deliver, err := intercept(o); !deliver || err != nil {
			if deliver {
				_ = e.carryOut(o)
			}
			return err
		}
	}
	return e.carryOut(o)
}

func (e *fakeEngine) carryOut(o endpoint.Order) error {
	e.mu.Lock()
	if e.checksFence && o.Fence < e.state.Fence {
		e.mu.Unlock()
		return &endpoint.Error{Outcome: crocusreel.OutcomeNotRun, Kind: endpoint.KindStaleFence}
	}
	if e.checksFence {
		e.state.Fence = o.Fence
	}
	e.orders = append(e.orders, fmt.Sprintf("%s %s@%s#%d", o.Verb, o.Model, o.Version, o.Fence))
	kept := e.state.Models[:0:0]
	for _, m := range e.state.Models {
		if m.Model != o.Model {
			kept = append(kept, m)
		}
	}
	switch o.Verb {
	case verbLoad:
		kept = append(kept, endpoint.LoadedModel{Model: o.Model, Version: o.Version})
	case verbRole:
		kept, e.state.Role = e.state.Models, o.Role
	}
	e.state.Models = kept
	e.mu.Unlock()
	if e.afterChange != nil {
		e.afterChange()
	}
	return nil
}

func (e *fakeEngine) hasModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return hasModel(e.state, model)
}

func (e *fakeEngine) received() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.orders...)
}

// fleet is a set of engines and of reconcilers that may send them orders, on one clock.
type fleet struct {
	platform      *fakePlatform
	clock         *clock
	engines       map[string]*fakeEngine
	minCopiesSeen int
}

const testLease = 6 * time.Second

func newFleet(checksFence bool, names ...string) *fleet {
	f := &fleet{platform: newFakePlatform(), clock: &clock{now: time.Now()}, engines: make(map[string]*fakeEngine), minCopiesSeen: 99}
	for _, name := range names {
		e := &fakeEngine{name: name, checksFence: checksFence, state: endpoint.State{Role: "mixed"}}
		e.afterChange = f.countCopies
		f.engines[name] = e
	}
	return f
}

// countCopies records the smallest number of copies of model m seen after any order.
func (f *fleet) countCopies() { f.minCopiesSeen = min(f.minCopiesSeen, f.copies()) }

func (f *fleet) copies() int {
	n := 0
	for _, e := range f.engines {
		if e.hasModel("m") {
			n++
		}
	}
	return n
}

func (f *fleet) load(names ...string) {
	for _, name := range names {
		f.engines[name].state.Models = []endpoint.LoadedModel{{Model: "m", Version: "1"}}
	}
}

func address(name string) string { return "10.9.0." + strings.TrimPrefix(name, "e") + ":80" }

// newReconciler returns the reconciler of the given VM. It runs only when the test calls it.
func (f *fleet) newReconciler(vm string) *reconciler {
	c := New(Options{
		Settings: settings.Controller{
			VM: settings.VM{ID: vm, DataCentre: "dc", Region: "r"}, LeaseMS: int(testLease.Milliseconds()),
			ProbeIntervalMS: 500, ConfigIntervalMS: 500,
		},
		Platform: f.platform, Log: zap.NewNop(), Now: f.clock.get,
		Engine: func(a string) endpoint.Engine {
			for name, e := range f.engines {
				if address(name) == a {
					return e
				}
			}
			return nil
		},
	})
	DeferCleanup(func() { close(c.stopped) })
	return c.reconciler
}

// setConfig puts a configuration in force in which the named engines hold model m.
func (f *fleet) setConfig(r *reconciler, version, minReplicas int, checksFence bool, names ...string) {
	var b strings.Builder
	fmt.Fprintf(&b, "[service]\nname=\"s\"\n[[models]]\nname=\"m\"\nversion=\"1\"\nmin_replicas=%d\n[[models]]\nname=\"other\"\nversion=\"1\"\n", minReplicas)
	for name := range f.engines {
		models := `[]`
		for _, n := range names {
			if n == name {
				models = `["m"]`
			}
		}
		fmt.Fprintf(&b, "[[endpoints]]\nname=%q\nkind=\"engine\"\naddress=%q\ndata_centre=\"dc\"\nregion=\"r\"\nchecks_fence=%t\nmodels=%s\n",
			name, address(name), checksFence, models)
	}
	document := fmt.Sprintf(`{"base":%q}`, b.String())
	Expect(r.c.adopt(&peerv1.ConfigDocument{Version: uint64(version), Document: []byte(document)})).To(Succeed())
}

// runRounds runs n rounds of a reconciler, one per second of the clock.
func (f *fleet) runRounds(r *reconciler, n int) {
	for range n {
		r.lease.renewOrAcquire(context.Background(), true)
		if r.lease.held() {
			r.round(context.Background())
		}
		f.clock.advance(time.Second)
	}
}

var errResponseLost = &endpoint.Error{Outcome: crocusreel.OutcomeUnknown, Kind: endpoint.KindLost, Cause: errors.New("answer lost")}

var _ = Describe("Orders", func() {
	It("bring engines to the configured state, and their effect is verified", func() {
		f := newFleet(true, "e1", "e2")
		r := f.newReconciler("vm-1")
		f.setConfig(r, 1, 1, true, "e1", "e2")
		f.runRounds(r, 10)
		Expect(f.engines["e1"].received()).To(Equal([]string{"load m@1#1"}))
		Expect(f.engines["e2"].received()).To(Equal([]string{"load m@1#1"}))
		Expect(r.engines["e1"].pending).To(BeNil())
	})

	// An order is accepted but has no effect, for example because the engine restarts right
	// afterwards. Without a check of the engine's state, the engine would stay without its model.
	It("are sent again if the engine's state does not show their effect", func() {
		f := newFleet(true, "e1")
		r := f.newReconciler("vm-1")
		f.setConfig(r, 1, 1, true, "e1")
		times := 0
		f.engines["e1"].intercept = func(endpoint.Order) (bool, error) {
			times++
			return times > 2, nil
		}
		f.runRounds(r, 40)
		Expect(f.engines["e1"].hasModel("m")).To(BeTrue())
	})

	// Weights take minutes to load. An order that is repeated meanwhile loads them again, which
	// uses up the weight store's rate.
	It("are not repeated while the engine is loading", func() {
		f := newFleet(true, "e1")
		r := f.newReconciler("vm-1")
		f.setConfig(r, 1, 1, true, "e1")
		times := 0
		f.engines["e1"].intercept = func(endpoint.Order) (bool, error) {
			times++
			f.engines["e1"].state.Loading = true
			return false, nil
		}
		f.runRounds(r, 40)
		Expect(times).To(Equal(1))
	})

	// A lease holder is paused past its lease and continues as if it still held it, while its
	// successor sends other orders to the same engines.
	DescribeTable("are not sent by a holder that was paused past its lease", func(checksFence bool) {
		f := newFleet(checksFence, "e1", "e2")
		f.load("e1")
		a, b := f.newReconciler("vm-1"), f.newReconciler("vm-2")
		a.lease.renewOrAcquire(context.Background(), true)
		Expect(a.lease.held()).To(BeTrue())
		f.setConfig(a, 1, 1, checksFence, "e2")
		f.setConfig(b, 2, 1, checksFence, "e1")

		b.lease.renewOrAcquire(context.Background(), true)
		f.clock.advance(testLease)
		b.lease.renewOrAcquire(context.Background(), true)
		Expect(b.lease.held()).To(BeFalse(), "a successor waits for the lease duration and the skew margin")
		f.clock.advance(testLease / 2)
		f.runRounds(b, 3)
		Expect(b.lease.held()).To(BeTrue())

		a.round(context.Background())
		Expect(f.engines["e2"].received()).To(BeEmpty())
		a.lease.renewOrAcquire(context.Background(), true)
		Expect(a.lease.held()).To(BeFalse())
	},
		Entry("at engines that check fencing tokens", true),
		Entry("at engines that ignore them", false),
	)

	// The pause falls between the holder's last check of its lease and its order, so the order
	// arrives after the successor's.
	It("that arrive late are refused by engines that check fencing tokens, and the holder abandons the lease", func() {
		f := newFleet(true, "e1", "e2")
		a, b := f.newReconciler("vm-1"), f.newReconciler("vm-2")
		a.lease.renewOrAcquire(context.Background(), true)
		f.setConfig(a, 1, 1, true, "e1")
		f.setConfig(b, 2, 1, true, "e1")
		f.engines["e1"].intercept = func(endpoint.Order) (bool, error) {
			f.engines["e1"].intercept = nil
			b.lease.renewOrAcquire(context.Background(), true)
			f.clock.advance(2 * testLease)
			f.runRounds(b, 4)
			return true, nil
		}
		a.round(context.Background())
		Expect(f.engines["e1"].received()).To(Equal([]string{"load m@1#2"}))
		Expect(a.lease.held()).To(BeFalse())
	})

	It("are sent with a deadline no later than the end of the lease", func() {
		f := newFleet(false, "e1")
		r := f.newReconciler("vm-1")
		f.setConfig(r, 1, 1, false, "e1")
		r.lease.renewOrAcquire(context.Background(), true)
		start := time.Now()
		r.round(context.Background())
		Expect(f.engines["e1"].deadline).To(BeTemporally("<=", start.Add(testLease+time.Second)))
	})

	// The response to the write that acquires or renews the lease is lost. If this counted as
	// failure, nobody would hold the lease; if it counted as success, two processes might.
	It("continue after lost responses of the platform", func() {
		f := newFleet(true, "e1")
		r := f.newReconciler("vm-1")
		f.setConfig(r, 1, 1, true, "e1")
		lost := true
		f.platform.commitFault = func() commitFault {
			lost = !lost
			if !lost {
				return responseLost
			}
			return applied
		}
		f.runRounds(r, 12)
		Expect(f.engines["e1"].received()).To(Equal([]string{"load m@1#1"}))
	})

	It("wait for the time slot that the weight store assigns", func() {
		f := newFleet(true, "e1")
		f.platform.wait = 10 * time.Second
		r := f.newReconciler("vm-1")
		f.setConfig(r, 1, 1, true, "e1")
		f.runRounds(r, 8)
		Expect(f.engines["e1"].received()).To(BeEmpty())
		f.runRounds(r, 8)
		Expect(f.engines["e1"].received()).To(HaveLen(1))
		Expect(f.platform.reservations).To(HaveLen(1))
	})
})

var _ = Describe("The last copy of a model", func() {
	// The configuration moves a model from one engine to another. If the first unloads it before
	// the other has loaded it, no engine serves the model meanwhile.
	It("stays until another engine has the model", func() {
		f := newFleet(true, "e1", "e2")
		f.load("e1")
		r := f.newReconciler("vm-1")
		f.setConfig(r, 1, 1, true, "e2")
		failing := true
		f.engines["e2"].intercept = func(endpoint.Order) (bool, error) { return !failing, nil }
		f.runRounds(r, 30)
		Expect(f.engines["e1"].received()).To(BeEmpty())
		failing = false
		f.runRounds(r, 30)
		Expect(f.engines["e1"].hasModel("m")).To(BeFalse())
		Expect(f.engines["e2"].hasModel("m")).To(BeTrue())
		Expect(f.minCopiesSeen).To(Equal(1))
	})

	// The engine that would hold the only remaining copy has just died.
	It("stays when the other copy is on an engine that does not answer", func() {
		f := newFleet(true, "e1", "e2")
		f.load("e1", "e2")
		r := f.newReconciler("vm-1")
		f.setConfig(r, 1, 1, true, "e2")
		r.lease.renewOrAcquire(context.Background(), true)
		Expect(r.refreshTargets()).To(BeTrue())
		for _, t := range r.engines {
			t.read(context.Background(), f.clock.get())
		}
		f.engines["e2"].dead = true
		f.runRounds(r, 10)
		Expect(f.engines["e1"].hasModel("m")).To(BeTrue())
	})

	// The engine that would hold the only remaining copy is about to be reclaimed.
	It("stays when the other copy is on an engine that is being reclaimed", func() {
		f := newFleet(true, "e1", "e2")
		f.load("e1", "e2")
		r := f.newReconciler("vm-1")
		f.setConfig(r, 1, 1, true, "e2")
		f.engines["e2"].leaving = true
		f.runRounds(r, 10)
		Expect(f.engines["e1"].hasModel("m")).To(BeTrue())
	})

	It("stays together with the other copies that min_replicas requires", func() {
		f := newFleet(true, "e1", "e2", "e3", "e4")
		f.load("e1", "e2", "e3")
		r := f.newReconciler("vm-1")
		f.setConfig(r, 1, 2, true, "e3", "e4")
		f.runRounds(r, 60)
		Expect(f.copies()).To(Equal(2))
		Expect(f.minCopiesSeen).To(BeNumerically(">=", 2))
	})

	// A paused holder's unload order is delayed on a stalled link. The successor's newer
	// configuration keeps the model on just that engine and unloads the other copy; then an engine
	// that ignores fencing tokens carries out the old order.
	It("stays when a former holder's unload may still reach the other copy", func() {
		f := newFleet(false, "e1", "e2")
		f.load("e1", "e2")
		a, b := f.newReconciler("vm-1"), f.newReconciler("vm-2")
		f.setConfig(a, 1, 1, false, "e2")
		f.setConfig(b, 2, 1, false, "e1")
		var delayed *endpoint.Order
		f.engines["e1"].intercept = func(o endpoint.Order) (bool, error) {
			delayed = &o
			return false, errResponseLost
		}
		f.runRounds(a, 2)
		Expect(delayed).NotTo(BeNil())
		f.engines["e1"].intercept = nil

		b.lease.renewOrAcquire(context.Background(), true)
		f.clock.advance(2 * testLease)
		f.runRounds(b, 20)
		Expect(b.lease.held()).To(BeTrue())
		Expect(f.engines["e1"].carryOut(*delayed)).To(Succeed())
		Expect(f.minCopiesSeen).To(Equal(1))
		f.runRounds(b, 30)
		Expect(f.engines["e1"].hasModel("m")).To(BeTrue(), "the successor loads the model again after the late unload")
	})

	// The response to an unload is lost and the order is delayed on a stalled link. Then the
	// configuration changes, so that just that engine keeps the model. The other copy must stay
	// while the order may still arrive.
	It("stays when the holder's own unload may still reach the other copy", func() {
		f := newFleet(false, "e1", "e2")
		f.load("e1", "e2")
		r := f.newReconciler("vm-1")
		f.setConfig(r, 1, 1, false, "e2")
		var delayed *endpoint.Order
		f.engines["e1"].intercept = func(o endpoint.Order) (bool, error) {
			delayed = &o
			return false, errResponseLost
		}
		f.runRounds(r, 2)
		Expect(delayed).NotTo(BeNil())
		f.engines["e1"].intercept = nil
		f.setConfig(r, 2, 1, false, "e1")
		f.runRounds(r, 30)
		Expect(f.engines["e1"].carryOut(*delayed)).To(Succeed())
		Expect(f.minCopiesSeen).To(Equal(1))
	})
})
