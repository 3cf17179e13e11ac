package fleet

import (
	"time"

	"github.com/crocusreel/crocusreel/brittle"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/pace"
)

// The endpoints of a service may be brittle: one that has to turn away more than a number of requests
// per second falls over. The nodes then keep their requests within a rate below the endpoints'
// capacity (package brittle), tell each other of each rejection, and queue what exceeds that.

const (
	// brittleMemory is how long after the last answer that says so a service counts as brittle.
	// Endpoints say it in all answers.
	brittleMemory = 5 * time.Second
	// rejectionBroadcastTime is how long after the last rejection by an endpoint the number of its
	// rejections is broadcast.
	rejectionBroadcastTime = 3 * time.Second
	// maxBroadcastRejections is the maximum number of endpoints whose rejections are in a datagram.
	maxBroadcastRejections = 24
	// slotsRefreshInterval is the interval at which the slots of a brittle service are counted.
	slotsRefreshInterval = 250 * time.Millisecond
	// workTimeWeight is the weight of the latest request in the average time that requests take.
	workTimeWeight = 0.1
)

// serviceOverload is what this node knows of the load and the brittleness of a service. It is guarded
// by the Fleet's lock.
type serviceOverload struct {
	demand brittle.Demand
	// workTime is the average time that requests of this node take at an endpoint, 0 if unknown.
	workTime time.Duration
	// perSecond is the number of requests that an endpoint can turn away per second, as last
	// reported to any node, and saidAt the time of that answer. ownSaidAt is that of the last answer
	// to this node. Both are 0 if there is none.
	perSecond         float64
	saidAt, ownSaidAt time.Duration
	// slots is the number of requests that all endpoints together run at a time, as of slotsAt.
	slots   int
	slotsAt time.Duration
	// reported is set once OnBrittle has been called for the current period.
	reported bool
}

// endpointOverload is what this node knows of the rejections of one endpoint of a brittle service.
type endpointOverload struct {
	// guard limits what is sent.
	guard brittle.Guard
	// ownRejections counts the requests of this node that the endpoint has turned away, and
	// ownRejectedAt is the time of the last one. remoteRejections holds the counts of other nodes.
	ownRejections    uint32
	ownRejectedAt    time.Duration
	remoteRejections map[string]uint32
	// sentAt is the time of the last request from this node.
	sentAt time.Duration
	// rank is the rank of this node among the nodes of roster, for this endpoint.
	rank   int
	roster *Roster
}

// BrittleChange is a change in whether the endpoints of a service are brittle.
type BrittleChange struct {
	Service   string
	Brittle   bool
	PerSecond float64
	// Node is the node that reported it, empty for this one. Age is the time since the answer that
	// said so.
	Node string
	Age  time.Duration
	// WorkTime is the average time that requests take at an endpoint, 0 if it is not known.
	WorkTime time.Duration
}

// BrittleReport is what one node knows, from answers to itself, of the brittleness of a service.
type BrittleReport struct {
	Service   string
	PerSecond float64
	Age       time.Duration
}

// RejectionReport is the number of requests of one node that an endpoint has turned away so far.
type RejectionReport struct {
	Key   EndpointKey
	Count uint32
}

func (f *Fleet) overloadLocked(service string) *serviceOverload {
	o := f.overload[service]
	if o == nil {
		o = &serviceOverload{}
		f.overload[service] = o
	}
	return o
}

func (o *serviceOverload) recordWorkTime(took time.Duration) {
	if o.workTime == 0 {
		o.workTime = took
		return
	}
	o.workTime += time.Duration(workTimeWeight * float64(took-o.workTime))
}

func (o *serviceOverload) brittle(now time.Duration) bool {
	return o.saidAt != 0 && now-o.saidAt < brittleMemory
}

// isBrittleLocked reports whether the endpoints of the service are brittle.
func (f *Fleet) isBrittleLocked(service string, now time.Duration) bool {
	o := f.overload[service]
	return o != nil && o.brittle(now)
}

// recordBrittleLocked records an answer, given at the given time to this node or to the named one,
// that says that the endpoint is brittle.
func (f *Fleet) recordBrittleLocked(service string, perSecond float64, at time.Duration, node string) {
	o := f.overloadLocked(service)
	if node == "" {
		o.ownSaidAt = at
	}
	if at < o.saidAt {
		return
	}
	o.perSecond, o.saidAt = perSecond, at
	if o.reported || !o.brittle(f.now()) {
		return
	}
	o.reported = true
	f.OnBrittle(BrittleChange{
		Service: service, Brittle: true, PerSecond: perSecond, Node: node, Age: f.now() - at, WorkTime: o.workTime,
	})
	f.Broadcast("")
}

// endBrittleLocked reports the services that are no longer brittle.
func (f *Fleet) endBrittleLocked() {
	now := f.now()
	for name, o := range f.overload {
		if o.reported && !o.brittle(now) {
			o.reported = false
			f.OnBrittle(BrittleChange{Service: name})
		}
	}
}

