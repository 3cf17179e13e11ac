package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/admission"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// Work of an engine service that finds no capacity is refused at once if it would be refused at the
// end of its wait anyway (package admission). Nodes exchange their backlogs and the rates at which
// their runs end.

const (
	// callerPatienceShare is the share of its remaining time for which a caller waits before it
	// returns.
	callerPatienceShare = 1.0 / 3
	// maxExtendedShare is the share of its remaining time at arrival that work waits at most: the rest
	// is needed for the answer, or for another attempt after a refusal.
	maxExtendedShare = 0.5
	// extendedWaits is the predicted wait up to which work is let wait, as a multiple of the wait after
	// which it would be refused without a prediction: multiples of 0.25, 0.5 and 0.75 refused callers
	// that were served late otherwise.
	extendedWaits = 1.5
	// maxPatienceShare is the share of the caller's patience that work waits at most. The rest is needed
	// until its first event.
	maxPatienceShare = 0.75
	// maxBacklogs is the maximum number of backlogs in a datagram, the largest; each takes up to 35 bytes.
	maxBacklogs = 8
	// maxAdmissionModels bounds the services of which backlogs are kept.
	maxAdmissionModels = 64
)

// AdmissionRefusal describes a refusal that is based on a prediction.
type AdmissionRefusal struct {
	Service, RequestID, Workspace string
	Prediction                    admission.Prediction
	// Waited is the time that the work has waited before, 0 if it was refused at once.
	Waited time.Duration
	// RetryAfter is the time that the caller was told. Promised is false if it is only the longest
	// time for which the caller waits.
	RetryAfter time.Duration
	Promised   bool
}

// ServiceBacklog is the waiting work of one service and rank on one node.
type ServiceBacklog struct {
	Service QueueKey
	admission.Backlog
}

// admissionModelLocked returns the model of a service, or nil if there are too many.
func (f *Fleet) admissionModelLocked(service QueueKey) *admission.Model {
	m := f.admission[service]
	if m == nil && len(f.admission) < maxAdmissionModels {
		m = &admission.Model{}
		f.admission[service] = m
	}
	return m
}

// recordEndLocked records that a run is complete and its memory is free.
func (f *Fleet) recordEndLocked(p *Placement, r Result) {
	if p.demand.Prompt == 0 || r != Good {
		return
	}
	if m := f.admissionModelLocked(queueID{service: p.endpoint.Service}.key()); m != nil {
		m.RecordEnd(f.now(), p.rank, p.expectedTokens())
	}
}

// waitingBacklogLocked returns the waiting work of a service on this node by rank.
func (f *Fleet) waitingBacklogLocked(service string) []admission.Backlog {
	now := f.now()
	var backlogs []admission.Backlog
	for _, short := range []bool{false, true} {
		q := f.queues[queueID{service: service, short: short}]
		if q == nil {
			continue
		}
		for _, w := range q.waiting {
			backlogs = addWaiting(backlogs, w.rank(now), w.work.Demand.Tokens())
		}
	}
	return backlogs
}

func addWaiting(backlogs []admission.Backlog, rank, tokens int) []admission.Backlog {
	for i := range backlogs {
		if backlogs[i].Rank == rank {
			backlogs[i].Requests++
			backlogs[i].Tokens += tokens
			return backlogs
		}
	}
	return append(backlogs, admission.Backlog{Rank: rank, Requests: 1, Tokens: tokens})
}

// freeTokensLocked returns the memory, in tokens, that is free for work of this size. Room that is
// too small for the work does not count.
func (f *Fleet) freeTokensLocked(w *Work) int {
	need, free := max(w.Demand.Tokens(), 1), 0
	share := f.memoryShareFor(w) * float64(w.Service.Engine.CacheTokens)
	for _, e := range f.services[w.Service.Name] {
		if !f.eligibleLocked(e, w) {
			continue
		}
		load := e.total()
		room := int(share) - load.Tokens - load.BackupTokens
		free += min(max(room, 0)/need, max(e.Slots-load.Count, 0)) * need
	}
	return free
}

// predictLocked returns the predicted wait of the work, and the work as the model sees it. ok is false
// if admission does not apply to it.
func (f *Fleet) predictLocked(w *Work, maxWait time.Duration) (*admission.Model, admission.Work, admission.Prediction, bool) {
	if w.Service.Engine == nil || w.Demand.Prompt == 0 || f.Disabled[Admission] {
		return nil, admission.Work{}, admission.Prediction{}, false
	}
	m := f.admissionModelLocked(queueID{service: w.Service.Name}.key())
	if m == nil {
		return nil, admission.Work{}, admission.Prediction{}, false
	}
	work := admission.Work{
		Rank: w.Rank, Tokens: w.Demand.Tokens(), Workspace: w.Workspace, StartWithin: w.StartWithin, MaxWait: longestWait(w, maxWait),
		MaxRetry: time.Duration(callerPatienceShare * float64(w.Remaining)),
	}
	p := m.Predict(f.now(), work, f.waitingBacklogLocked(w.Service.Name), f.freeTokensLocked(w))
	return m, work, p, p.Evidence && p.Requests > 0
}

// longestWait returns the longest predicted wait for which the work waits, given the wait after which
// it would be refused without a prediction.
func longestWait(w *Work, maxWait time.Duration) time.Duration {
	return max(maxWait, min(time.Duration(extendedWaits*float64(maxWait)), longestExtendedWait(w)))
}

