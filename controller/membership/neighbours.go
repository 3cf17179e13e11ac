package membership

import (
	"hash/fnv"

	"github.com/crocusreel/crocusreel/peer/peerv1"
)

// neighbourCount is the number of members that each member probes in turn. With at most this many
// other members, all of them are neighbours. The fixed number keeps the open connections and their
// memory constant, whatever the number of members.
const neighbourCount = 8

// indirectProbes is the number of members that are asked to probe a target that did not answer.
const indirectProbes = 2

// NextTarget returns the next neighbour to probe, or nil if there is none. The order is shuffled
// after each pass.
func (t *Table) NextTarget() *peerv1.Member {
	t.refreshNeighbours()
	if len(t.neighbours) == 0 {
		return nil
	}
	if t.nextNeighbour >= len(t.neighbours) {
		t.nextNeighbour = 0
		t.rand.Shuffle(len(t.neighbours), func(i, j int) {
			t.neighbours[i], t.neighbours[j] = t.neighbours[j], t.neighbours[i]
		})
	}
	id := t.neighbours[t.nextNeighbour]
	t.nextNeighbour++
	return t.entries[id].member
}

// Neighbours returns the members that this member probes in turn.
func (t *Table) Neighbours() []*peerv1.Member {
	t.refreshNeighbours()
	out := make([]*peerv1.Member, len(t.neighbours))
	for i, id := range t.neighbours {
		out[i] = t.entries[id].member
	}
	return out
}

// IndirectProbers returns members that can probe the target on behalf of this one. They are chosen
// from the neighbours that are not suspect, to which connections are already open.
func (t *Table) IndirectProbers(target string) []*peerv1.Member {
	t.refreshNeighbours()
	var probers []*peerv1.Member
	for _, i := range t.rand.Perm(len(t.neighbours)) {
		e := t.entries[t.neighbours[i]]
		if e.member.Id != target && e.suspectUntil.IsZero() && len(probers) < indirectProbes {
			probers = append(probers, e.member)
		}
	}
	return probers
}

// RandomLive returns a random member other than self that is not dead, or nil.
func (t *Table) RandomLive() *peerv1.Member {
	return t.random(func(e *entry) bool { return !isDead(e.member) })
}

// RandomDead returns a random dead member, or nil. Occasional probes of dead members let the two
// sides of a network partition find each other after it has healed.
func (t *Table) RandomDead() *peerv1.Member {
	return t.random(func(e *entry) bool { return isDead(e.member) })
}

// random returns a member that matches, each with equal probability (reservoir sampling), or nil.
func (t *Table) random(matches func(*entry) bool) *peerv1.Member {
	var chosen *peerv1.Member
	seen := 0
	for _, e := range t.entries {
		if !matches(e) {
			continue
		}
		seen++
		if t.rand.IntN(seen) == 0 {
			chosen = e.member
		}
	}
	return chosen
}

// refreshNeighbours chooses the neighbours again if members joined or left. The members are placed
// on as many rings as there are neighbours, each in a different order, and the neighbours are the
// successors of this member on the rings. Such a graph is connected with overwhelming probability
// and has a diameter logarithmic in the number of members.
func (t *Table) refreshNeighbours() {
	if !t.neighboursStale {
		return
	}
	t.neighboursStale = false
	t.neighbours = t.neighbours[:0]
	live := make([]string, 0, len(t.entries))
	for id, e := range t.entries {
		if !isDead(e.member) {
			live = append(live, id)
		}
	}
	if len(live) <= neighbourCount {
		t.neighbours = append(t.neighbours, live...)
		return
	}
	chosen := make(map[string]bool, neighbourCount)
	for ring := range neighbourCount {
		id := successor(ring, t.self.Id, live, chosen)
		chosen[id] = true
		t.neighbours = append(t.neighbours, id)
	}
}

// successor returns the next live member on the ring that is not chosen yet.
func successor(ring int, self string, live []string, chosen map[string]bool) string {
	start := ringPosition(ring, self)
	best, bestDistance := "", uint64(0)
	for _, id := range live {
		if chosen[id] {
			continue
		}
		// Unsigned subtraction wraps around like the ring.
		distance := ringPosition(ring, id) - start
		if best == "" || distance < bestDistance {
			best, bestDistance = id, distance
		}
	}
	return best
}

// ringPosition returns the position of a member on a ring.
func ringPosition(ring int, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte{byte(ring)})
	h.Write([]byte(id))
	return fmix64(h.Sum64())
}

// fmix64 is the 64-bit finaliser of MurmurHash3. It spreads the bits of an FNV hash, whose high
// bits are similar for similar inputs.
func fmix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// HighestRanked returns the highest-ranked of the members for a task by rendezvous hashing: all
// callers that see the same members agree on the result. It is empty without members.
func HighestRanked(task string, ids []string) string {
	best, bestScore := "", uint64(0)
	for _, id := range ids {
		h := fnv.New64a()
		h.Write([]byte(task))
		h.Write([]byte{0})
		h.Write([]byte(id))
		if score := fmix64(h.Sum64()); best == "" || score > bestScore || (score == bestScore && id < best) {
			best, bestScore = id, score
		}
	}
	return best
}
