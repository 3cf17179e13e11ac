package node

import (
	"sync/atomic"
	"time"

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
	most    [populationBuckets]int
	current int64
	// known is the count for readers; 0 before another node was heard where there should be
	// others.
	known atomic.Int64
}

// see records how many nodes are live; one goroutine calls it.
func (p *population) see(now time.Duration, nodes int) {
	const length = populationMemory / populationBuckets
	for bucket := int64(now / length); p.current < bucket; p.current++ {
		if bucket-p.current > populationBuckets {
			p.current = bucket - populationBuckets
		}
		p.most[(p.current+1)%populationBuckets] = 0
	}
	at := &p.most[p.current%populationBuckets]
	*at = max(*at, nodes)
	most := 0
	for _, n := range p.most {
		most = max(most, n)
	}
	p.known.Store(int64(most))
}

// count returns the number of nodes; 0 if it is not known.
func (p *population) count() int { return int(p.known.Load()) }

// countNodes takes the live nodes into account. A node that has heard nobody, although its
// settings name others, does not know how many there are.
func (n *Node) countNodes() {
	nodes := len(n.gossip.Live()) + 1
	if nodes == 1 && n.population.count() == 0 && n.hasOtherSeeds() {
		return
	}
	n.population.see(boottime.Now(), nodes)
}

func (n *Node) hasOtherSeeds() bool {
	return len(n.settings.Seeds) > 1 || (len(n.settings.Seeds) == 1 && !n.seed())
}
