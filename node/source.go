package node

import (
	"hash/fnv"
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/gossip"
	"github.com/crocusreel/crocusreel/internal/boottime"
)

// follower remembers readers that failed this node.
type follower struct {
	mu      sync.Mutex
	shunned map[string]time.Duration
	// directUntil is until when the store is asked although there is a reader.
	directUntil time.Duration
	// reader is the address of the last one, for the log.
	reader string
}

func (f *follower) goDirect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directUntil = boottime.Now() + directFor
}

func (f *follower) direct() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return boottime.Now() < f.directUntil
}

func (f *follower) shun(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shunned == nil {
		f.shunned = make(map[string]time.Duration)
	}
	f.shunned[address] = boottime.Now() + shunFor
}

func (f *follower) shuns(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return boottime.Now() < f.shunned[address]
}

// follows records whom this node follows, empty for the store, and returns whether that
// has changed.
func (f *follower) follows(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.reader != address
	f.reader = address
	return changed
}

// storeLink is this node's own way to the store, for the others.
func (n *Node) storeLink() exchangev1.StoreLink {
	config, endpoints := n.configFeed.link(), n.endpointFeed.link()
	lost := exchangev1.StoreLink_STORE_LINK_LOST
	switch {
	case config == lost || endpoints == lost:
		return lost
	case config == endpoints:
		return config
	default:
		return exchangev1.StoreLink_STORE_LINK_UNSPECIFIED
	}
}

// reader returns the node to follow; ok is false if this node follows the store itself.
func (n *Node) reader() (reader gossip.Peer, ok bool) {
	live := n.gossip.Live()
	own := n.storeLink() != exchangev1.StoreLink_STORE_LINK_LOST
	if n.starts() {
		return reader, false
	}
	if !own {
		if p, found := n.first(live, own, n.near); found {
			return p, true
		}
		return n.anyReader(live)
	}
	if p, found := n.parent(live); found {
		return p, true
	}
	if n.follower.direct() {
		return reader, false
	}
	return n.first(live, own, func(gossip.Peer) bool { return true })
}

// first returns the node with the lowest address of those that fit and have not lost the
// store, if that is not this one. Own tells whether this one has the store.
func (n *Node) first(live []gossip.Peer, own bool, fits func(gossip.Peer) bool) (gossip.Peer, bool) {
	for _, p := range live {
		if own && n.settings.IP < p.Address {
			break
		}
		if fits(p) && n.followable(p) {
			return p, true
		}
	}
	return gossip.Peer{}, false
}

// near tells whether the node is of this data centre.
func (n *Node) near(p gossip.Peer) bool { return p.DataCentre == n.settings.DataCentre }

// followers is the number of nodes of a data centre that follow the same one. With more,
// the first of fifty would send fifty times what each of them gets.
const followers = 4

// parent returns the node of its data centre that this one follows, in a tree: the first is
// followed by the next four, each of those by four more. Whoever is followed has a lower
// address, so that none waits for one that waits for it. A node that does not answer is left
// out by those who followed it. There is no parent for the first.
func (n *Node) parent(live []gossip.Peer) (gossip.Peer, bool) {
	var before []gossip.Peer
	for _, p := range live {
		if p.Address < n.settings.IP && n.near(p) && n.followable(p) {
			before = append(before, p)
		}
	}
	if len(before) == 0 {
		return gossip.Peer{}, false
	}
	return before[(len(before)-1)/followers], true
}

// followable tells whether a node may be followed.
func (n *Node) followable(p gossip.Peer) bool {
	return !p.Leaving && p.Store != exchangev1.StoreLink_STORE_LINK_LOST && !n.follower.shuns(p.Address)
}

// anyReader returns a node that reads the store. Nodes choose by their own address, so that
// not all go to the same one.
func (n *Node) anyReader(live []gossip.Peer) (gossip.Peer, bool) {
	var readers []gossip.Peer
	for _, p := range live {
		if p.Store == exchangev1.StoreLink_STORE_LINK_READS && !p.Leaving && !n.follower.shuns(p.Address) {
			readers = append(readers, p)
		}
	}
	if len(readers) == 0 {
		return gossip.Peer{}, false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.settings.IP))
	return readers[int(h.Sum32()%uint32(len(readers)))], true
}

// othersRead tells whether the store answers another node.
func (n *Node) othersRead() bool {
	for _, p := range n.gossip.Live() {
		if p.Store == exchangev1.StoreLink_STORE_LINK_READS {
			return true
		}
	}
	return false
}

// asksStore returns whether a feed is to ask the store.
func (n *Node) asksStore(f *feed) bool {
	if n.fleet.Disabled[fleet.OneReader] {
		return true
	}
	_, follows := n.reader()
	return (!follows && !n.starter.waits()) || f.retryDue()
}
