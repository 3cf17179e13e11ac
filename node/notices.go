package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// noticed logs a change of what an endpoint says of itself.
func (n *Node) noticed(c fleet.NoticeChange) {
	fields := []zap.Field{
		zap.String("endpoint", c.Instance.ID), zap.Int64("born", c.Instance.StartedAtMS), zap.String("service", c.Instance.Service),
		zap.String("address", c.Instance.Address), zap.String("request", c.Request),
		zap.String("node", c.Node), zap.Duration("age", c.Age),
	}
	if err := c.Notice.Fault(); err != nil {
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
	if c.Notice.LimitFault == nil && (c.Notice.Limited != c.Before.Limited || c.Notice.Limit != c.Before.Limit) {
		n.limitChanged(c, fields)
	}
}

func (n *Node) limitChanged(c fleet.NoticeChange, fields []zap.Field) {
	if !c.Notice.Limited {
		metrics.Count("endpoint_limits_lifted")
		n.log.Info("endpoint names no limit any more", append(fields, zap.Float64("before", c.Before.Limit))...)
		return
	}
	metrics.Count("endpoint_limits_named")
	n.log.Info("endpoint names a limit", append(fields, zap.Float64("requests_per_second", c.Notice.Limit))...)
}

// heardLimits takes what endpoints said of their limits to another node.
func (n *Node) heardLimits(s *exchangev1.NodeState) {
	if len(s.GetLimits()) == 0 {
		return
	}
	news := make([]fleet.LimitNews, 0, len(s.GetLimits()))
	for _, l := range s.GetLimits() {
		news = append(news, fleet.LimitNews{
			Key: fleet.EndpointKey(l.GetKey()), Limited: l.GetLimited(), Limit: l.GetRequestsPerSecond(),
			Age: time.Duration(l.GetAgeMs()) * time.Millisecond,
		})
	}
	n.fleet.NoteRemote(s.GetAddress(), news)
}

// heardAnnounced takes which endpoints have said to another node that they are about to stop.
func (n *Node) heardAnnounced(s *exchangev1.NodeState) {
	if len(s.GetAnnouncedLeaving()) == 0 {
		return
	}
	keys := make([]fleet.EndpointKey, 0, len(s.GetAnnouncedLeaving()))
	for _, key := range s.GetAnnouncedLeaving() {
		keys = append(keys, fleet.EndpointKey(key))
	}
	n.fleet.NoteRemoteLeaving(s.GetAddress(), keys)
}
