package node

import (
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/routing"
)

// configurationListed takes the operator's table.
func (n *Node) configurationListed(l platform.Listing, seen knowledge.Confirmation) {
	for _, row := range l.Rows {
		if row.Key == platform.KeyConfiguration {
			n.applyConfiguration(row.Value, row.Version, seen)
		}
	}
	n.evacuationsListed(l)
}

// configurationChanged takes changes of the operator's table. Without one for the
// configuration, the known version is confirmed.
func (n *Node) configurationChanged(l platform.Listing, seen knowledge.Confirmation) {
	found := false
	for _, row := range l.Rows {
		if row.Key == platform.KeyConfiguration && !row.Deleted {
			n.applyConfiguration(row.Value, row.Version, seen)
			found = true
		}
	}
	if !found {
		known, _ := n.config.Current()
		n.config.Confirm(known.RowVersion, seen)
	}
	n.evacuationsChanged(l.Rows)
}

func (n *Node) applyConfiguration(data []byte, row int64, seen knowledge.Confirmation) {
	if known, _ := n.config.Current(); row <= known.RowVersion {
		n.config.Confirm(row, seen)
		return
	}
	c, err := platform.DecodeConfiguration(data)
	if err != nil {
		n.log.Error("configuration not readable, the last one stays", zap.Int64("row", row), zap.Error(err))
		return
	}
	if n.config.Apply(routing.NewTable(c), row, data, seen) {
		n.log.Info("configuration applied", zap.Int64("config_version", c.Version), zap.Int64("row", row),
			zap.Int("routes", len(c.Routes)), zap.Int("workspaces_keys", len(c.Keys)))
		n.warnOfRegions(c)
		n.limits.apply(c.Limits)
		n.tellReadiness()
		n.news.tell()
	}
}

// warnOfRegions logs regions to which work is bound and that the settings do not name: such
// work runs nowhere.
func (n *Node) warnOfRegions(c *routing.Configuration) {
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
	told := make(map[*routing.Workspace]bool)
	for _, ws := range c.Keys {
		if !told[ws] {
			told[ws] = true
			warn("workspace", ws.Name, ws.Regions)
		}
	}
}
