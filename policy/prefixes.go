package policy

import "time"

const (
	// maxPrefixes bounds the number of prefixes held.
	maxPrefixes = 16384
	// MaxPrefixHolders is the maximum number of endpoints held for each prefix.
	MaxPrefixHolders = 4
	// prefixTTL is how long a prefix is assumed to stay cached after its last use.
	prefixTTL = 60 * time.Second
)

// prefixHolder is an endpoint that probably has a prefix cached; lastSeen is the time of the last
// evidence of that.
type prefixHolder struct {
	endpoint string
	lastSeen time.Duration
}

// PrefixIndex maps hashes of prompt prefixes to the endpoints that probably have them cached. It
// learns from the requests sent to endpoints and from their cache events. Cache events arrive late
// and with gaps, so every entry is a hint that expires.
type PrefixIndex struct {
	holders map[uint64]*[MaxPrefixHolders]prefixHolder
}

// NewPrefixIndex returns an empty PrefixIndex.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{holders: make(map[uint64]*[MaxPrefixHolders]prefixHolder)}
}

// AddAll records that a request with these prefixes was sent to the endpoint.
func (p *PrefixIndex) AddAll(endpoint string, prefixes []uint64, now time.Duration) {
	for _, h := range prefixes {
		p.Add(endpoint, h, now)
	}
}

// Add records that the endpoint has the prefix cached. If the maximum number of endpoints is held
// already, it replaces the one with the oldest entry.
func (p *PrefixIndex) Add(endpoint string, prefix uint64, now time.Duration) {
	hs, ok := p.holders[prefix]
	if !ok {
		if len(p.holders) >= maxPrefixes {
			p.evict(now)
		}
		hs = new([MaxPrefixHolders]prefixHolder)
		p.holders[prefix] = hs
	}
	oldest := 0
	for i := range hs {
		if hs[i].endpoint == endpoint {
			hs[i].lastSeen = now
			return
		}
		if hs[i].lastSeen < hs[oldest].lastSeen {
			oldest = i
		}
	}
	hs[oldest] = prefixHolder{endpoint: endpoint, lastSeen: now}
}

// AddIfKnown is like Add, but ignores prefixes that are not in the index: engines also report many
// that no request here has contained.
func (p *PrefixIndex) AddIfKnown(endpoint string, prefix uint64, now time.Duration) {
	if _, ok := p.holders[prefix]; ok {
		p.Add(endpoint, prefix, now)
	}
}

// Remove drops the endpoint as a holder of the prefix.
func (p *PrefixIndex) Remove(endpoint string, prefix uint64) {
	hs, ok := p.holders[prefix]
	if !ok {
		return
	}
	for i := range hs {
		if hs[i].endpoint == endpoint {
			hs[i] = prefixHolder{}
		}
	}
}

// RemoveEndpoint drops all entries of the endpoint.
func (p *PrefixIndex) RemoveEndpoint(endpoint string) {
	for h := range p.holders {
		p.Remove(endpoint, h)
	}
}

// Holders returns the endpoints that probably have the longest known prefix of a prompt cached, and
// that prefix as a fraction of all given prefixes. prefixes lists the prefixes of the prompt from
// the shortest to the longest. Unused elements of names are empty.
func (p *PrefixIndex) Holders(prefixes []uint64, now time.Duration) (names [MaxPrefixHolders]string, share float64) {
	for n := len(prefixes); n > 0; n-- {
		hs, ok := p.holders[prefixes[n-1]]
		if !ok {
			continue
		}
		for i := range hs {
			if hs[i].endpoint != "" && now-hs[i].lastSeen < prefixTTL {
				names[i] = hs[i].endpoint
				share = float64(n) / float64(len(prefixes))
			}
		}
		if share > 0 {
			return names, share
		}
	}
	return names, 0
}

// Len returns the number of prefixes held.
func (p *PrefixIndex) Len() int { return len(p.holders) }

// evict frees space for a new prefix: it drops expired entries, and then arbitrary ones while there
// are still too many.
func (p *PrefixIndex) evict(now time.Duration) {
	for h, hs := range p.holders {
		latest := time.Duration(0)
		for i := range hs {
			latest = max(latest, hs[i].lastSeen)
		}
		if now-latest >= prefixTTL {
			delete(p.holders, h)
		}
	}
	for h := range p.holders {
		if len(p.holders) < maxPrefixes {
			return
		}
		delete(p.holders, h)
	}
}
