package retry

import (
	"sync"
	"time"
)

// Window bounds repeats to a share of the first sendings within a sliding time, with
// a fixed slack. Endpoints allow their callers a bounded number of repeats in any
// window of a given length; a token bucket that has been saving would exceed it.
type Window struct {
	mu sync.Mutex
	// Each slice counts one part of the window; the newest is at head.
	firsts, repeats [windowSlices]float64
	head            int64
	set             *Windows
}

// windowSlices is the number of parts of a window. A repeat is forgotten up to one
// part too late, never too early.
const windowSlices = 10

// Windows keeps one window for each name and the bounds that all share.
type Windows struct {
	// Ratio is the number of repeats for each first sending and Slack a number that
	// is always allowed, for all nodes together; Length is the time they hold for.
	Ratio  float64
	Slack  float64
	Length time.Duration
	Now    func() time.Duration
	// Nodes returns the number of nodes that share the slack.
	Nodes func() int

	mu  sync.Mutex
	all map[string]*Window
}

// slackShare is the part of the slack that is used. The rest is for nodes that do not
// know of each other yet.
const slackShare = 0.7

// Get returns the window of a name. Names come from the configuration, so their
// number is bounded.
func (s *Windows) Get(name string) *Window {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = make(map[string]*Window)
	}
	w, ok := s.all[name]
	if !ok {
		w = &Window{set: s}
		s.all[name] = w
	}
	return w
}

// advance moves the head to the present part. The caller holds the lock.
func (w *Window) advance() {
	slice := w.set.Length / windowSlices
	now := int64(w.set.Now() / slice)
	if now-w.head >= windowSlices {
		w.firsts, w.repeats = [windowSlices]float64{}, [windowSlices]float64{}
		w.head = now
		return
	}
	for w.head < now {
		w.head++
		w.firsts[w.head%windowSlices] = 0
		w.repeats[w.head%windowSlices] = 0
	}
}

// Earn records a first sending.
func (w *Window) Earn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.firsts[w.head%windowSlices]++
}

// Spend takes one repeat; it returns false if none is left in this window.
func (w *Window) Spend() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	firsts, repeats := 0.0, 0.0
	for i := range windowSlices {
		firsts += w.firsts[i]
		repeats += w.repeats[i]
	}
	nodes := float64(max(w.set.Nodes(), 1))
	if repeats+1 > w.set.Ratio*firsts+slackShare*w.set.Slack/nodes {
		return false
	}
	w.repeats[w.head%windowSlices]++
	return true
}
