package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// recordRefused records that the placement's endpoint refused a connection. The first refusal of a
// suspension is reported to the other nodes if this node reaches another endpoint of the service.
// The comparison runs in the background, so that the request goes on to another endpoint meanwhile.
func (j *job) recordRefused(p *fleet.Placement) {
	if suspension := j.Fleet.RecordRefused(p.Instance()); suspension > 0 {
		go j.compareAndReport(p.Instance(), j.r.ID, suspension)
	}
}

// compareAndReport reports an endpoint that refused a connection, unless this node reaches no other
// endpoint of its service either: it is then probably cut off itself.
func (l *Relay) compareAndReport(in fleet.Instance, request string, suspension time.Duration) {
	others := l.Fleet.ComparableEndpoints(in, maxComparedEndpoints)
	reported := l.connectsToAny(context.Background(), others) && l.Fleet.ReportRefused(in)
	if reported {
		metrics.Count("unreachable_reported")
	}
	l.Log.Info("endpoint refuses connections", zap.String("request", request), zap.String("endpoint", in.ID),
		zap.String("service", in.Service), zap.String("address", in.Address), zap.Duration("for", suspension),
		zap.Int("compared", len(others)), zap.Bool("reported", reported))
}
