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
	// populationMemory is how long nodes are counted after their last datagram. They may be on the
	// other side of a partition and still send requests to endpoints.
	populationMemory = 10 * time.Minute
	// populationBuckets is the number of buckets that populationMemory is divided into.
	populationBuckets = 10
)

// population tracks the largest number of nodes, including this one, that were live at the same
// time within populationMemory. A node that underestimated the number of nodes would send a cold
// endpoint more than its share.
type population struct {
	most   [populationBuckets]int
	latest int64
	// known is the largest number; it is 0 until another node was heard from if the settings name
	// others. heard is set if at least half of that number are live. Both are read by other
	// goroutines.
	known atomic.Int64
	heard atomic.Bool
}

// see records the number of live nodes. It must be called from one goroutine only.
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

// current returns the tracked number of nodes. It may be called from any goroutine.
func (p *population) current() fleet.Population {
	return fleet.Population{Nodes: int(p.known.Load()), Heard: p.heard.Load()}
}

// roster tracks the nodes heard from within populationMemory, including this one.
type roster struct {
	heard map[string]time.Duration
	// current is the latest list; it is nil until another node was heard from if the settings name
	// others.
	current atomic.Pointer[fleet.Roster]
}

// see records which nodes are live. It must be called from one goroutine only.
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

// countNodes records the live nodes. A node that has heard from no other, although its settings
// name some, does not know how many there are.
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

// retryingNodes returns the number of nodes that share the retry budget. It includes nodes that are
// no longer live: they may be on the other side of a partition and retry there.
func (n *Node) retryingNodes() int {
	return max(len(n.gossip.Live())+1, n.population.current().Nodes, len(n.settings.Seeds))
}

func (n *Node) hasOtherSeeds() bool {
	return len(n.settings.Seeds) > 1 || (len(n.settings.Seeds) == 1 && !n.seed())
}
