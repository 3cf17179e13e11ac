package fairshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// In the model, 24 workspaces send 48 long requests per second together, and the engines serve 52.
// Work counts as served if it starts within modelTarget of its first arrival.
const (
	modelWorkspaces = 24
	modelRate       = 2.0
	modelCapacity   = 52.0
	modelTokens     = 3750.0
	modelStep       = 20 * time.Millisecond
	modelTarget     = 1500 * time.Millisecond
	modelMaxWait    = 4 * time.Second
	modelFloodFrom  = 4 * time.Second
	modelFloodUntil = 14 * time.Second
	modelEnd        = 16 * time.Second
	modelQueue      = 256
)

type modelItem struct {
	workspace Key
	// first is the time of the first arrival, and since that of the latest.
	first, since time.Duration
}

func (i *modelItem) Workspace() Key  { return i.workspace }
func (i *modelItem) Tokens() float64 { return modelTokens }

type modelNode struct {
	ledger     *Ledger
	activation Activation
	waiting    []*modelItem
	reportAt   time.Duration
	dead       bool
}

// scenario is a load and the failures that occur during it.
type scenario struct {
	name string
	// rate returns the requests per second of a workspace during the flood, and modelRate before it.
	rate func(Key) float64
	// retry is the time after which refused work is sent again, 0 for never.
	retry                            time.Duration
	dies, lossy, partition, restarts bool
}

// model simulates the nodes of a fleet that compete for the same engines.
type model struct {
	scenario
	shares       bool
	nodes        []*modelNode
	random       *rand.Rand
	now          time.Duration
	credit       float64
	sent, served map[Key]float64
	// due holds the requests of each workspace that are to be sent. Arrivals are evenly spaced, so
	// that a workspace that sends less than its share does so in every interval.
	due   map[Key]float64
	again []*modelItem
}

func newModel(s scenario, nodes int, shares bool) *model {
	m := &model{scenario: s, shares: shares, random: rand.New(rand.NewPCG(1, 2)), due: map[Key]float64{}, sent: map[Key]float64{}, served: map[Key]float64{}}
	for range nodes {
		m.nodes = append(m.nodes, &modelNode{ledger: NewLedger()})
	}
	for w := range Key(modelWorkspaces) {
		m.due[w+1] = m.random.Float64()
	}
	return m
}

func (m *model) flooding() bool { return m.now >= modelFloodFrom && m.now < modelFloodUntil }

// run returns the fraction of its entitlement that the workspace lost which lost the most among
// those that stayed within the equal share, during the flood.
func (m *model) run() (worst float64) {
	for ; m.now < modelEnd; m.now += modelStep {
		m.arrive()
		m.expire()
		m.report()
		m.serve()
	}
	equal := modelCapacity / modelWorkspaces
	for w := range Key(modelWorkspaces) {
		rate := m.rate(w + 1)
		entitled := min(m.sent[w+1], equal*(modelFloodUntil-modelFloodFrom).Seconds())
		if rate <= equal || m.allOver(equal) {
			worst = max(worst, 1-m.served[w+1]/entitled)
		}
	}
	return worst
}

func (m *model) allOver(equal float64) bool {
	for w := range Key(modelWorkspaces) {
		if m.rate(w+1) <= equal {
			return false
		}
	}
	return true
}

func (m *model) arrive() {
	for w := Key(1); w <= modelWorkspaces; w++ {
		rate := min(modelRate, m.rate(w))
		if m.flooding() {
			rate = m.rate(w)
		}
		for m.due[w] += rate * modelStep.Seconds(); m.due[w] >= 1; m.due[w]-- {
			m.enqueue(&modelItem{workspace: w, first: m.now, since: m.now}, true)
		}
	}
	again := m.again
	m.again = nil
	for _, i := range again {
		if i.since > m.now {
			m.again = append(m.again, i)
			continue
		}
		m.enqueue(i, false)
	}
}

func (m *model) enqueue(i *modelItem, first bool) {
	if first && m.flooding() {
		m.sent[i.workspace]++
	}
	n := m.nodes[m.random.IntN(len(m.nodes))]
	for n.dead {
		n = m.nodes[m.random.IntN(len(m.nodes))]
	}
	if len(n.waiting) >= modelQueue {
		m.refuse(i)
		return
	}
	n.waiting = append(n.waiting, i)
}

func (m *model) refuse(i *modelItem) {
	if m.retry > 0 {
		m.again = append(m.again, &modelItem{workspace: i.workspace, first: i.first, since: m.now + m.retry})
	}
}

func (m *model) expire() {
	for _, n := range m.nodes {
		kept := n.waiting[:0]
		for _, i := range n.waiting {
			if m.now-i.since < modelMaxWait {
				kept = append(kept, i)
			} else {
				m.refuse(i)
			}
		}
		n.waiting = kept
	}
	middle := (modelFloodFrom + modelFloodUntil) / 2
	if m.dies && m.now == middle {
		m.nodes[0].dead, m.nodes[0].waiting = true, nil
	}
	if m.restarts && m.now%(2*time.Second) == 0 {
		m.nodes[int(m.now/(2*time.Second))%len(m.nodes)].ledger = NewLedger()
	}
}

