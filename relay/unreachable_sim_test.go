package relay_test

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/relay"
	"github.com/crocusreel/crocusreel/retry"
	"github.com/crocusreel/crocusreel/routing"
)

// The simulation has real fleets and relay decisions, engines with fixed run times, and datagrams that
// are delayed or lost. In a burst, a third of the engines begin to refuse connections.

const (
	simEngines = 57
	simDead    = 19
	simDelay   = time.Millisecond
	// refusalTime is the time in which a connection is refused, compareTime that of the comparison.
	refusalTime = 2 * time.Millisecond
	compareTime = 2 * time.Millisecond
	// entryExpiry is the time in which the entry of a dead engine expires at the latest.
	entryExpiry = 3600 * time.Millisecond
	// requestsPerSecond is the rate of a burst, two thirds of which are short.
	requestsPerSecond = 1.7 * 69.5
	simCrash          = 4 * time.Second
	simEnd            = 12 * time.Second
	// roomPoll is the interval at which the simulation looks for room for waiting work.
	roomPoll = 20 * time.Millisecond
)

var simPool = &routing.Service{Name: "pool", Engine: &routing.EngineSpec{Slots: 24, CacheTokens: 26_881}}

type simEvent struct {
	at time.Duration
	do func()
}

type simEvents []simEvent

func (s simEvents) Len() int           { return len(s) }
func (s simEvents) Less(i, j int) bool { return s[i].at < s[j].at }
func (s simEvents) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *simEvents) Push(x any)        { *s = append(*s, x.(simEvent)) }
func (s *simEvents) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

type simNode struct {
	*relay.Relay
	name      string
	lastSent  time.Duration
	scheduled bool
	// cutOff is set while all endpoints refuse this node, cutFrom names a data centre whose endpoints
	// refuse it.
	cutOff  bool
	cutFrom string
}

// refusalSim is one run of the simulation, and its outcome.
type refusalSim struct {
	now     time.Duration
	queue   simEvents
	random  *rand.Rand
	nodes   []*simNode
	dead    map[string]bool
	runs    map[*fleet.Placement]*simNode
	lossOne float64

	requests, refusedConnections, refusedRequests, noRoom, suspensions, reports int
}

func newRefusalSim(nodes int, disabled bool, seed uint64) *refusalSim {
	s := &refusalSim{
		now: time.Hour, random: rand.New(rand.NewPCG(seed, 1)), dead: map[string]bool{}, runs: map[*fleet.Placement]*simNode{},
	}
	for i := range nodes {
		n := &simNode{name: fmt.Sprintf("node%d", i), Relay: &relay.Relay{Log: zap.NewNop()}}
		n.Fleet = fleet.New(fmt.Sprintf("dc%d", i%4), func() time.Duration { return s.now })
		n.Fleet.Name = n.name
		n.Fleet.Broadcast = func(string) { s.broadcast(n) }
		n.Fleet.ScheduleTick = func(after time.Duration) { s.after(after, n.Fleet.Tick) }
		n.Fleet.OnUnreachable = func(fleet.Suspension) { s.suspensions++ }
		n.Fleet.Disabled = fleet.DisabledMechanisms{fleet.UnreachableReports: disabled}
		n.Budgets = retry.NewLocal(0.2, 20/float64(nodes), 10*time.Second, func() time.Duration { return s.now })
		for e := range simEngines {
			n.Fleet.Update(fleet.Instance{ID: fmt.Sprintf("e%d", e), Service: "pool", DataCentre: fmt.Sprintf("dc%d", e%4), Slots: 24})
		}
		s.nodes = append(s.nodes, n)
		s.regularly(n)
	}
	return s
}

func (s *refusalSim) after(d time.Duration, do func()) { heap.Push(&s.queue, simEvent{s.now + d, do}) }

func (s *refusalSim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(simEvent)
		s.now = next.at
		next.do()
	}
	s.now = end
}

func (s *refusalSim) regularly(n *simNode) {
	s.after(time.Duration(s.random.Int64N(int64(1400*time.Millisecond))), func() {
		s.broadcast(n)
		s.regularly(n)
	})
}

func (s *refusalSim) broadcast(n *simNode) {
	if n.scheduled {
		return
	}
	n.scheduled = true
	s.after(max(0, n.lastSent+10*time.Millisecond-s.now), func() {
		n.scheduled, n.lastSent = false, s.now
		loads, waiting, reports := n.Fleet.OwnLoads(), n.Fleet.OwnWaiting(), n.Fleet.OwnUnreachable()
		s.after(simDelay, func() {
			for _, other := range s.nodes {
				if other != n && s.random.Float64() >= s.lossOne {
					other.Fleet.SetRemote(n.name, loads, waiting)
					other.Fleet.SetRemoteUnreachable(n.name, reports)
				}
			}
		})
	})
}

func (s *refusalSim) refuses(n *simNode, in fleet.Instance) bool {
	return n.cutOff || n.cutFrom == in.DataCentre || s.dead[in.ID]
}

// refused does what a relay does when an endpoint has refused a connection.
func (s *refusalSim) refused(n *simNode, in fleet.Instance) {
	if n.Fleet.RecordRefused(in) == 0 {
		return
	}
	others := n.Fleet.ComparableEndpoints(in, 3)
	s.after(compareTime, func() {
		for _, other := range others {
			if !s.refuses(n, other) {
				if n.Fleet.ReportRefused(in) {
					s.reports++
				}
				return
			}
		}
	})
}