// rejectedLocked records that the endpoint has turned away a request of this node.
func (f *Fleet) rejectedLocked(e *Endpoint, now time.Duration) {
	o := f.overload[e.Service]
	if o == nil || !o.brittle(now) {
		return
	}
	metrics.Count("brittle_rejections")
	e.overload.ownRejections++
	e.overload.ownRejectedAt = now
	e.overload.guard.Rejected(now, 1, o.perSecond, f.random.Float64())
	f.Broadcast("")
}

// brittlePacedLocked reports whether requests to the endpoint are sent in this node's slots only
// because the endpoint is brittle.
func (f *Fleet) brittlePacedLocked(e *Endpoint, now time.Duration) bool {
	o := f.overload[e.Service]
	if o == nil || !o.brittle(now) || o.workTime == 0 {
		return false
	}
	roster := f.Roster()
	if roster == nil {
		return false
	}
	if now-o.slotsAt >= slotsRefreshInterval {
		o.slots, o.slotsAt = f.totalSlotsLocked(e.Service), now
	}
	return e.overload.guard.Paced(now, o.demand.Utilization(now, len(roster.Names), o.slots, o.workTime))
}

// totalSlotsLocked returns the number of requests that the endpoints of a service run at a time.
func (f *Fleet) totalSlotsLocked(service string) int {
	slots := 0
	for _, e := range f.services[service] {
		if !e.isLeaving && !e.isEvacuated {
			slots += max(e.Slots, 1)
		}
	}
	return slots
}

// brittleAllowsLocked reports whether this node may send the endpoint a request now with regard to its
// brittleness. If not, it schedules a dispatch of waiting work for the time at which that changes.
func (f *Fleet) brittleAllowsLocked(e *Endpoint, now time.Duration) bool {
	if !f.isBrittleLocked(e.Service, now) {
		return true
	}
	at := e.overload.guard.HeldUntil()
	if f.brittlePacedLocked(e, now) {
		at = max(at, now+f.brittleSlotsLocked(e, now).Until(f.WallClock(), now, e.overload.sentAt))
	}
	if at <= now {
		return true
	}
	f.scheduleTickLocked(now, at-now)
	return false
}

// brittleSlotsLocked returns this node's slots at a brittle endpoint. The roster is known.
func (f *Fleet) brittleSlotsLocked(e *Endpoint, now time.Duration) pace.Slots {
	roster := f.Roster()
	if e.overload.roster != roster {
		e.overload.rank, e.overload.roster = pace.Rank(f.Name, roster.Names, uint32(e.key)), roster
	}
	rate := brittle.Rate(e.Slots, f.overload[e.Service].workTime) * e.overload.guard.Share(now)
	return pace.Slots{Rank: e.overload.rank, Nodes: len(roster.Names), PerSecond: rate, Length: brittle.SlotLength(e.Slots, rate)}
}

// OwnBrittle returns the services that recently reported to this node that their endpoints are
// brittle, for broadcast to the other nodes.
func (f *Fleet) OwnBrittle() []BrittleReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var reports []BrittleReport
	for name, o := range f.overload {
		if age := now - o.ownSaidAt; o.ownSaidAt != 0 && age < brittleMemory {
			reports = append(reports, BrittleReport{Service: name, PerSecond: o.perSecond, Age: age})
		}
	}
	return reports
}

// OwnRejections returns how many requests of this node the endpoints of brittle services have turned
// away, for broadcast to the other nodes.
func (f *Fleet) OwnRejections() []RejectionReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var reports []RejectionReport
	for name, o := range f.overload {
		if !o.brittle(now) {
			continue
		}
		for _, e := range f.services[name] {
			if e.overload.ownRejectedAt != 0 && now-e.overload.ownRejectedAt < rejectionBroadcastTime && len(reports) < maxBroadcastRejections {
				reports = append(reports, RejectionReport{Key: e.key, Count: e.overload.ownRejections})
			}
		}
	}
	return reports
}

// RecordRemoteBrittle records that endpoints of a service have reported to another node that they are
// brittle.
func (f *Fleet) RecordRemoteBrittle(node string, b BrittleReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.Age < brittleMemory {
		f.recordBrittleLocked(b.Service, b.PerSecond, f.now()-b.Age, node)
	}
}

// RecordRemoteRejections records how many requests of another node an endpoint has turned away.
func (f *Fleet) RecordRemoteRejections(node string, r RejectionReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byKey[r.Key]
	if e == nil {
		return
	}
	before := e.overload.remoteRejections[node]
	if r.Count == before {
		return
	}
	if e.overload.remoteRejections == nil {
		e.overload.remoteRejections = make(map[string]uint32)
	}
	e.overload.remoteRejections[node] = r.Count
	fresh := r.Count - before
	if r.Count < before {
		// The node has restarted and counts from 0.
		fresh = r.Count
	}
	o := f.overloadLocked(e.Service)
	e.overload.guard.Rejected(f.now(), int(min(fresh, maxFreshRejections)), o.perSecond, f.random.Float64())
}

// maxFreshRejections bounds the rejections that one datagram can add.
const maxFreshRejections = 16
