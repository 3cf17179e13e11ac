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
	// populationWindow is how long nodes are counted after their last datagram. They may be on the
	// other side of a partition and still send requests to endpoints.
	populationWindow = 10 * time.Minute
	// populationBuckets is the number of buckets that populationWindow is divided into.
	populationBuckets = 10
)

// population tracks the largest number of nodes, including this one, that were live at the same
// time within populationWindow. A node that underestimated the number of nodes would send a cold
// endpoint more than its share.
type population struct {
	bucketMax    [populationBuckets]int
	latestBucket int64
	// maxNodes is that largest number. If the settings name other nodes, it is 0 until another node
	// has been live. halfLive is set if at least half of that number are live. Both are read by
	// other goroutines.
	maxNodes atomic.Int64
	halfLive atomic.Bool
}

// record records the number of live nodes. It must be called from one goroutine only.
func (p *population) record(now time.Duration, nodes int) {
	const bucketLength = populationWindow / populationBuckets
	for bucket := int64(now / bucketLength); p.latestBucket < bucket; p.latestBucket++ {
		if bucket-p.latestBucket > populationBuckets {
			p.latestBucket = bucket - populationBuckets
		}
		p.bucketMax[(p.latestBucket+1)%populationBuckets] = 0
	}
	maximum := &p.bucketMax[p.latestBucket%populationBuckets]
	*maximum = max(*maximum, nodes)
	most := 0
	for _, n := range p.bucketMax {
		most = max(most, n)
	}
	p.maxNodes.Store(int64(most))
	p.halfLive.Store(2*nodes >= most)
}

// current returns the tracked number of nodes. It may be called from any goroutine.
func (p *population) current() fleet.ClusterSize {
	return fleet.ClusterSize{Nodes: int(p.maxNodes.Load()), HalfLive: p.halfLive.Load()}
}

// roster tracks the nodes that were live within populationWindow, including this one.
type roster struct {
	lastLive map[string]time.Duration
	// current is the latest list. If the settings name other nodes, it is nil until another node
	// has been live.
	current atomic.Pointer[fleet.Roster]
}

// record records which nodes are live. It must be called from one goroutine only.
func (r *roster) record(now time.Duration, live []string) {
	if r.lastLive == nil {
		r.lastLive = make(map[string]time.Duration)
	}
	before := len(r.lastLive)
	for name, at := range r.lastLive {
		if now-at > populationWindow {
			delete(r.lastLive, name)
		}
	}
	changed := len(r.lastLive) != before
	for _, name := range live {
		_, known := r.lastLive[name]
		changed = changed || !known
		r.lastLive[name] = now
	}
	if changed {
		r.current.Store(&fleet.Roster{Names: slices.Sorted(maps.Keys(r.lastLive))})
	}
}

// recordLiveNodes records the live nodes. It records nothing on a node whose settings name others
// but that has not received a datagram from any: the number of nodes is not known there.
func (n *Node) recordLiveNodes() {
	live := []string{n.settings.IP}
	for _, p := range n.gossip.Live() {
		live = append(live, p.Address)
	}
	nodes := len(live)
	if nodes == 1 && n.population.maxNodes.Load() == 0 && n.hasOtherSeeds() {
		return
	}
	n.population.record(boottime.Now(), nodes)
	n.roster.record(boottime.Now(), live)
}

func (n *Node) hasOtherSeeds() bool {
	return len(n.settings.Seeds) > 1 || (len(n.settings.Seeds) == 1 && !n.isSeed())
}
