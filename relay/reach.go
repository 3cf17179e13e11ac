package relay

import (
	"context"
	"errors"
	"time"

	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/reach"
)

// silenceThreshold is the time without an answer to a plain call after which its endpoint counts as
// silent for the question whether this node reaches the service.
const silenceThreshold = 500 * time.Millisecond

// watchSilence records the endpoint as silent unless stop is called within the time in which an
// endpoint of the service usually answers.
func (j *job) watchSilence(in fleet.Instance) (stop func()) {
	if j.Reach == nil {
		return func() {}
	}
	threshold := silenceThreshold
	if j.r.Service.Engine != nil {
		threshold = silentThreshold
	}
	timer := time.AfterFunc(threshold, func() { j.Reach.RecordFailure(in, reach.Silent) })
	return func() { timer.Stop() }
}

// recordReach records what an exchange shows about the reach of this node. A connection from the
// pool that was closed says nothing: endpoints close idle connections.
func (j *job) recordReach(in fleet.Instance, resp *h1.Response, err error) {
	if j.Reach == nil {
		return
	}
	if err == nil {
		j.Reach.RecordAnswer(in, resp.NewConnection)
		return
	}
	var failed *h1.Error
	if errors.Is(err, context.Canceled) || errors.Is(err, fleet.ErrRestarted) || !errors.As(err, &failed) {
		return
	}
	switch {
	case failed.Sent && errors.Is(err, context.DeadlineExceeded):
		j.Reach.RecordFailure(in, reach.Silent)
	case failed.NewConnection:
		j.Reach.RecordFailure(in, reach.Unconnected)
	}
}