// longestExtendedWait returns the longest time from its arrival at the queue for which the work waits.
func longestExtendedWait(w *Work) time.Duration {
	longest := time.Duration(maxExtendedShare * float64(w.Remaining))
	if w.Patience > 0 {
		longest = min(longest, time.Duration(maxPatienceShare*float64(w.Patience)))
	}
	return longest
}

// refuseHopelessLocked returns a refusal if the work would, by prediction, be refused at the end of
// its wait. Otherwise it returns nil. Work that has started elsewhere is not refused: the answer to it
// could only break off.
func (f *Fleet) refuseHopelessLocked(w *Work, maxWait time.Duration) *crocusreel.Refusal {
	m, work, p, ok := f.predictLocked(w, maxWait)
	if !ok || w.Started || !p.Refuse(work) || f.pickLocked(w) != nil {
		return nil
	}
	metrics.Count("admission_refused")
	retry := f.promiseLocked(m, w, work, p, 0)
	return crocusreel.Refuse(crocusreel.ReasonQueueFull, crocusreel.OutcomeNotRun, retry,
		"%d requests wait for service %q on all nodes, the wait would be %v", p.Requests, w.Service.Name, p.LateWait.Round(time.Millisecond))
}

// retryAfterLocked returns the time after which the caller of refused work should return, by
// prediction if there is evidence, else the given time.
func (f *Fleet) retryAfterLocked(w *Work, otherwise time.Duration) time.Duration {
	m, work, p, ok := f.predictLocked(w, 0)
	if !ok {
		return otherwise
	}
	waited := time.Duration(0)
	if w.enqueuedAt != 0 {
		waited = f.now() - w.enqueuedAt
		metrics.Count("admission_refused_after_wait")
		metrics.Observe("admission_refused_waited", waited)
	}
	return f.promiseLocked(m, w, work, p, waited)
}

func (f *Fleet) promiseLocked(m *admission.Model, w *Work, work admission.Work, p admission.Prediction, waited time.Duration) time.Duration {
	work.MaxRetry = max(work.MaxRetry-time.Duration(callerPatienceShare*float64(waited)), 0)
	retry, promised := m.Promise(f.now(), work, p, f.random.Float64())
	if promised {
		metrics.Count("admission_promised")
	}
	f.OnAdmissionRefusal(AdmissionRefusal{
		Service: w.Service.Name, RequestID: w.RequestID, Workspace: w.Workspace, Prediction: p,
		Waited: waited, RetryAfter: retry, Promised: promised,
	})
	return retry
}

// OwnBacklogs returns the waiting work, promises and rates of this node, to be sent to the other
// nodes: at most maxBacklogs.
func (f *Fleet) OwnBacklogs() []ServiceBacklog {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Disabled[Admission] {
		return nil
	}
	var backlogs []ServiceBacklog
	for service := range f.services {
		key := queueID{service: service}.key()
		m := f.admission[key]
		if m == nil {
			continue
		}
		for _, b := range m.Own(f.now(), f.waitingBacklogLocked(service)) {
			backlogs = append(backlogs, ServiceBacklog{Service: key, Backlog: b})
		}
	}
	if len(backlogs) > maxBacklogs {
		slices.SortFunc(backlogs, func(a, b ServiceBacklog) int { return cmp.Compare(b.size(), a.size()) })
		backlogs = backlogs[:maxBacklogs]
	}
	return backlogs
}

// size is the importance of a backlog: the tokens that wait or are promised, and those that become
// free in a second.
func (b ServiceBacklog) size() float64 {
	return float64(b.Tokens+b.PromisedTokens) + b.CompletedPerSecond
}

// SetRemoteBacklogs replaces the backlogs that another node has reported. A node that reports none is
// not known. It returns an error for impossible values, which change nothing.
func (f *Fleet) SetRemoteBacklogs(node string, backlogs []ServiceBacklog) error {
	byService := make(map[QueueKey][]admission.Backlog)
	for _, b := range backlogs {
		byService[b.Service] = append(byService[b.Service], b.Backlog)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for service := range byService {
		f.admissionModelLocked(service)
	}
	var invalid error
	for service, m := range f.admission {
		if err := m.SetRemote(f.now(), node, byService[service]); err != nil {
			invalid = err
		}
	}
	return invalid
}

// forgetBacklogsLocked drops the backlogs of a node that is no longer reachable.
func (f *Fleet) forgetBacklogsLocked(node string) {
	for _, m := range f.admission {
		m.Forget(node)
	}
}

// extendWait returns by how much longer work waits whose wait is over: while runs of the
// service end, late work with a long deadline is placed sooner from the queue than after a refusal,
// and its caller would return as new work that delays work which can still be on time. It returns 0 if
// the wait ends now.
func (f *Fleet) extendWait(w *waiter) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	left := longestExtendedWait(w.work) - (now - w.enqueuedAt)
	if w.work.Target <= 0 || left < minRetryAfter {
		return 0
	}
	_, _, _, ok := f.predictLocked(w.work, left)
	if !ok {
		return 0
	}
	more := min(left, w.work.Target)
	w.deadline = now + more
	return more
}

// observeWait records how long placed work of an engine service has waited.
func (f *Fleet) observeWait(w *Work, waited time.Duration) {
	if w.Service.Engine != nil {
		metrics.Observe("admission_waited", waited)
	}
}