// arrivals starts requests until the given time.
func (s *refusalSim) arrivals(until time.Duration) {
	s.after(time.Duration(s.random.ExpFloat64()/requestsPerSecond*float64(time.Second)), func() {
		if s.now < until {
			s.request(s.nodes[s.random.IntN(len(s.nodes))])
			s.arrivals(until)
		}
	})
}

func (s *refusalSim) request(n *simNode) {
	s.requests++
	target, demand, took := 4*time.Second, fleet.Demand{Prompt: 3000, Output: 750}, 7*time.Second
	if s.random.IntN(3) > 0 {
		target, demand, took = 1500*time.Millisecond, fleet.Demand{Prompt: 2200, Output: 8}, 600*time.Millisecond
	}
	n.Budgets.Get("pool").RecordAttempt()
	began := time.Time{}.Add(s.now)
	r := &relay.Request{
		Route:   &routing.Route{Kind: routing.Streaming, MaxAttempts: 1, TargetLatency: target},
		Service: simPool, Received: began, Deadline: began.Add(30 * time.Second),
	}
	s.place(n, relay.NewSender(n.Relay, r), fleet.Work{Service: simPool, Demand: demand}, took, s.now+3*target)
}

func (s *refusalSim) place(n *simNode, sender *relay.Sender, w fleet.Work, took, giveUp time.Duration) {
	p, refusal := n.Fleet.Acquire(context.Background(), w, 0)
	switch {
	case refusal != nil && s.now >= giveUp:
		s.noRoom++
	case refusal != nil:
		s.after(roomPoll, func() { s.place(n, sender, w, took, giveUp) })
	case s.refuses(n, p.Instance()):
		s.after(refusalTime, func() {
			s.refusedConnections++
			p.Release(fleet.Unreachable)
			s.refused(n, p.Instance())
			w.Exclude = append(w.Exclude, p.Instance().ID)
			again, pause := sender.Refused(refusalTime)
			if !again {
				s.refusedRequests++
				return
			}
			s.after(pause, func() { s.place(n, sender, w, took, giveUp) })
		})
	default:
		s.serve(n, p, took)
	}
}

// serve runs a request until it is complete or its engine dies.
func (s *refusalSim) serve(n *simNode, p *fleet.Placement, took time.Duration) {
	s.runs[p] = n
	s.after(took/10, func() {
		if s.runs[p] != nil {
			p.SetProduced(1)
		}
	})
	s.after(took, func() {
		if s.runs[p] != nil {
			delete(s.runs, p)
			p.Release(fleet.Good)
		}
	})
}

// crash makes engines refuse connections and cuts their runs. Their entries expire later.
func (s *refusalSim) crash(from, to int) {
	for e := from; e < to; e++ {
		id := fmt.Sprintf("e%d", e)
		s.dead[id] = true
		s.after(entryExpiry/2+time.Duration(s.random.Int64N(int64(entryExpiry/2))), func() {
			for _, n := range s.nodes {
				n.Fleet.Remove(id, false)
			}
		})
	}
	for p, n := range s.runs {
		if s.dead[p.Instance().ID] {
			delete(s.runs, p)
			s.after(refusalTime, func() {
				p.Release(fleet.Failed)
				s.refused(n, p.Instance())
			})
		}
	}
}

func (s *refusalSim) String() string {
	return fmt.Sprintf("%d requests, %d refused connections, %d requests refused for them, %d without room, %d reports sent, %d suspensions by report",
		s.requests, s.refusedConnections, s.refusedRequests, s.noRoom, s.reports, s.suspensions)
}

func (s *refusalSim) burst() {
	s.arrivals(s.now + simEnd)
	s.run(simCrash)
	s.crash(0, simDead)
	s.run(simEnd - simCrash + 15*time.Second)
}

var _ = Describe("a third of the engines that refuse connections in a burst of 1.7 times the load", func() {
	// Guards against requests that are refused because of dead engines while others have capacity.
	DescribeTable("do not make requests fail",
		func(nodes int, loss float64) {
			without := newRefusalSim(nodes, true, 7)
			without.lossOne = loss
			without.burst()
			with := newRefusalSim(nodes, false, 7)
			with.lossOne = loss
			with.burst()
			GinkgoWriter.Printf("%d nodes, %.1f lost, without: %v\n", nodes, loss, without)
			GinkgoWriter.Printf("%d nodes, %.1f lost, with:    %v\n", nodes, loss, with)
			Expect(without.refusedRequests).To(BeNumerically(">", 0))
			Expect(with.refusedRequests).To(BeZero())
			Expect(with.refusedConnections).To(BeNumerically("<", cmp.Or(without.refusedConnections/2, 1)))
			Expect(with.noRoom).To(BeNumerically("<=", without.noRoom+with.requests/100))
		},
		Entry("7 nodes", 7, 0.0),
		Entry("75 nodes", 75, 0.0),
		Entry("75 nodes, one in ten datagrams lost", 75, 0.1),
		Entry("75 nodes, half of the datagrams lost", 75, 0.5),
	)

	// Guards against a node that is cut off from endpoints and makes the others suspend them.
	DescribeTable("are not reported by a node that is cut off", func(cut func(*simNode)) {
		s := newRefusalSim(7, false, 3)
		s.arrivals(s.now + 3*time.Second)
		s.run(time.Second)
		cut(s.nodes[0])
		s.run(5 * time.Second)
		GinkgoWriter.Printf("cut off: %v\n", s)
		Expect(s.refusedConnections).To(BeNumerically(">", 0))
		Expect(s.reports).To(BeZero())
		Expect(s.suspensions).To(BeZero())
	},
		Entry("from all endpoints", func(n *simNode) { n.cutOff = true }),
		Entry("from those of a data centre", func(n *simNode) { n.cutFrom = "dc0" }),
	)
})
