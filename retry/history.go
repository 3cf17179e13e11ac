package retry

import (
	"math"
	"slices"
	"time"
)

// A count in the ledger only grows within an era of the store. That it had reached a value at some
// time is therefore a fact that stays true: facts may be told late, repeatedly or out of order. They
// are told with their age, which only grows on the way, so no two clocks are compared.

// fact states that the count of a service in the ledger had reached a value at a time.
type fact struct {
	count int64
	at    time.Duration
}

// countHistory holds what is known of the count of a service. Its facts are ordered by time, with
// increasing counts.
type countHistory struct{ facts []fact }

// add adds a fact. It reports whether it is the highest count so far.
func (h *countHistory) add(f fact) bool {
	if f.count <= 0 || slices.ContainsFunc(h.facts, func(o fact) bool { return o.count >= f.count && o.at <= f.at }) {
		return false
	}
	h.facts = slices.DeleteFunc(h.facts, func(o fact) bool { return o.count <= f.count && o.at >= f.at })
	i, _ := slices.BinarySearchFunc(h.facts, f, func(a, b fact) int { return int(a.at - b.at) })
	h.facts = slices.Insert(h.facts, i, f)
	return i == len(h.facts)-1
}

// at returns the highest count that is known to have been reached by the given time.
func (h *countHistory) at(t time.Duration) fact {
	var known fact
	for _, f := range h.facts {
		if f.at > t {
			break
		}
		known = f
	}
	return known
}

// latest returns the newest fact; it is zero if there is none.
func (h *countHistory) latest() fact {
	if len(h.facts) == 0 {
		return fact{}
	}
	return h.facts[len(h.facts)-1]
}

// prune removes the facts that are older than the newest one of the given time.
func (h *countHistory) prune(t time.Duration) {
	for len(h.facts) > 1 && h.facts[1].at <= t {
		h.facts = h.facts[1:]
	}
}

// interval states that a number of first attempts were made between two times.
type interval struct {
	from, to time.Duration
	count    int64
}

// attemptHistory holds the first attempts of this node and of the other nodes.
type attemptHistory struct {
	own, remote []interval
	// total is the number of attempts of this node since its start.
	total int64
	nodes map[string]*remoteAttempts
}

// remoteAttempts is the newest report of another node.
type remoteAttempts struct {
	incarnation uint64
	total       int64
	receivedAt  time.Duration
}

// record records an attempt of this node.
func (h *attemptHistory) record(now time.Duration) {
	h.total++
	if n := len(h.own); n > 0 && now-h.own[n-1].from < attemptResolution {
		h.own[n-1].to = now
		h.own[n-1].count++
		return
	}
	h.own = append(h.own, interval{from: now, to: now, count: 1})
}

// recent returns the number of attempts of this node in each of the last reportSlices, the newest
// first, as far as they lie within span.
func (h *attemptHistory) recent(now, span time.Duration) []uint32 {
	slices := make([]uint32, max(int(span/reportSlice), 1))
	used := 0
	for _, i := range h.own {
		if n := int((now - i.to) / reportSlice); n < len(slices) {
			slices[n] += uint32(i.count)
			used = max(used, n+1)
		}
	}
	return slices[:used]
}

// merge records that another node has made a total number of attempts since its start, of which recent
// holds the newest ones as returned by that node's history. Reports of one node must be merged in the
// order in which it sent them.
func (h *attemptHistory) merge(node string, incarnation uint64, total int64, recent []uint32, now time.Duration) {
	if h.nodes == nil {
		h.nodes = make(map[string]*remoteAttempts)
	}
	known := h.nodes[node]
	if known == nil || known.incarnation != incarnation {
		known = &remoteAttempts{incarnation: incarnation, receivedAt: now - 2*reportSlice*time.Duration(len(recent))}
		h.nodes[node] = known
	}
	missing := total - known.total
	for n, count := range recent {
		if missing <= 0 {
			break
		}
		added := min(int64(count), missing)
		to := now - time.Duration(n)*reportSlice
		// The attempts lie within a slice, and the report was sent up to reportDelay ago. An interval of
		// this node's history ends up to attemptResolution after it began.
		h.remote = append(h.remote, interval{from: to - reportSlice - reportDelay - attemptResolution, to: to, count: added})
		missing -= added
	}
	known.total, known.receivedAt = max(known.total, total), now
}

// prune removes what was made before the given time, and nodes that have not reported since then.
func (h *attemptHistory) prune(t time.Duration) {
	old := func(i interval) bool { return i.to < t }
	h.own, h.remote = slices.DeleteFunc(h.own, old), slices.DeleteFunc(h.remote, old)
	for name, n := range h.nodes {
		if n.receivedAt < t {
			delete(h.nodes, name)
		}
	}
}

// inAnyWindow returns a lower bound of the number of attempts that count for a window of the given
// length, whichever window it is that begins between two times. The attempts that count for a window
// are those of the window itself, of the one half a window earlier or of the one before it, whichever
// has most.
func (h *attemptHistory) inAnyWindow(firstStart, lastStart, length time.Duration) int64 {
	counts := h.cumulate(firstStart-length, lastStart+length)
	least := int64(math.MaxInt64)
	for start := firstStart; start <= lastStart; start += attemptResolution {
		// All windows that begin between start and end hold what lies between end and start+length.
		end := start + attemptResolution
		n := max(counts.within(end, start+length), counts.within(end-length, start), counts.within(end-length/2, start+length/2))
		least = min(least, n)
	}
	return least
}

// cumulativeAttempts holds, for each step of attemptResolution from a first time on, the number of
// attempts whose intervals begin before it and that of those whose intervals end by it.
type cumulativeAttempts struct {
	first       time.Duration
	begun, over []int64
}

func (h *attemptHistory) cumulate(first, last time.Duration) *cumulativeAttempts {
	steps := int((last-first)/attemptResolution) + 1
	c := &cumulativeAttempts{first: first, begun: make([]int64, steps+1), over: make([]int64, steps+1)}
	for _, all := range [][]interval{h.own, h.remote} {
		for _, i := range all {
			if i.from < first || i.to > last {
				continue
			}
			c.begun[c.step(i.from)+1] += i.count
			c.over[c.step(i.to-1)+1] += i.count
		}
	}
	for n := 1; n <= steps; n++ {
		c.begun[n] += c.begun[n-1]
		c.over[n] += c.over[n-1]
	}
	return c
}

// step returns the number of whole steps from the first time to t.
func (c *cumulativeAttempts) step(t time.Duration) int {
	return max(min(int((t-c.first)/attemptResolution), len(c.begun)-2), 0)
}

// within returns a lower bound of the attempts whose intervals lie between two times. The bound is
// lower by those whose intervals hold both times.
func (c *cumulativeAttempts) within(from, to time.Duration) int64 {
	begun := c.begun[c.step(from+attemptResolution-1)]
	return max(c.over[c.step(to)]-begun, 0)
}
