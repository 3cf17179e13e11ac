package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/endpoint/h1"
	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/platform"
)

// logNoticeChange logs a change in what an endpoint reports about itself.
func (n *Node) logNoticeChange(c fleet.NoticeChange) {
	fields := []zap.Field{
		zap.String("endpoint", c.Instance.ID), zap.Int64("born", c.Instance.StartedAtMS), zap.String("service", c.Instance.Service),
		zap.String("address", c.Instance.Address), zap.String("request", c.Request),
		zap.String("node", c.Node), zap.Duration("age", c.Age),
	}
	if err := c.Notice.Err(); err != nil {
		metrics.Count("endpoint_notice_unreadable")
		n.log.Warn("endpoint's answer not readable", append(fields, zap.Error(err))...)
	}
	if c.Notice.Leaving && !c.Before.Leaving {
		metrics.Count("endpoint_leaves_by_answer")
		n.log.Info("endpoint leaves by its answer", fields...)
	}
	if c.Notice.Pause > 0 {
		metrics.Count("endpoint_pauses")
		n.log.Info("endpoint asks for a pause", append(fields, zap.Duration("for", c.Notice.Pause))...)
	}
	if c.Notice.LimitErr == nil && (c.Notice.Limited != c.Before.Limited || c.Notice.Limit != c.Before.Limit) {
		n.logLimitChange(c, fields)
	}
}

func (n *Node) logLimitChange(c fleet.NoticeChange, fields []zap.Field) {
	if !c.Notice.Limited {
		metrics.Count("endpoint_limits_lifted")
		n.log.Info("endpoint names no limit any more", append(fields, zap.Float64("before", c.Before.Limit))...)
		return
	}
	metrics.Count("endpoint_limits_named")
	n.log.Info("endpoint names a limit", append(fields, zap.Float64("requests_per_second", c.Notice.Limit))...)
}

// applyPeerLimits applies the limits that endpoints have announced to another node.
func (n *Node) applyPeerLimits(s *exchangev1.NodeState) {
	if len(s.GetLimits()) == 0 {
		return
	}
	reports := make([]fleet.LimitReport, 0, len(s.GetLimits()))
	for _, l := range s.GetLimits() {
		reports = append(reports, fleet.LimitReport{
			Key: fleet.EndpointKey(l.GetKey()), Limited: l.GetLimited(), Limit: l.GetRequestsPerSecond(),
			Age: time.Duration(l.GetAgeMs()) * time.Millisecond,
		})
	}
	n.fleet.RecordRemoteLimits(s.GetAddress(), reports)
}

// logBrittleChange logs that the endpoints of a service are brittle, or no longer are.
func (n *Node) logBrittleChange(c fleet.BrittleChange) {
	if !c.Brittle {
		n.log.Info("endpoints are no longer brittle", zap.String("service", c.Service))
		return
	}
	metrics.Count("services_brittle")
	n.log.Info("endpoints are brittle", zap.String("service", c.Service), zap.Float64("rejections_per_second", c.PerSecond),
		zap.String("node", c.Node), zap.Duration("age", c.Age), zap.Duration("work_time", c.WorkTime))
}

// applyPeerBrittle applies which services are brittle according to another node, and how many of its
// requests their endpoints have turned away.
func (n *Node) applyPeerBrittle(s *exchangev1.NodeState) {
	for _, b := range s.GetBrittle() {
		n.fleet.RecordRemoteBrittle(s.GetAddress(), fleet.BrittleReport{
			Service: b.GetService(), PerSecond: b.GetRejectionsPerSecond(), Age: time.Duration(b.GetAgeMs()) * time.Millisecond,
		})
	}
	for _, r := range s.GetRejections() {
		n.fleet.RecordRemoteRejections(s.GetAddress(), fleet.RejectionReport{Key: fleet.EndpointKey(r.GetKey()), Count: r.GetCount()})
	}
}

// applyPeerLeaving applies which endpoints have announced to another node that they are about to
// stop.
func (n *Node) applyPeerLeaving(s *exchangev1.NodeState) {
	if len(s.GetAnnouncedLeaving()) == 0 {
		return
	}
	keys := make([]fleet.EndpointKey, 0, len(s.GetAnnouncedLeaving()))
	for _, key := range s.GetAnnouncedLeaving() {
		keys = append(keys, fleet.EndpointKey(key))
	}
	n.fleet.RecordRemoteLeaving(s.GetAddress(), keys)
}

// logSkippedAnswer logs an answer that is not taken for that of the request that was sent last on its
// connection.
func (n *Node) logSkippedAnswer(a h1.SkippedAnswer) {
	metrics.Count("answers_skipped")
	n.log.Info("answer skipped", zap.String("request", platform.IDOf(a.Request.Header)), zap.String("path", a.Request.Target),
		zap.String("address", a.Address), zap.Int("status", a.Status), zap.String("answer_to", platform.IDOf(a.Header)),
		zap.String("connection", a.Sending.LocalAddress), zap.Int("exchanges", a.Sending.Exchanges),
		zap.Duration("connection_age", a.Sending.ConnectionAge))
}
