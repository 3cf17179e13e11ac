package admission_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/admission"
)

const (
	// siteTick is the step of the simulation; siteLength the time during which requests arrive.
	siteTick   = 10 * time.Millisecond
	siteLength = 30 * time.Second
	// siteUtilization is the share of the engines' memory that the load occupies in normal operation.
	siteUtilization = 0.97
	siteLongRate    = 33.0
	siteShortRate   = 37.0
)

// siteKind is one kind of requests, all of equal size.
type siteKind struct {
	rank, tokens            int
	took                    time.Duration
	target, deadline, start time.Duration
}

var (
	siteLong  = siteKind{rank: 5, tokens: longTokens, took: 7500 * time.Millisecond, target: 1800 * time.Millisecond, deadline: 39 * time.Second, start: 1100 * time.Millisecond}
	siteShort = siteKind{rank: 2, tokens: 2208, took: 350 * time.Millisecond, target: 1500 * time.Millisecond, deadline: 6 * time.Second, start: 900 * time.Millisecond}
)

// siteRequest is one request; enqueued is the time of its current attempt, until that of the end of its wait.
type siteRequest struct {
	siteKind
	node                      int
	received, enqueued, until time.Duration
	attempts                  int
	workspace                 string
}

func (r *siteRequest) order(now time.Duration) int {
	if now-r.enqueued > r.start {
		return r.rank + admission.LateRank
	}
	return r.rank
}

// site simulates many nodes with a common pool of engine memory, from which waiting work is served in
// the order of the fleet's queues. The nodes' reports are 150 ms to 1.4 s old.
type site struct {
	// arrivals is separate from random, so that sites with and without the mechanism get the same load.
	arrivals   *rand.Rand
	random     *rand.Rand
	with       bool
	loss       float64
	ignorant   int
	models     []*admission.Model
	nextReport []time.Duration
	waiting    []*siteRequest
	returning  []*siteRequest
	running    []siteRun
	free       int

	requests, inTime, late, atOnce, afterWait, again, lost int
}

type siteRun struct {
	ends         time.Duration
	node         int
	rank, tokens int
}

func (s *site) value() float64 { return float64(s.inTime) + 0.2*float64(s.late) }

func (s *site) String() string {
	return fmt.Sprintf("%d requests: %d in time, %d late, %d refused at once, %d refused after an eighth of the target, %d refused again, %d lost, value %.0f",
		s.requests, s.inTime, s.late, s.atOnce, s.afterWait, s.again, s.lost, s.value())
}

func (s *site) run(nodes int) {
	demand := siteLongRate*siteLong.took.Seconds()*float64(siteLong.tokens) + siteShortRate*siteShort.took.Seconds()*float64(siteShort.tokens)
	s.free = int(demand / siteUtilization)
	for range nodes {
		s.models = append(s.models, &admission.Model{})
		s.nextReport = append(s.nextReport, time.Duration(s.random.Int64N(int64(time.Second))))
	}
	for t := time.Duration(0); t < siteLength || len(s.waiting)+len(s.returning) > 0; t += siteTick {
		s.endRuns(t)
		s.report(t)
		s.arrive(t)
		s.dispatch(t)
		s.endWaits(t)
	}
}

func (s *site) endRuns(t time.Duration) {
	s.running = slices.DeleteFunc(s.running, func(r siteRun) bool {
		if t < r.ends {
			return false
		}
		s.free += r.tokens
		s.models[r.node].RecordEnd(t, r.rank, r.tokens)
		return true
	})
}

func (s *site) backlog(t time.Duration, node int) []admission.Backlog {
	byRank := make(map[int]admission.Backlog)
	for _, r := range s.waiting {
		if r.node == node {
			b := byRank[r.order(t)]
			byRank[r.order(t)] = admission.Backlog{Rank: r.order(t), Requests: b.Requests + 1, Tokens: b.Tokens + r.tokens}
		}
	}
	backlogs := make([]admission.Backlog, 0, len(byRank))
	for _, b := range byRank {
		backlogs = append(backlogs, b)
	}
	return backlogs
}

func (s *site) report(t time.Duration) {
	for node, at := range s.nextReport {
		if t < at {
			continue
		}
		s.nextReport[node] = t + 150*time.Millisecond + time.Duration(s.random.Int64N(int64(1250*time.Millisecond)))
		own := s.models[node].Own(t, s.backlog(t, node))
		for other := s.ignorant; other < len(s.models); other++ {
			if other != node && s.random.Float64() >= s.loss {
				_ = s.models[other].SetRemote(t, fmt.Sprint(node), own)
			}
		}
	}
}

func (s *site) arrive(t time.Duration) {
	long, short := 1.0, 1.0
	switch {
	case t >= 10*time.Second && t < 18*time.Second:
		long = 1.8
	case t >= 18*time.Second && t < 28*time.Second:
		short = 3.5
	}
	if t < siteLength {
		s.arriveKind(t, siteLong, long*siteLongRate)
		s.arriveKind(t, siteShort, short*siteShortRate)
	}
	due := slices.DeleteFunc(slices.Clone(s.returning), func(r *siteRequest) bool { return t < r.enqueued })
	s.returning = slices.DeleteFunc(s.returning, func(r *siteRequest) bool { return t >= r.enqueued })
	for _, r := range due {
		s.attempt(t, r)
	}
}