func (m *model) report() {
	for i, n := range m.nodes {
		if n.dead || m.now < n.reportAt {
			continue
		}
		n.reportAt = m.now + 150*time.Millisecond + time.Duration(m.random.Int64N(int64(1250*time.Millisecond)))
		own := n.ledger.Own(m.now)
		for j, other := range m.nodes {
			separated := m.partition && m.now > 6*time.Second && m.now < 11*time.Second && i%2 != j%2
			if i == j || separated || (m.lossy && m.random.IntN(10) == 0) {
				continue
			}
			other.ledger.SetRemote(m.now, fmt.Sprint(i), own)
		}
		n.ledger.Prune(m.now)
	}
	if m.now%(100*time.Millisecond) != 0 {
		return
	}
	heads := m.waitingWorkspaces()
	for _, n := range m.nodes {
		n.activation.Update(m.now, n.ledger.Workspaces(m.now, service), heads)
	}
}

func (m *model) waitingWorkspaces() map[Key]bool {
	waiting := map[Key]bool{}
	for _, n := range m.nodes {
		for _, i := range n.waiting {
			waiting[i.workspace] = true
		}
	}
	return waiting
}

// serve grants the capacity of a step to the heads of the queues, in the order in which turns between nodes do.
func (m *model) serve() {
	for m.credit = min(m.credit+modelCapacity*modelStep.Seconds(), 5); m.credit >= 1; m.credit-- {
		best, item := m.first()
		if best == nil {
			return
		}
		for i, o := range best.waiting {
			if o == item {
				best.waiting = append(best.waiting[:i], best.waiting[i+1:]...)
				break
			}
		}
		best.ledger.Charge(m.now, service, item.workspace, modelTokens)
		if item.first >= modelFloodFrom && item.first < modelFloodUntil && m.now-item.first <= modelTarget {
			m.served[item.workspace]++
		}
	}
}

func (m *model) first() (best *modelNode, item *modelItem) {
	received, bestLate := 0.0, false
	for _, n := range m.nodes {
		if len(n.waiting) == 0 {
			continue
		}
		waiting, late := m.inTimeOnly(n.waiting)
		head, headReceived := waiting[0], 0.0
		if m.shares && n.activation.Active {
			of := func(w Key) float64 { return n.ledger.Received(m.now, service, w) }
			head = Order(waiting, 1, of)[0]
			headReceived = of(head.workspace)
		}
		less, more := headReceived < received-modelTokens, headReceived > received+modelTokens
		if best == nil || (bestLate && !late) || (bestLate == late && (less || (!more && head.since < item.since))) {
			best, item, received, bestLate = n, head, headReceived, late
		}
	}
	return best, item
}

// inTimeOnly returns the work of a queue that can still be in time or, if there is none, all work, which is late.
func (m *model) inTimeOnly(waiting []*modelItem) (eligible []*modelItem, late bool) {
	for _, item := range waiting {
		if m.now-item.first <= modelTarget {
			eligible = append(eligible, item)
		}
	}
	if len(eligible) == 0 {
		return waiting, true
	}
	return eligible, false
}

func oneFloods(w Key) float64 {
	if w == 1 {
		return 10 * modelRate
	}
	return modelRate
}

func fewAreLarge(w Key) float64 {
	if w <= 3 {
		return 10 * modelRate
	}
	return modelRate / 2
}

func allFlood(Key) float64 { return 10 * modelRate }

// Guards against workspaces that stay within their share losing capacity to others that flood, under loads and failures of the fleet.
func TestWorkspacesWithinTheirShareKeepIt(t *testing.T) {
	const goal = 0.02
	scenarios := []scenario{
		{name: "one of 24 sends tenfold", rate: oneFloods},
		{name: "few large beside many small", rate: fewAreLarge},
		{name: "immediate and frequent retries", rate: oneFloods, retry: 50 * time.Millisecond},
		{name: "a node dies", rate: oneFloods, dies: true},
		{name: "one in ten reports lost", rate: oneFloods, lossy: true},
		{name: "a partition heals", rate: oneFloods, partition: true},
		{name: "counters run backwards", rate: oneFloods, restarts: true},
	}
	for _, nodes := range []int{7, 75, 300} {
		for _, s := range scenarios {
			if nodes == 300 && (s.dies || s.lossy || s.restarts) {
				continue // One of 300 nodes matters less than one of 75.
			}
			t.Run(fmt.Sprintf("%s, %d nodes", s.name, nodes), func(t *testing.T) {
				g := gomega.NewWithT(t)
				without, with := newModel(s, nodes, false).run(), newModel(s, nodes, true).run()
				t.Logf("lost of the entitlement by the workspace within its share that lost most: %.3f without shares, %.3f with", without, with)
				g.Expect(with).To(gomega.BeNumerically("<", goal))
			})
		}
	}
}

// Guards against shares that take capacity from some workspaces when all flood alike.
func TestAllFloodAlike(t *testing.T) {
	for _, nodes := range []int{7, 75, 300} {
		s := scenario{rate: allFlood}
		without, with := newModel(s, nodes, false).run(), newModel(s, nodes, true).run()
		t.Logf("%d nodes: worst workspace lost %.3f of the equal share without shares, %.3f with", nodes, without, with)
		gomega.NewWithT(t).Expect(with).To(gomega.BeNumerically("<=", without+0.02))
	}
}
