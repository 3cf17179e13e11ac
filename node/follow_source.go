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

// follower holds the reader that this node follows and the readers that failed it.
type follower struct {
	mu            sync.Mutex
	excludedUntil map[string]time.Duration
	// useStoreUntil is the time until which the store is polled although a reader is available.
	useStoreUntil time.Duration
	// reader is the address of the last reader, for the log.
	reader string
}

func (f *follower) useStore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.useStoreUntil = boottime.Now() + directStorePeriod
}

func (f *follower) usesStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return boottime.Now() < f.useStoreUntil
}

func (f *follower) exclude(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.excludedUntil == nil {
		f.excludedUntil = make(map[string]time.Duration)
	}
	f.excludedUntil[address] = boottime.Now() + readerExclusion
}

func (f *follower) excludes(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return boottime.Now() < f.excludedUntil[address]
}

// setReader records the reader that this node follows, empty for the store, and reports whether it
// has changed.
func (f *follower) setReader(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.reader != address
	f.reader = address
	return changed
}

// storeLink returns the state of this node's own access to the store, which it announces to the
// others.
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

// reader returns the node to follow. It returns false if there is none: this node then polls the
// store itself, unless it is starting and waits for others.
func (n *Node) reader() (reader gossip.Peer, ok bool) {
	live := n.gossip.Live()
	hasStore := n.storeLink() != exchangev1.StoreLink_STORE_LINK_LOST
	if n.incomplete() {
		return reader, false
	}
	if !hasStore {
		if p, found := n.firstFollowable(live, hasStore, n.sameDataCentre); found {
			return p, true
		}
		return n.anyReader(live)
	}
	if p, found := n.parent(live); found {
		return p, true
	}
	if n.follower.usesStore() {
		return reader, false
	}
	return n.firstFollowable(live, hasStore, func(gossip.Peer) bool { return true })
}

// firstFollowable returns the node with the lowest address among those that match and may be
// followed; it returns false if that is this node. hasStore reports whether this node has access to
// the store.
func (n *Node) firstFollowable(live []gossip.Peer, hasStore bool, matches func(gossip.Peer) bool) (gossip.Peer, bool) {
	for _, p := range live {
		if hasStore && n.settings.IP < p.Address {
			break
		}
		if matches(p) && n.followable(p) {
			return p, true
		}
	}
	return gossip.Peer{}, false
}

// sameDataCentre reports whether the node is in this data centre.
func (n *Node) sameDataCentre(p gossip.Peer) bool { return p.DataCentre == n.settings.DataCentre }

// maxChildren is the number of nodes of a data centre that follow the same one. If all followed the
// first, the first of fifty would send fifty times what each of them receives.
const maxChildren = 4

// parent returns the node of this data centre that this one follows. The nodes form a tree: four
// nodes follow the first, four more follow each of these, and so on. A parent has a lower address
// than its children, so no two nodes follow each other. The children of a node that does not answer
// skip it. The first node has no parent.
func (n *Node) parent(live []gossip.Peer) (gossip.Peer, bool) {
	var before []gossip.Peer
	for _, p := range live {
		if p.Address < n.settings.IP && n.sameDataCentre(p) && n.followable(p) {
			before = append(before, p)
		}
	}
	if len(before) == 0 {
		return gossip.Peer{}, false
	}
	return before[(len(before)-1)/maxChildren], true
}

// followable reports whether a node may be followed.
func (n *Node) followable(p gossip.Peer) bool {
	return !p.Leaving && p.Store != exchangev1.StoreLink_STORE_LINK_LOST && !n.follower.excludes(p.Address)
}

// anyReader returns a node that reads the store. The choice depends on this node's address, so that
// not all nodes choose the same one.
func (n *Node) anyReader(live []gossip.Peer) (gossip.Peer, bool) {
	var readers []gossip.Peer
	for _, p := range live {
		if p.Store == exchangev1.StoreLink_STORE_LINK_READS && !p.Leaving && !n.follower.excludes(p.Address) {
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

// othersReadStore reports whether the store answers another node.
func (n *Node) othersReadStore() bool {
	for _, p := range n.gossip.Live() {
		if p.Store == exchangev1.StoreLink_STORE_LINK_READS {
			return true
		}
	}
	return false
}

// shouldPollStore reports whether a feed must poll the store.
func (n *Node) shouldPollStore(f *feed) bool {
	if n.fleet.Disabled[fleet.OneReader] {
		return true
	}
	_, followsReader := n.reader()
	return (!followsReader && !n.starter.waitsForPeers()) || f.retryDue()
}
