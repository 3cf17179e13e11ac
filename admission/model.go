// Package admission predicts when work that arrives at a loaded service would be placed. From that
// it decides whether the work should wait or be refused at once, and when a refused caller should
// return. It does no I/O, and its clock is an argument.
package admission

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// LateRank is added to the rank of waiting work that can no longer be on time. Such work is
	// served after all other work.
	LateRank = 1 << 16
	// minEvidenceRuns is the number of runs of the size of the new work that must have ended in the
	// window for a prediction. With fewer runs the rate is off by half or more.
	minEvidenceRuns = 8
	// minRateShare is the share of the measured rate that is assumed to remain for work that more
	// urgent work precedes.
	minRateShare = 0.1
	// maxReportAge is the age from which the report of another node no longer counts. Nodes report at
	// least every 1.4 s, and one in ten datagrams may be lost.
	maxReportAge = 5 * time.Second
	// maxTokensPerRequest, maxRequests and maxRate (tokens per second) bound what a report of another
	// node may contain.
	maxTokensPerRequest = 10_000_000
	maxRequests         = 100_000
	maxRate             = 1e9
)

// Backlog is the waiting work of one rank on one node.
type Backlog struct {
	// Rank includes LateRank for work that can no longer be on time.
	Rank     int
	Requests int
	Tokens   int
	// PromisedTokens is the work that was refused with a time at which to return.
	PromisedTokens int
	// CompletedPerSecond is the rate at which runs have ended, in tokens per second.
	CompletedPerSecond float64
}

// Work is a piece of work that has arrived and found no capacity.
type Work struct {
	Rank      int
	Tokens    int
	Workspace string
	// StartWithin is the time within which the work must be placed to be on time, 0 for no limit.
	StartWithin time.Duration
	// MaxWait is the longest predicted wait with which the work is let wait. Waits longer than those
	// that make it late are worth it as long as it is served at all.
	MaxWait time.Duration
	// MaxRetry is the longest time after which the caller returns if told to, 0 if not known.
	MaxRetry time.Duration
}

// Prediction is the state of the backlog for a piece of work and the wait that follows from it.
type Prediction struct {
	// Evidence is false if too few runs have ended lately to predict anything.
	Evidence bool
	// Requests and Tokens describe all waiting work, Promised the promised tokens, Free the tokens
	// that are free now.
	Requests, Tokens, Promised, Free int
	// Rate is the rate of capacity for work of this rank, in tokens per second.
	Rate float64
	// Wait is the predicted wait behind work of the same or a more urgent rank that can still be on
	// time; LateWait is the wait behind all work that is served before late work of this rank.
	Wait, LateWait time.Duration
}

// report is what another node has last sent.
type report struct {
	at       time.Duration
	backlogs []Backlog
}

// Model is one node's view of the backlog of one service over all nodes. The zero value knows
// nothing. It is not safe for concurrent use.
type Model struct {
	ended    map[int]*rate
	promises promises
	remote   map[string]report
}

// RecordEnd records that a run of this node has ended and its tokens are free.
func (m *Model) RecordEnd(now time.Duration, rank, tokens int) {
	if m.ended == nil {
		m.ended = make(map[int]*rate)
	}
	r := m.ended[rank]
	if r == nil {
		r = &rate{}
		m.ended[rank] = r
	}
	r.record(now, tokens)
}

// SetRemote replaces the report of another node. An empty report says that the node knows nothing of
// the service. An impossible report is dropped with an error, and the previous one is kept.
func (m *Model) SetRemote(now time.Duration, node string, backlogs []Backlog) error {
	for _, b := range backlogs {
		if err := b.check(); err != nil {
			return eris.Wrapf(err, "backlog reported by node %s", node)
		}
	}
	if len(backlogs) == 0 {
		delete(m.remote, node)
		return nil
	}
	if m.remote == nil {
		m.remote = make(map[string]report)
	}
	m.remote[node] = report{at: now, backlogs: backlogs}
	return nil
}

// check returns an error for values that no node can have.
func (b Backlog) check() error {
	switch {
	case b.Rank < 0 || b.Requests < 0 || b.Requests > maxRequests || b.Tokens < 0 || b.PromisedTokens < 0:
		return eris.Errorf("rank %d, %d requests, %d tokens, %d promised out of range", b.Rank, b.Requests, b.Tokens, b.PromisedTokens)
	case b.Tokens > b.Requests*maxTokensPerRequest || b.PromisedTokens > maxRequests*maxTokensPerRequest:
		return eris.Errorf("%d tokens in %d requests, %d promised", b.Tokens, b.Requests, b.PromisedTokens)
	case math.IsNaN(b.CompletedPerSecond) || b.CompletedPerSecond < 0 || b.CompletedPerSecond > maxRate:
		return eris.Errorf("rate of %v tokens per second", b.CompletedPerSecond)
	default:
		return nil
	}
}

// Forget drops the report of a node.
func (m *Model) Forget(node string) { delete(m.remote, node) }

