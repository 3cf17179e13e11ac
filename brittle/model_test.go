package brittle_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusreel/crocusreel/brittle"
	"github.com/crocusreel/crocusreel/pace"
)

// model is a site of nodes and brittle endpoints in simulated time. An endpoint runs modelSlots
// requests, lets queued more wait, and falls over if it turns away more than perSecond in a second.
type model struct {
	random    *rand.Rand
	now       time.Duration
	events    eventQueue
	nodes     []*modelNode
	endpoints []*modelEndpoint
	queued    int
	perSecond float64
	// brittleFrom is the time from which endpoints can fall over; they say so earlier.
	brittleFrom time.Duration
	// careless makes the nodes send without regard to rates and rejections.
	careless               bool
	served, refused, falls int
}

// modelNode is a node with its state at each endpoint.
type modelNode struct {
	demand   brittle.Demand
	guards   []brittle.Guard
	lastSent []time.Duration
	ranks    []int
	// waiting holds the deadlines of the requests that wait.
	waiting   []time.Duration
	scheduled bool
}

type modelEndpoint struct {
	load       int
	turnedAway []time.Duration
	downUntil  time.Duration
}

const (
	modelSlots    = 6
	modelWorkTime = 60 * time.Millisecond
	modelFallTime = 3 * time.Second
	// modelNotice is how long endpoints say that they are brittle before they can fall over.
	modelNotice = 3 * time.Second
	// modelPatience is how long a request waits at its node.
	modelPatience = 900 * time.Millisecond
	// modelDelay is the one-way network delay, modelRound the longest time until a node's next
	// datagram.
	modelDelay = 2 * time.Millisecond
	modelRound = 10 * time.Millisecond
)

type event struct {
	at  time.Duration
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newModel(nodes, endpoints, queued int, perSecond float64, seed uint64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 0)), now: time.Hour, queued: queued, perSecond: perSecond}
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprintf("10.0.%d.%d", i/250, i%250))
	}
	for range endpoints {
		m.endpoints = append(m.endpoints, &modelEndpoint{})
	}
	for _, name := range names {
		n := &modelNode{guards: make([]brittle.Guard, endpoints), lastSent: make([]time.Duration, endpoints)}
		for i := range endpoints {
			n.ranks = append(n.ranks, pace.Rank(name, names, uint32(i)))
		}
		m.nodes = append(m.nodes, n)
	}
	return m
}

func (m *model) after(d time.Duration, run func()) { heap.Push(&m.events, event{m.now + d, run}) }

// openAt returns when the node may next send to the endpoint.
func (m *model) openAt(n *modelNode, i int) time.Duration {
	g := &n.guards[i]
	used := n.demand.Utilization(m.now, len(m.nodes), len(m.endpoints)*modelSlots, modelWorkTime)
	switch {
	case m.careless:
		return m.now
	case !g.Paced(m.now, used):
		return max(m.now, g.HeldUntil())
	}
	rate := brittle.Rate(modelSlots, modelWorkTime) * g.Share(m.now)
	slots := pace.Slots{Rank: n.ranks[i], Nodes: len(m.nodes), PerSecond: rate, Length: brittle.SlotLength(modelSlots, rate)}
	return max(m.now+slots.Until(time.Unix(0, int64(m.now)), m.now, n.lastSent[i]), g.HeldUntil())
}

// place queues a request at a node.
func (m *model) place(n *modelNode, deadline time.Duration) {
	n.waiting = append(n.waiting, deadline)
	m.dispatch(n)
}

// dispatch sends the waiting requests of a node to open endpoints, in order.
func (m *model) dispatch(n *modelNode) {
	for len(n.waiting) > 0 {
		deadline := n.waiting[0]
		i, next := m.pick(n)
		switch {
		case m.now >= deadline:
			n.waiting = n.waiting[1:]
			m.refused++
		case i >= 0:
			n.waiting = n.waiting[1:]
			m.send(n, i, deadline)
		default:
			if !n.scheduled {
				n.scheduled = true
				m.after(max(min(next, deadline)-m.now, time.Millisecond), func() { n.scheduled = false; m.dispatch(n) })
			}
			return
		}
	}
}

