package node

import (
	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/routing"
)

// applyConfigurationListing applies a full listing of the operator's table.
func (n *Node) applyConfigurationListing(l platform.Listing, confirmation knowledge.Confirmation) {
	n.observeEra(l.Era, "store")
	for _, row := range l.Rows {
		if row.Key == platform.KeyConfiguration {
			n.applyConfiguration(knowledge.Snapshot{Revision: row.Revision(), Raw: row.Value})
			n.confirmByStore(row.Revision(), confirmation)
		}
	}
	n.applyEvacuationListing(l)
}

// applyConfigurationChanges applies changes of the operator's table. If none of them is a new
// configuration, it confirms the known version.
func (n *Node) applyConfigurationChanges(l platform.Listing, confirmation knowledge.Confirmation) {
	known, _ := n.config.Current()
	confirmed := known.Revision
	for _, row := range l.Rows {
		if row.Key == platform.KeyConfiguration && !row.Deleted {
			n.applyConfiguration(knowledge.Snapshot{Revision: row.Revision(), Raw: row.Value, Written: true})
			confirmed = row.Revision()
		}
	}
	if confirmed.Era == l.Era {
		n.confirmByStore(confirmed, confirmation)
	}
	n.applyEvacuationChanges(l.Rows)
}

// confirmByStore confirms the known configuration by an answer of the store. After a restoration, a
// configuration that may come from the copy confirms nothing while the operator's last one may still
// be missing: the operator may have revoked a key in it.
func (n *Node) confirmByStore(revision platform.Revision, confirmation knowledge.Confirmation) {
	known, _ := n.config.Current()
	if known.Written || n.restorations.GraceRemaining() == 0 {
		n.config.Confirm(revision, confirmation)
	}
}

// applyConfiguration decodes and installs a configuration, unless a newer one is known.
func (n *Node) applyConfiguration(s knowledge.Snapshot) {
	known, _ := n.config.Current()
	if s.Revision.Era == known.Revision.Era && !s.Revision.NewerThan(known.Revision) {
		if s.Revision == known.Revision {
			n.config.Apply(s)
		}
		return
	}
	n.configKnownSince.CompareAndSwap(0, int64(boottime.Now()))
	c, err := platform.DecodeConfiguration(s.Raw)
	if err != nil {
		n.log.Error("stored configuration not readable; keeping the previous one", zap.Int64("row", s.Revision.Version),
			zap.Int64("era", s.Revision.Era), zap.Error(err))
		return
	}
	s.Table = routing.NewTable(c)
	if !n.config.Apply(s) {
		// Another source may have told of the first configuration meanwhile.
		known, _ = n.config.Current()
		if s.Revision.Era != known.Revision.Era {
			metrics.Count("configuration_outdated")
			n.log.Info("configuration not applied: the known one is newer", zap.Int64("config_version", c.Version),
				zap.Int64("row", s.Revision.Version), zap.Int64("era", s.Revision.Era), zap.Int64("known", known.Number()),
				zap.Int64("known_row", known.Revision.Version), zap.Int64("known_era", known.Revision.Era))
		}
		return
	}
	n.log.Info("configuration applied", zap.Int64("config_version", c.Version), zap.Int64("row", s.Revision.Version),
		zap.Int64("era", s.Revision.Era), zap.Int("routes", len(c.Routes)), zap.Int("workspaces_keys", len(c.Keys)))
	n.warnUnknownRegions(c)
	n.callerServer.apply(c.Limits)
	n.reach.Forget(func(service string) bool { return c.Services[service] != nil })
	n.announceReadiness()
	n.changes.notify()
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
