package retry

import (
	"sync"
	"time"
)

// Window limits retries to a share of the first attempts within a sliding window, plus a fixed
// slack. Endpoints allow their callers a limited number of retries in any window of a given length;
// a token bucket that has accumulated tokens would exceed it.
type Window struct {
	mu sync.Mutex
	// attempts and retries hold one count per slice of the window. The newest slice is at index
	// head modulo windowSlices.
	attempts, retries [windowSlices]float64
	head              int64
	name              string
	set               *Windows
}

// windowSlices is the number of slices in a window. Counts expire by whole slices, up to one slice
// before they are Length old.
const windowSlices = 10

// Windows holds one window per name, and the limits that all of them share.
type Windows struct {
	// Ratio is the number of retries allowed per first attempt, and Slack a number of retries that
	// is always allowed, for all nodes together. Both apply to a window of the given Length.
	Ratio  float64
	Slack  float64
	Length time.Duration
	Now    func() time.Duration
	// Nodes returns the number of nodes that share the slack.
	Nodes func() int
	// OnDecision is called with each decision on a retry; nil if nobody needs to know. It must not
	// block.
	OnDecision func(Decision)

	mu      sync.Mutex
	windows map[string]*Window
}

// Decision is a decision on a retry and what it was based on.
type Decision struct {
	// Name is the name of the window.
	Name    string
	Allowed bool
	// Attempts and Retries are the counts of the window, without the retry decided on.
	Attempts, Retries float64
	// Share is this node's part of the slack, and Nodes the number of nodes that share it.
	Share float64
	Nodes int
}

// slackShare is the share of the slack that is used. The remainder is for nodes that do not know of
// each other yet.
const slackShare = 0.7

// Get returns the window with the given name, creating it if needed. Names come from the
// configuration, so their number is bounded.
func (s *Windows) Get(name string) *Window {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.windows == nil {
		s.windows = make(map[string]*Window)
	}
	w, ok := s.windows[name]
	if !ok {
		w = &Window{name: name, set: s}
		s.windows[name] = w
	}
	return w
}

// advance moves head to the current slice and clears the slices that have left the window. The
// caller holds w.mu.
func (w *Window) advance() {
	slice := w.set.Length / windowSlices
	now := int64(w.set.Now() / slice)
	if now-w.head >= windowSlices {
		w.attempts, w.retries = [windowSlices]float64{}, [windowSlices]float64{}
		w.head = now
		return
	}
	for w.head < now {
		w.head++
		w.attempts[w.head%windowSlices] = 0
		w.retries[w.head%windowSlices] = 0
	}
}

// RecordAttempt records a first attempt.
func (w *Window) RecordAttempt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.attempts[w.head%windowSlices]++
}

// AllowRetry records a retry and returns true, or returns false if no retry is left in the window.
func (w *Window) AllowRetry() bool {
	d := w.decide()
	if w.set.OnDecision != nil {
		w.set.OnDecision(d)
	}
	return d.Allowed
}

func (w *Window) decide() Decision {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	d := Decision{Name: w.name, Nodes: max(w.set.Nodes(), 1)}
	for i := range windowSlices {
		d.Attempts += w.attempts[i]
		d.Retries += w.retries[i]
	}
	d.Share = slackShare * w.set.Slack / float64(d.Nodes)
	if d.Retries+1 <= w.set.Ratio*d.Attempts+d.Share {
		d.Allowed = true
		w.retries[w.head%windowSlices]++
	}
	return d
}