func (s *site) arriveKind(t time.Duration, k siteKind, perSecond float64) {
	for range 2 {
		if s.arrivals.Float64() < perSecond*siteTick.Seconds()/2 {
			s.requests++
			s.attempt(t, &siteRequest{siteKind: k, received: t, workspace: fmt.Sprint(s.arrivals.IntN(24))})
		}
	}
}

func (s *site) attempt(t time.Duration, r *siteRequest) {
	r.node, r.enqueued, r.attempts = s.random.IntN(len(s.models)), t, r.attempts+1
	remaining := r.deadline - (t - r.received)
	r.until = t + min(4*remaining/10, 3*r.target)
	if s.with {
		w := s.work(t, r)
		if p := s.models[r.node].Predict(t, w, s.backlog(t, r.node), s.free/r.tokens*r.tokens); p.Refuse(w) {
			s.atOnce++
			s.refuse(t, r)
			return
		}
	}
	s.waiting = append(s.waiting, r)
}

func (s *site) work(t time.Duration, r *siteRequest) admission.Work {
	remaining := r.deadline - (t - r.received)
	return admission.Work{
		Rank: r.rank, Tokens: r.tokens, Workspace: r.workspace, StartWithin: r.start, MaxRetry: remaining / 3,
		MaxWait: max(r.until-r.enqueued, min((r.until-r.enqueued)*3/2, remaining/2)),
	}
}

func (s *site) dispatch(t time.Duration) {
	slices.SortStableFunc(s.waiting, func(a, b *siteRequest) int {
		return cmp.Or(cmp.Compare(a.order(t), b.order(t)), cmp.Compare(a.enqueued, b.enqueued))
	})
	s.waiting = slices.DeleteFunc(s.waiting, func(r *siteRequest) bool {
		if r.tokens > s.free {
			return false
		}
		s.free -= r.tokens
		s.running = append(s.running, siteRun{ends: t + r.took, node: r.node, rank: r.rank, tokens: r.tokens})
		if t-r.received <= r.target-400*time.Millisecond {
			s.inTime++
		} else {
			s.late++
		}
		return true
	})
}

func (s *site) endWaits(t time.Duration) {
	s.waiting = slices.DeleteFunc(s.waiting, func(r *siteRequest) bool {
		if t < r.until || s.extend(t, r) {
			return false
		}
		s.afterWait++
		s.refuse(t, r)
		return true
	})
}

func (s *site) extend(t time.Duration, r *siteRequest) bool {
	arrivalRemaining := r.deadline - (r.enqueued - r.received)
	left := arrivalRemaining/2 - (t - r.enqueued)
	if !s.with || left < 300*time.Millisecond || !s.models[r.node].Predict(t, s.work(t, r), s.backlog(t, r.node), 0).Evidence {
		return false
	}
	r.until = t + min(left, r.target)
	return true
}

func (s *site) refuse(t time.Duration, r *siteRequest) {
	if r.attempts > 1 {
		s.again++
		s.lost++
		return
	}
	own := s.backlog(t, r.node)
	requests := 0
	for _, b := range own {
		requests += b.Requests
	}
	after := min(300*time.Millisecond+time.Duration(requests)*100*time.Millisecond, 3*time.Second)
	if w := s.work(t, r); s.with {
		if p := s.models[r.node].Predict(t, w, own, s.free/r.tokens*r.tokens); p.Evidence && p.Requests > 0 {
			after, _ = s.models[r.node].Promise(t, w, p, s.random.Float64())
		}
	}
	if after > (r.deadline-(t-r.received))/3 {
		s.lost++
		return
	}
	r.enqueued = t + after
	s.returning = append(s.returning, r)
}

// Guards against decisions from reports that are up to 1.4 s old on many nodes, which could all refuse or all admit together.
func TestManyNodesUnderLoad(t *testing.T) {
	for _, c := range []struct {
		name            string
		nodes, ignorant int
		loss            float64
	}{
		{"75 nodes", 75, 0, 0},
		{"300 nodes", 300, 0, 0},
		{"75 nodes, one in ten datagrams lost", 75, 0, 0.1},
		{"75 nodes, 20 that hear nothing", 75, 20, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sites [2]site
			for i := range sites {
				sites[i] = site{arrivals: rand.New(rand.NewPCG(1, 1)), random: rand.New(rand.NewPCG(2, 2)), with: i == 1, loss: c.loss, ignorant: c.ignorant}
				sites[i].run(c.nodes)
			}
			t.Logf("with    %v", &sites[1])
			t.Logf("without %v", &sites[0])
			g := NewWithT(t)
			g.Expect(sites[1].value()).To(BeNumerically(">=", sites[0].value()))
			g.Expect(sites[1].lost).To(BeNumerically("<=", sites[0].lost))
		})
	}
}
