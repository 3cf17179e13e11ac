package fleet

import (
	"slices"
	"time"

	"github.com/crocusreel/crocusreel/fairshare"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

const (
	// sharesInterval is the minimum time between two evaluations of whether shares apply to a
	// service. Other nodes report more than a thousand times per second, and an evaluation visits all
	// of them.
	sharesInterval = 100 * time.Millisecond
	// sharesReportInterval is the minimum time between two reports of a service.
	sharesReportInterval = time.Second
	// maxReportedShares bounds the workspaces in one SharesChange.
	maxReportedShares = 5
)

// serviceShares is what a node knows of the shares of one engine service.
type serviceShares struct {
	ledger     *fairshare.Ledger
	key        fairshare.Key
	activation fairshare.Activation
	evaluated  time.Duration
	// received and waiting are those of the last evaluation.
	received map[fairshare.Key]float64
	waiting  map[fairshare.Key]bool
	counts   map[fairshare.Key]*shareCounts
	// reported is the state that OnShares was last called with, at reportedAt.
	reported   bool
	reportedAt time.Duration
}

// shareCounts counts the work of one workspace on this node since the last report.
type shareCounts struct {
	name                    string
	waited, refused, served int
}

// WorkspaceShare is the service that one workspace has received, for operators.
type WorkspaceShare struct {
	// Workspace is empty if no work of it has waited on this node since the last report.
	Workspace string
	Key       fairshare.Key
	// Share is the fraction of the capacity that it has received over all nodes.
	Share float64
	// Waited, Refused and Served count its work on this node since the last report.
	Waited, Refused, Served int
}

// SharesChange states that the waiting work of a service is now served by shares, or no longer is.
type SharesChange struct {
	Service string
	Active  bool
	// Shares holds the workspaces with the largest shares, in descending order.
	Shares []WorkspaceShare
}

// active reports whether shares apply. s is nil for plain services.
func (s *serviceShares) active() bool { return s != nil && s.activation.Active }

func (s *serviceShares) receivedBy(now time.Duration) func(fairshare.Key) float64 {
	return func(workspace fairshare.Key) float64 { return s.ledger.Received(now, s.key, workspace) }
}

func (s *serviceShares) countsOf(w *Work) *shareCounts {
	key := fairshare.KeyOf(w.Workspace)
	c := s.counts[key]
	if c == nil {
		c = &shareCounts{name: w.Workspace}
		s.counts[key] = c
	}
	return c
}

// sharesLocked returns the shares of a service, or nil for plain services and if the mechanism is
// disabled.
func (f *Fleet) sharesLocked(w *Work) *serviceShares {
	if w.Service.Engine == nil || f.Disabled[WorkspaceShares] {
		return nil
	}
	s := f.shares[w.Service.Name]
	if s == nil {
		s = &serviceShares{
			ledger: f.ledger, key: fairshare.KeyOf(w.Service.Name), evaluated: f.now() - sharesInterval,
			reportedAt: f.now() - sharesReportInterval, counts: make(map[fairshare.Key]*shareCounts),
		}
		f.shares[w.Service.Name] = s
	}
	return s
}

// chargeLocked charges a placement to the workspace of its work.
func (f *Fleet) chargeLocked(w *Work) {
	if s := f.sharesLocked(w); s != nil {
		s.countsOf(w).served++
		f.ledger.Charge(f.now(), s.key, fairshare.KeyOf(w.Workspace), float64(w.tokens()))
	}
}

// tokens returns the memory, in tokens, that the work needs.
func (w *Work) tokens() int { return w.Demand.Prompt + w.Demand.Output }

// Workspace implements fairshare.Item.
func (w *waiter) Workspace() fairshare.Key { return w.workspace }

// Tokens implements fairshare.Item.
func (w *waiter) Tokens() float64 { return float64(w.work.tokens()) }

// headByShare returns up to n waiters by rank, with the penalty for late work, then by the service
// that their workspaces have received, then by age. Late work goes last in spite of shares: if all
// workspaces flood, the oldest work of the one that has received least is mostly late, and capacity
// spent on it makes all answers late.
func (q *queue) headByShare(now time.Duration, n int) []*waiter {
	var head []*waiter
	for rest := inTimeFirst(q.waiting, now); len(rest) > 0 && len(head) < n; {
		rank := rest[0].rank(now)
		end := slices.IndexFunc(rest, func(w *waiter) bool { return w.rank(now) != rank })
		if end < 0 {
			end = len(rest)
		}
		head = append(head, fairshare.Order(rest[:end], n-len(head), q.shares.receivedBy(now))...)
		rest = rest[end:]
	}
	return head
}

func inTimeFirst(waiting []*waiter, now time.Duration) []*waiter {
	ordered := make([]*waiter, 0, len(waiting))
	for _, late := range []bool{false, true} {
		for _, w := range waiting {
			if w.late(now) == late {
				ordered = append(ordered, w)
			}
		}
	}
	return ordered
}

// enqueuedLocked records that work waits, before the queue is dispatched.
func (f *Fleet) enqueuedLocked(w *Work, s *serviceShares) {
	if s != nil {
		s.countsOf(w).waited++
		f.evaluateSharesLocked(w.Service.Name, s)
	}
}

// countRefusedLocked records that work was refused after it had waited, or because its queue was full.
func (f *Fleet) countRefusedLocked(w *Work) {
	if s := f.sharesLocked(w); s != nil {
		s.countsOf(w).refused++
	}
}

// makeRoomLocked refuses a waiter of a full queue in place of new work. It refuses the newest, least
// urgent work of the workspace that is furthest over its share. It reports false if the new work has
// to be refused: shares do not apply, its own workspace is over its share, or only more urgent work
// could be refused for it.
func (f *Fleet) makeRoomLocked(q *queue, w *Work) bool {
	if !q.shares.active() {
		return false
	}
	received := q.shares.receivedBy(f.now())
	equal := fairshare.EqualShare(q.shares.received, q.shares.waiting)
	if received(fairshare.KeyOf(w.Workspace)) > equal {
		return false
	}
	var victim *waiter
	for _, other := range q.waiting {
		over := received(other.Workspace())
		if over <= equal || other.work.Rank < w.Rank {
			continue
		}
		// Waiters are in order of rank and arrival, so later ones are less urgent or newer.
		if victim == nil || over >= received(victim.Workspace()) {
			victim = other
		}
	}
	if victim == nil {
		return false
	}
	q.remove(victim)
	f.countRefusedLocked(victim.work)
	metrics.Count("workspace_shares_refused")
	victim.done <- waitResult{refusal: f.refuseLocked(victim.work)}
	return true
}

// evaluateSharesLocked evaluates whether shares apply to a service, at most once per
// sharesInterval.
func (f *Fleet) evaluateSharesLocked(service string, s *serviceShares) {
	now := f.now()
	if now-s.evaluated < sharesInterval {
		return
	}
	s.evaluated = now
	s.received, s.waiting = f.ledger.Workspaces(now, s.key), f.waitingWorkspacesLocked(service)
	s.activation.Update(now, s.received, s.waiting)
	f.reportSharesLocked(service, s, now)
}

// waitingWorkspacesLocked returns the workspaces with waiting work of a service. Of another node,
// only those of the first request in each queue are known, and none if it is of an older version.
func (f *Fleet) waitingWorkspacesLocked(service string) map[fairshare.Key]bool {
	waiting := make(map[fairshare.Key]bool)
	for _, short := range []bool{false, true} {
		id := queueID{service: service, short: short}
		if q := f.queues[id]; q != nil {
			for _, w := range q.waiting {
				waiting[w.Workspace()] = true
			}
		}
		key := id.key()
		for _, node := range f.remote {
			if head, waits := node.waiting[key]; waits && head.Workspace != 0 {
				waiting[head.Workspace] = true
			}
		}
	}
	return waiting
}

// reportSharesLocked calls OnShares if the state differs from the reported one.
func (f *Fleet) reportSharesLocked(service string, s *serviceShares, now time.Duration) {
	if s.activation.Active == s.reported || now-s.reportedAt < sharesReportInterval {
		return
	}
	s.reported, s.reportedAt = s.activation.Active, now
	f.OnShares(SharesChange{Service: service, Active: s.reported, Shares: s.largestShares()})
	clear(s.counts)
}

func (s *serviceShares) largestShares() []WorkspaceShare {
	sum := 0.0
	for _, tokens := range s.received {
		sum += tokens
	}
	var shares []WorkspaceShare
	for key, tokens := range s.received {
		share := WorkspaceShare{Key: key, Share: tokens / sum}
		if c := s.counts[key]; c != nil {
			share.Workspace, share.Waited, share.Refused, share.Served = c.name, c.waited, c.refused, c.served
		}
		shares = append(shares, share)
	}
	slices.SortFunc(shares, func(a, b WorkspaceShare) int {
		if a.Share != b.Share {
			return compareDescending(a.Share, b.Share)
		}
		return int(int64(a.Key) - int64(b.Key))
	})
	return shares[:min(len(shares), maxReportedShares)]
}

func compareDescending(a, b float64) int {
	if a > b {
		return -1
	}
	return 1
}

// tickSharesLocked ends shares that no longer apply, and discards what has decayed.
func (f *Fleet) tickSharesLocked() {
	f.ledger.Prune(f.now())
	for service, s := range f.shares {
		f.evaluateSharesLocked(service, s)
		if len(s.counts) > maxShareCounts {
			clear(s.counts)
		}
	}
}

// maxShareCounts bounds the counts kept until the next report.
const maxShareCounts = 1024

// remoteGoesFirstLocked reports whether the first request of another node precedes work of the same
// rank that waits here: by the shares of their workspaces while these apply, else by age. The shares
// decide only if they differ by more than the larger request, because the nodes' ledgers differ by
// what was placed within the delay of a datagram, and each could otherwise consider itself the first.
func (f *Fleet) remoteGoesFirstLocked(w *Work, node string, head WaitingWork, since time.Duration) bool {
	if s := f.sharesLocked(w); s.active() && head.Workspace != 0 {
		received := s.receivedBy(f.now())
		diff := received(fairshare.KeyOf(w.Workspace)) - received(head.Workspace)
		if tolerance := float64(max(head.Tokens, w.tokens())); diff > tolerance || diff < -tolerance {
			return diff > 0
		}
	}
	return f.remoteGoesFirst(node, f.remote[node].enqueuedAt(head), since)
}

// OwnUse returns the service that each workspace has received through this node, to be sent to the
// other nodes. It is empty while no work of an engine service is known to wait on any node, since
// nobody uses it then.
func (f *Fleet) OwnUse() []fairshare.Use {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Disabled[WorkspaceShares] || !f.sharesInUseLocked() {
		return nil
	}
	return f.ledger.Own(f.now())
}

func (f *Fleet) sharesInUseLocked() bool {
	for service, s := range f.shares {
		if s.activation.Active || f.waitingLocked(service) > 0 || f.othersWaitingLocked(service) {
			return true
		}
	}
	return false
}

// SetRemoteUse replaces the service that another node has reported. An empty report leaves the
// previous one to decay.
func (f *Fleet) SetRemoteUse(node string, uses []fairshare.Use) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.Disabled[WorkspaceShares] {
		f.ledger.SetRemote(f.now(), node, uses)
	}
}
