package node

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/boottime"
)

const (
	// populationMemory is how long nodes that are no longer heard are counted. They may be
	// behind a cut, and go on sending to endpoints.
	populationMemory = 10 * time.Minute
	// populationBuckets divide that time.
	populationBuckets = 10
)

// population is the largest number of nodes, this one included, that was live at a time
// within populationMemory. A node that takes the others for fewer than they are would send
// a cold endpoint more than its part.
type population struct {
	most   [populationBuckets]int
	latest int64
	// known is the count for readers; 0 before another node was heard where there should be
	// others. heard tells whether at least half of them are live.
	known atomic.Int64
	heard atomic.Bool
}

// see records how many nodes are live; one goroutine calls it.
func (p *population) see(now time.Duration, nodes int) {
	const length = populationMemory / populationBuckets
	for bucket := int64(now / length); p.latest < bucket; p.latest++ {
		if bucket-p.latest > populationBuckets {
			p.latest = bucket - populationBuckets
		}
		p.most[(p.latest+1)%populationBuckets] = 0
	}
	at := &p.most[p.latest%populationBuckets]
	*at = max(*at, nodes)
	most := 0
	for _, n := range p.most {
		most = max(most, n)
	}
	p.known.Store(int64(most))
	p.heard.Store(2*nodes >= most)
}

// current returns what is known.
func (p *population) current() fleet.ClusterSize {
	return fleet.ClusterSize{Nodes: int(p.known.Load()), HalfLive: p.heard.Load()}
}

// roster is the nodes that were heard within populationMemory, this one included.
type roster struct {
	heard map[string]time.Duration
	// current is the last list; nil before another node was heard where there should be others.
	current atomic.Pointer[fleet.Roster]
}

// see records which nodes are live; one goroutine calls it.
func (r *roster) see(now time.Duration, live []string) {
	if r.heard == nil {
		r.heard = make(map[string]time.Duration)
	}
	before := len(r.heard)
	for name, at := range r.heard {
		if now-at > populationMemory {
			delete(r.heard, name)
		}
	}
	changed := len(r.heard) != before
	for _, name := range live {
		_, known := r.heard[name]
		changed = changed || !known
		r.heard[name] = now
	}
	if changed {
		r.current.Store(&fleet.Roster{Names: slices.Sorted(maps.Keys(r.heard))})
	}
}

// countNodes takes the live nodes into account. A node that has heard nobody, although its
// settings name others, does not know how many there are.
func (n *Node) countNodes() {
	live := []string{n.settings.IP}
	for _, p := range n.gossip.Live() {
		live = append(live, p.Address)
	}
	nodes := len(live)
	if nodes == 1 && n.population.known.Load() == 0 && n.hasOtherSeeds() {
		return
	}
	n.population.see(boottime.Now(), nodes)
	n.roster.see(boottime.Now(), live)
}

// retryingNodes is how many nodes share the budget for retries. Those that are no longer heard
// may be behind a cut, and retry there.
func (n *Node) retryingNodes() int {
	return max(len(n.gossip.Live())+1, n.population.current().Nodes, len(n.settings.Seeds))
}

func (n *Node) hasOtherSeeds() bool {
	return len(n.settings.Seeds) > 1 || (len(n.settings.Seeds) == 1 && !n.seed())
}
