package routing

import (
	"hash/fnv"
	"net"
	"slices"
	"sort"
	"strings"
)

// Table looks up routes in one configuration. It is immutable.
type Table struct {
	*Configuration
	hosts map[string][]*Route
}

// NewTable returns a table with the routes of a configuration indexed by host.
func NewTable(c *Configuration) *Table {
	t := &Table{Configuration: c, hosts: make(map[string][]*Route)}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t
}

// Match returns the route of the host with the longest prefix that matches the path, or nil if
// there is none. Host may include a port.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Choose selects the service for a request by the weights of the route. The choice depends on the
// request ID only, so that a retry after a lost connection goes to the same service. It returns nil
// if the route has no service with a positive weight, or the chosen one is not configured.
func (t *Table) Choose(r *Route, requestID string) *Service {
	total := 0
	for _, b := range r.Backends {
		total += max(b.Weight, 0)
	}
	if total == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(requestID))
	point := int(h.Sum32() % uint32(total))
	for _, b := range r.Backends {
		point -= max(b.Weight, 0)
		if point < 0 {
			return t.Services[b.Service]
		}
	}
	return nil
}

// Rank returns the rank of a request; lower ranks are served first. The priority of the workspace
// takes precedence over that of the route.
func Rank(r *Route, ws *Workspace) int {
	const routePriorities = 100
	rank := min(max(r.Priority, 0), routePriorities-1)
	if ws != nil && ws.Ranked {
		rank += ws.Priority * routePriorities
	}
	return rank
}

// Regions returns the regions in which a request may run. Bound is false if it may run in any
// region. If both route and workspace name regions, only those named by both are returned; there
// may be none.
func Regions(r *Route, ws *Workspace) (regions []string, bound bool) {
	if ws == nil || len(ws.Regions) == 0 {
		return r.Regions, len(r.Regions) > 0
	}
	if len(r.Regions) == 0 {
		return ws.Regions, true
	}
	for _, region := range r.Regions {
		if slices.Contains(ws.Regions, region) {
			regions = append(regions, region)
		}
	}
	return regions, true
}

// HostRegions returns the regions to which the routes of a host are bound; empty if none is bound.
// A region may occur more than once.
func (t *Table) HostRegions(host string) []string {
	var regions []string
	for _, r := range t.hosts[hostname(host)] {
		regions = append(regions, r.Regions...)
	}
	return regions
}
