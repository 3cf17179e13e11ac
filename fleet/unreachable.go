package fleet

import (
	"cmp"
	"slices"
	"time"
)

// An endpoint that has died looks empty to all nodes until its store entry expires, and attracts new
// work. One refused connection therefore suspends it on all nodes: the node that was refused reports
// it, once it has established that another endpoint of the service accepts its connections. A report
// is evidence and no verdict, because a node may be cut off from an endpoint that is well: it expires
// with the suspension, and an answer of the endpoint to the receiving node outweighs it.

const (
	// maxRefusalSuspension bounds the suspension of an endpoint that refuses connections, which
	// begins with unreachableSuspension and doubles each time the endpoint refuses again. It is
	// longer than the store keeps the entry of an endpoint that has died.
	maxRefusalSuspension = 4 * time.Second
	// maxUnreachableReports is the number of endpoints that one datagram names. It takes up to 300
	// bytes of a datagram.
	maxUnreachableReports = 24
)

// refusal is what is known of an endpoint's refused connections.
type refusal struct {
	// until is the end of the latest suspension, repeats the number of suspensions in a row.
	until   time.Duration
	repeats int
	// byReport is set if only reports of other nodes led to the suspension.
	byReport bool
	// ownAt is the time of the latest refused connection of this node. reported is set while the
	// other nodes are told.
	ownAt    time.Duration
	reported bool
	// answeredAt is the time of the latest sign of life received by this node. It is valid if alive
	// is set.
	answeredAt time.Duration
	alive      bool
}

// suspend records a connection that was refused at the given time. It returns false if that
// connection belongs to the current suspension or is too long ago.
func (r *refusal) suspend(now, at time.Duration) bool {
	if at < r.until {
		return false
	}
	repeats := r.repeats
	if at-r.until > maxRefusalSuspension {
		repeats = 0
	}
	until := at + min(unreachableSuspension<<min(repeats, 8), maxRefusalSuspension)
	if until <= now {
		return false
	}
	r.until, r.repeats = until, repeats+1
	return true
}

// answered ends the suspension: the endpoint has answered a request of this node.
func (r *refusal) answered(now time.Duration) {
	r.answeredAt, r.alive = now, true
	r.until, r.repeats, r.reported = min(r.until, now), 0, false
}

// produced records that a stream on the endpoint continues. The first event is an answer to a
// request. Later ones end a suspension only if this node was not refused itself: an endpoint may
// complete its streams without accepting connections.
func (r *refusal) produced(now time.Duration, first bool) {
	if first {
		r.answered(now)
		return
	}
	r.answeredAt, r.alive = now, true
	if r.byReport {
		r.until = min(r.until, now)
	}
}

func (f *Fleet) refusesConnectionsLocked(e *Endpoint, now time.Duration) bool {
	return now < e.refusal.until && !f.Disabled[UnreachableReports]
}

// RecordRefused records that the endpoint refused a connection of this node. It returns the time for
// which the endpoint is suspended, or 0 if it was suspended before or is not in service. In the
// first case, the caller establishes whether this node reaches another endpoint of the service, and
// then calls ReportRefused.
func (f *Fleet) RecordRefused(in Instance) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byKey[in.Incarnation().Key()]
	if e == nil || f.Disabled[UnreachableReports] {
		return 0
	}
	now := f.now()
	e.refusal.ownAt, e.refusal.byReport = now, false
	if !e.refusal.suspend(now, now) {
		return 0
	}
	e.refusal.reported = false
	f.refusing[e.key] = e
	return e.refusal.until - now
}

// ReportRefused has the other nodes told that the endpoint refuses connections, until its suspension
// ends. It returns false if the endpoint is no longer suspended.
func (f *Fleet) ReportRefused(in Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byKey[in.Incarnation().Key()]
	if e == nil || !f.refusesConnectionsLocked(e, f.now()) {
		return false
	}
	e.refusal.reported = true
	f.Broadcast("")
	return true
}

// ComparableEndpoints returns up to n endpoints of the same service, chosen at random, that are not
// known to be leaving or to refuse connections. If there are any in the data centre of the given
// endpoint, it returns only those: a node that is cut off from that data centre reaches the others.
func (f *Fleet) ComparableEndpoints(to Instance, n int) []Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var near, far []Instance
	all, now := f.services[to.Service], f.now()
	for _, i := range f.random.Perm(len(all)) {
		e := all[i]
		switch {
		case e.ID == to.ID || e.isLeaving || e.missingSince != 0 || now < e.refusal.until:
		case e.DataCentre == to.DataCentre:
			near = append(near, e.Instance)
		default:
			far = append(far, e.Instance)
		}
	}
	if len(near) == 0 {
		near = far
	}
	return near[:min(n, len(near))]
}

// UnreachableReport states that an endpoint refused a connection of a node.
type UnreachableReport struct {
	Key EndpointKey
	// Age is the time since the connection was refused.
	Age time.Duration
	// Service is the name of the endpoint's service. It is not set in reports of other nodes.
	Service string
}

// OwnUnreachable returns the endpoints that refused a connection of this node and that the other
// nodes are to suspend, the latest ones first.
func (f *Fleet) OwnUnreachable() []UnreachableReport {
	if f.Disabled[UnreachableReports] {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var reports []UnreachableReport
	now := f.now()
	for key, e := range f.refusing {
		if now >= e.refusal.until || f.byKey[key] != e {
			delete(f.refusing, key)
			continue
		}
		if e.refusal.reported {
			reports = append(reports, UnreachableReport{Key: key, Age: now - e.refusal.ownAt, Service: e.Service})
		}
	}
	slices.SortFunc(reports, func(a, b UnreachableReport) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Key, b.Key)) })
	return reports[:min(len(reports), maxUnreachableReports)]
}

// Suspension is the suspension of an endpoint by the report of another node.
type Suspension struct {
	Instance Instance
	// Node is the node that was refused, and Age the time since then.
	Node string
	Age  time.Duration
	// Duration is the time for which the endpoint gets no new work from now on.
	Duration time.Duration
}

// SetRemoteUnreachable applies the reports of another node. It ignores those of unknown endpoints
// and earlier incarnations, those with an impossible age or from before the latest sign of life, and
// those that are as old as a suspension.
func (f *Fleet) SetRemoteUnreachable(node string, reports []UnreachableReport) {
	if len(reports) == 0 || f.Disabled[UnreachableReports] {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, r := range reports[:min(len(reports), maxUnreachableReports)] {
		e := f.byKey[r.Key]
		at := now - r.Age
		if e == nil || r.Age < 0 || r.Age >= maxRefusalSuspension || e.refusal.alive && e.refusal.answeredAt >= at {
			continue
		}
		if e.refusal.suspend(now, at) {
			e.refusal.byReport = true
			f.OnUnreachable(Suspension{Instance: e.Instance, Node: node, Age: r.Age, Duration: e.refusal.until - now})
		}
	}
}