// Own returns this node's backlog, including its promises and rates, from its waiting work.
func (m *Model) Own(now time.Duration, waiting []Backlog) []Backlog {
	byRank := make(map[int]int, len(waiting))
	own := append([]Backlog(nil), waiting...)
	for i, b := range own {
		byRank[b.Rank] = i
	}
	at := func(rank int) *Backlog {
		i, ok := byRank[rank]
		if !ok {
			i = len(own)
			byRank[rank] = i
			own = append(own, Backlog{Rank: rank})
		}
		return &own[i]
	}
	for rank, r := range m.ended {
		if perSecond := r.perSecond(now); perSecond > 0 {
			at(rank).CompletedPerSecond = perSecond
		} else {
			delete(m.ended, rank)
		}
	}
	m.promises.expire(now)
	for _, p := range m.promises.open {
		at(p.rank).PromisedTokens += p.tokens
	}
	return own
}

// sums adds up the backlogs of all nodes as seen by a piece of work.
type sums struct {
	requests, tokens, promised int
	ahead, aheadOfLate         int
	rate, urgentRate           float64
}

func (s *sums) add(rank int, backlogs []Backlog) {
	for _, b := range backlogs {
		base := b.Rank % LateRank
		s.requests += b.Requests
		s.tokens += b.Tokens
		s.promised += b.PromisedTokens
		s.rate += b.CompletedPerSecond
		if base < rank {
			s.urgentRate += b.CompletedPerSecond
		}
		if b.Rank <= rank {
			s.ahead += b.Tokens
		}
		if b.Rank < LateRank || base <= rank {
			s.aheadOfLate += b.Tokens
		}
	}
}

// Predict predicts the wait of the work, given the waiting work of this node and the tokens that are
// free at endpoints for work of this size.
func (m *Model) Predict(now time.Duration, w Work, waiting []Backlog, free int) Prediction {
	var s sums
	s.add(w.Rank, m.Own(now, waiting))
	for node, r := range m.remote {
		if now-r.at > maxReportAge {
			delete(m.remote, node)
			continue
		}
		s.add(w.Rank, r.backlogs)
	}
	p := Prediction{Requests: s.requests, Tokens: s.tokens, Promised: s.promised, Free: free}
	p.Evidence = s.rate*rateWindow.Seconds() >= minEvidenceRuns*float64(max(w.Tokens, 1))
	if !p.Evidence {
		return p
	}
	p.Rate = max(s.rate-s.urgentRate, minRateShare*s.rate)
	p.Wait = timeFor(s.ahead+w.Tokens-free, p.Rate)
	p.LateWait = timeFor(s.aheadOfLate+w.Tokens-free, p.Rate)
	return p
}

// maxPredicted bounds predicted times.
const maxPredicted = time.Minute

func timeFor(tokens int, perSecond float64) time.Duration {
	seconds := float64(max(tokens, 0)) / max(perSecond, 1)
	return min(time.Duration(seconds*float64(time.Second)), maxPredicted)
}

// Refuse reports whether the work should be refused at once: by the prediction it is neither placed in
// time to be on time nor, as late work, before it would be refused at the end of its wait. Work that
// would be late but still served waits: a late answer is worth more than none, and a caller that
// returns is later still.
func (p Prediction) Refuse(w Work) bool {
	inTime := w.StartWithin > 0 && p.Wait <= w.StartWithin
	return p.Evidence && p.Requests > 0 && !inTime && p.LateWait > w.MaxWait
}

const (
	// minRetry and maxRetry bound the time that a caller is told.
	minRetry = 300 * time.Millisecond
	maxRetry = 13 * time.Second
	// spreadShare is the range of the random part of that time, as a share of it, so that callers
	// that were refused together do not return together.
	spreadShare = 0.25
)

// Promise returns the time after which a refused caller should return, and records it. Work that has
// been promised capacity already precedes it. counted is false if the time is the bound rather than a
// promise: the caller does not wait until its turn, or its workspace holds its share of promises. The
// random number is in [0, 1).
func (m *Model) Promise(now time.Duration, w Work, p Prediction, random float64) (after time.Duration, counted bool) {
	bound := maxRetry
	if w.MaxRetry > 0 {
		bound = min(bound, w.MaxRetry)
	}
	turn := max(p.LateWait+timeFor(p.Promised, p.Rate), minRetry)
	limit := max(maxWorkspaceShare*p.Rate*promiseHorizon.Seconds(), float64(minEvidenceRuns*w.Tokens))
	spread := 1 + spreadShare*random
	if float64(turn)*spread > float64(bound) || float64(m.promises.ofWorkspace(w.Workspace)+w.Tokens) > limit {
		return time.Duration(float64(bound) * (1 - spreadShare*random)), false
	}
	after = time.Duration(float64(turn) * spread)
	m.promises.add(promise{due: now + after, rank: w.Rank, tokens: w.Tokens, workspace: w.Workspace})
	return after, true
}
