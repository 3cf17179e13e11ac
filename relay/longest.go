package relay

import (
	"time"

	"github.com/crocusreel/crocusreel/drain"
	"github.com/crocusreel/crocusreel/routing"
	"github.com/crocusreel/crocusreel/runtimes"
)

// How long the runs of requests take, which decides what a node that leaves still sends.

const (
	// ordinaryFirstEventTime is the time until the first event on a crowded engine, where the prefill
	// waits for that of other prompts, ordinaryTimePerToken the time for each token there.
	ordinaryFirstEventTime = 2 * time.Second
	ordinaryTimePerToken   = 12 * time.Millisecond
)

// LongestRun returns the longest time that a run may take which begins now. It is at least what the
// targets of the route allow.
func (l *Relay) LongestRun(service *routing.Service, route *routing.Route, s Size) drain.LongestRun {
	kind := runtimes.Kind{Service: service.Name, Route: route.Name}
	if route.Kind != routing.Streaming || s.MaxOutput == 0 {
		longest, known := l.Runtimes.LongestRun(kind, route.TargetLatency)
		return drain.LongestRun{Time: longest, Known: known}
	}
	perEvent := 1
	if service.Engine != nil {
		perEvent = max(service.Engine.TokensPerEvent, 1)
	}
	floor := runtimes.Pace{
		First: max(ordinaryFirstEventTime, route.TargetLatency),
		Gap:   max(time.Duration(perEvent)*ordinaryTimePerToken, route.GapTarget),
	}
	// Callers' estimates are right at the median and often far too low.
	longest, known := l.Runtimes.LongestStream(kind, s.MaxOutput/perEvent+1, floor)
	return drain.LongestRun{Time: longest, Known: known, Sized: true}
}

// beginRun records that the request is sent. A stream that goes on at another endpoint is one run.
func (j *job) beginRun() {
	if j.timing != nil && j.sink.Begun() {
		return
	}
	j.endRun(false)
	j.timing = j.Runtimes.Begin(runtimes.Kind{Service: j.r.Service.Name, Route: j.r.Route.Name})
}

// endRun records that the run has ended, and whether by its whole answer.
func (j *job) endRun(completed bool) {
	j.timing.End(completed)
	j.timing = nil
}
