package node

import (
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/routing"
)

// applyConfigurationListing applies a full listing of the operator's table.
func (n *Node) applyConfigurationListing(l platform.Listing, confirmation knowledge.Confirmation) {
	for _, row := range l.Rows {
		if row.Key == platform.KeyConfiguration {
			n.applyConfiguration(row.Value, row.Version, confirmation)
		}
	}
	n.applyEvacuationListing(l)
}

// applyConfigurationChanges applies changes of the operator's table. If none of them is a new
// configuration, it confirms the known version.
func (n *Node) applyConfigurationChanges(l platform.Listing, confirmation knowledge.Confirmation) {
	found := false
	for _, row := range l.Rows {
		if row.Key == platform.KeyConfiguration && !row.Deleted {
			n.applyConfiguration(row.Value, row.Version, confirmation)
			found = true
		}
	}
	if !found {
		known, _ := n.config.Current()
		n.config.Confirm(known.RowVersion, confirmation)
	}
	n.applyEvacuationChanges(l.Rows)
}

func (n *Node) applyConfiguration(data []byte, rowVersion int64, confirmation knowledge.Confirmation) {
	if known, _ := n.config.Current(); rowVersion <= known.RowVersion {
		if rowVersion < known.RowVersion {
			metrics.Count("configuration_outdated")
			n.log.Info("configuration not applied: its row is older than the known one", zap.Int64("row", rowVersion),
				zap.Int64("known", known.RowVersion))
		}
		n.config.Confirm(rowVersion, confirmation)
		return
	}
	c, err := platform.DecodeConfiguration(data)
	if err != nil {
		n.log.Error("stored configuration not readable; keeping the previous one", zap.Int64("row", rowVersion), zap.Error(err))
		return
	}
	if n.config.Apply(routing.NewTable(c), rowVersion, data, confirmation) {
		n.log.Info("configuration applied", zap.Int64("config_version", c.Version), zap.Int64("row", rowVersion),
			zap.Int("routes", len(c.Routes)), zap.Int("workspaces_keys", len(c.Keys)))
		n.warnUnknownRegions(c)
		n.callerServer.apply(c.Limits)
		n.announceReadiness()
		n.changes.notify()
	}
}

// warnUnknownRegions logs each region that a route or workspace is bound to but that the settings
// do not name. Work bound only to such regions cannot run.
func (n *Node) warnUnknownRegions(c *routing.Configuration) {
	known := make(map[string]bool)
	for _, region := range n.settings.Regions {
		known[region] = true
	}
	warn := func(field, name string, regions []string) {
		for _, region := range regions {
			if !known[region] {
				n.log.Warn("region is not known", zap.String(field, name), zap.String("region", region),
					zap.Int64("config_version", c.Version))
			}
		}
	}
	for i := range c.Routes {
		warn("route", c.Routes[i].Name, c.Routes[i].Regions)
	}
	warned := make(map[*routing.Workspace]bool)
	for _, ws := range c.Keys {
		if !warned[ws] {
			warned[ws] = true
			warn("workspace", ws.Name, ws.Regions)
		}
	}
}