// pick returns a random open endpoint. If there is none, it returns -1 and when the next one opens.
func (m *model) pick(n *modelNode) (endpoint int, next time.Duration) {
	var open []int
	next = m.now + time.Second
	for i, e := range m.endpoints {
		if m.now < e.downUntil {
			continue
		}
		if at := m.openAt(n, i); at <= m.now {
			open = append(open, i)
		} else {
			next = min(next, at)
		}
	}
	if len(open) == 0 {
		return -1, next
	}
	return open[m.random.IntN(len(open))], next
}

func (m *model) send(n *modelNode, i int, deadline time.Duration) {
	n.lastSent[i] = m.now
	e := m.endpoints[i]
	m.after(modelDelay, func() {
		switch {
		case m.now < e.downUntil:
			m.refused++
		case e.load < modelSlots+m.queued:
			e.load++
			wait := time.Duration(max(e.load-modelSlots, 0)) * modelWorkTime / modelSlots
			m.after(wait+modelWorkTime, func() { e.load = max(e.load-1, 0); m.served++ })
		default:
			m.turnAway(n, i, deadline)
		}
	})
}

// turnAway tells all nodes of a rejection, and may make the endpoint fall over.
func (m *model) turnAway(n *modelNode, i int, deadline time.Duration) {
	e := m.endpoints[i]
	recent := e.turnedAway[:0]
	for _, at := range e.turnedAway {
		if m.now-at < time.Second {
			recent = append(recent, at)
		}
	}
	e.turnedAway = append(recent, m.now)
	if float64(len(e.turnedAway)) > m.perSecond && m.now >= m.brittleFrom {
		m.falls++
		e.turnedAway, e.downUntil, e.load = nil, m.now+modelFallTime, 0
		m.refused++
		return
	}
	if m.careless {
		m.refused++
		return
	}
	for _, other := range m.nodes {
		told := modelDelay
		if other != n {
			told += modelDelay + time.Duration(m.random.Int64N(int64(modelRound)))
		}
		m.after(told, func() { other.guards[i].Rejected(m.now, 1, m.perSecond, m.random.Float64()) })
	}
	m.after(modelDelay+time.Microsecond, func() { m.place(n, deadline) })
}

// play sends requests at a multiple of the endpoints' capacity for the given time.
func (m *model) play(load float64, length time.Duration) {
	capacity := float64(len(m.endpoints)*modelSlots) / modelWorkTime.Seconds()
	end := m.now + length
	m.brittleFrom = m.now + modelNotice
	var arrive func()
	arrive = func() {
		if m.now >= end {
			return
		}
		n := m.nodes[m.random.IntN(len(m.nodes))]
		n.demand.Record(m.now)
		m.place(n, m.now+modelPatience)
		m.after(time.Duration(m.random.ExpFloat64()/(load*capacity)*float64(time.Second)), arrive)
	}
	m.after(0, arrive)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
}

// Guards against brittle endpoints that fall over because the nodes together send more than they have
// room for. In one period they may fall 2 + a tenth of their number times.
func TestBrittleEndpointsDoNotFall(t *testing.T) {
	const endpoints, length = 8, 10 * time.Second
	for _, nodes := range []int{1, 7, 75, 300} {
		for _, load := range []float64{0.2, 1.2, 3} {
			for _, perSecond := range []float64{2, 5} {
				t.Run(fmt.Sprintf("%d nodes, load %.1f, %.0f per second", nodes, load, perSecond), func(t *testing.T) {
					m := newModel(nodes, endpoints, 2, perSecond, 1)
					m.play(load, length)
					t.Logf("%d falls, %d served, %d refused", m.falls, m.served, m.refused)
					if most := 2 + endpoints/10; m.falls > most {
						t.Errorf("%d falls, want %d at most", m.falls, most)
					}
					if minServed := 0.9 * min(load, 0.4) * endpoints * modelSlots / modelWorkTime.Seconds() * length.Seconds(); float64(m.served) < minServed {
						t.Errorf("%d requests served, want %.0f at least", m.served, minServed)
					}
				})
			}
		}
	}
}

// Guards against a model in which nothing can fall.
func TestBrittleEndpointsFallUnderCarelessNodes(t *testing.T) {
	m := newModel(75, 8, 2, 5, 1)
	m.careless = true
	m.play(1.2, 15*time.Second)
	if m.falls <= 2 {
		t.Errorf("%d falls, want more than 2", m.falls)
	}
}
