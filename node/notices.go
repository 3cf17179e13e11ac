package node

import (
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/metrics"
)

// noticed logs a change of what an endpoint says of itself.
func (n *Node) noticed(c fleet.NoticeChange) {
	fields := []zap.Field{
		zap.String("endpoint", c.Instance.ID), zap.Int64("born", c.Instance.Born), zap.String("service", c.Instance.Service),
		zap.String("address", c.Instance.Address), zap.String("request", c.Request),
	}
	if c.Notice.Fault != nil {
		metrics.Count("endpoint_notice_unreadable")
		n.log.Warn("endpoint's answer not readable", append(fields, zap.Error(c.Notice.Fault))...)
	}
	if c.Notice.Limited != c.Before.Limited || c.Notice.Limit != c.Before.Limit {
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
