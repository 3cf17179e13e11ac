package scheduler

import (
	"hash/fnv"
	"slices"
	"sort"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/peer/peerv1"
)

// poolSpec is one pool of the configuration: engines of one region that are connected through the
// models they share. One scheduler has to count all requests of an engine, so models that share an
// engine share a scheduler.
type poolSpec struct {
	// key is the lexicographically smallest name of the pool's models.
	key     string
	models  []string
	engines []config.EndpointSpec
}

// poolsOf returns the pools of a region, by key.
func poolsOf(cfg *config.Config, region string) map[string]*poolSpec {
	parent := make(map[string]string)
	var find func(string) string
	find = func(m string) string {
		if l, ok := parent[m]; ok && l != m {
			return find(l)
		}
		return m
	}
	union := func(a, b string) {
		a, b = find(a), find(b)
		parent[max(a, b)] = min(a, b)
	}
	for _, m := range cfg.Models {
		parent[m.Name] = m.Name
	}
	engines := enginesOf(cfg, region)
	for _, e := range engines {
		for _, m := range e.Models {
			union(e.Models[0], m)
		}
	}
	pools := make(map[string]*poolSpec)
	for _, m := range cfg.Models {
		key := find(m.Name)
		p, ok := pools[key]
		if !ok {
			p = &poolSpec{key: key}
			pools[key] = p
		}
		p.models = append(p.models, m.Name)
	}
	for _, e := range engines {
		if p, ok := pools[find(e.Models[0])]; ok {
			p.engines = append(p.engines, e)
		}
	}
	return pools
}

// enginesOf returns the engines of a region that serve at least one model. An endpoint without a
// region belongs to every region.
func enginesOf(cfg *config.Config, region string) []config.EndpointSpec {
	var engines []config.EndpointSpec
	for _, e := range cfg.Endpoints {
		inRegion := e.Region == region || e.Region == ""
		if inRegion && e.Kind == config.KindEngine && len(e.Models) > 0 {
			engines = append(engines, e)
		}
	}
	return engines
}

// gatewaysOf returns the gateways of a region that may be schedulers, sorted by VM ID. A leaving
// gateway is left out: its pools have to move before it stops.
func gatewaysOf(members []*peerv1.Member, region string) []*peerv1.Member {
	var gateways []*peerv1.Member
	for _, m := range members {
		alive := m.GetState() == peerv1.MemberState_MEMBER_STATE_ALIVE
		if alive && m.GetRegion() == region && m.GetGatewayAddress() != "" {
			gateways = append(gateways, m)
		}
	}
	sort.Slice(gateways, func(i, j int) bool { return gateways[i].GetId() < gateways[j].GetId() })
	return gateways
}

// schedulerOf returns the scheduler of a pool, which it chooses by rendezvous hashing, or nil if
// there is no gateway. When a gateway is lost, only its own pools move.
func schedulerOf(gateways []*peerv1.Member, key string) *peerv1.Member {
	if len(gateways) == 0 {
		return nil
	}
	return slices.MaxFunc(gateways, func(a, b *peerv1.Member) int {
		x, y := rendezvousWeight(a.GetId(), key), rendezvousWeight(b.GetId(), key)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
}

func rendezvousWeight(id, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	// Finalizer of MurmurHash3: FNV alone leaves the high bits of similar names alike.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
