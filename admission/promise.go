package admission

import "time"

const (
	// promiseGrace is how long after its time a promise is kept: callers return within one round
	// trip of the time that they were told.
	promiseGrace = 500 * time.Millisecond
	// maxPromises bounds the promises that one node remembers.
	maxPromises = 1024
	// maxWorkspaceShare is the share of all promised capacity, as drained over promiseHorizon, that
	// one workspace may hold. Beyond it the workspace is told the longest time and no capacity is
	// counted for it.
	maxWorkspaceShare = 0.25
	promiseHorizon    = 10 * time.Second
)

// promise is capacity that a refused caller was told to return for.
type promise struct {
	due       time.Duration
	rank      int
	tokens    int
	workspace string
}

// promises is the account of one node's promises. Work that returns is not recognizable, so each
// promise counts until shortly after its time.
type promises struct {
	open []promise
}

// expire discards the promises whose time is over.
func (p *promises) expire(now time.Duration) {
	kept := p.open[:0]
	for _, one := range p.open {
		if now < one.due+promiseGrace {
			kept = append(kept, one)
		}
	}
	p.open = kept
}

func (p *promises) add(one promise) {
	if len(p.open) < maxPromises {
		p.open = append(p.open, one)
	}
}

func (p *promises) ofWorkspace(name string) (tokens int) {
	for _, one := range p.open {
		if one.workspace == name {
			tokens += one.tokens
		}
	}
	return tokens
}
