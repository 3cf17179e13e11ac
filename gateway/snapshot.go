package gateway

import (
	"slices"
	"strings"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/peer/peerv1"
)

// snapshot is the state that requests read: the configuration in force and the members, with lookup
// tables. It is immutable.
type snapshot struct {
	version    uint64
	config     *config.Config
	members    []*peerv1.Member
	workspaces map[string]*config.WorkspaceSpec // by hex SHA-256 of a caller key
	models     map[string]*config.ModelSpec
	endpoints  map[string]*config.EndpointSpec
	routes     []*config.RouteSpec // longest prefix first
}

func newSnapshot(version uint64, cfg *config.Config, members []*peerv1.Member) *snapshot {
	s := &snapshot{
		version:    version,
		config:     cfg,
		members:    members,
		workspaces: make(map[string]*config.WorkspaceSpec),
		models:     make(map[string]*config.ModelSpec),
		endpoints:  make(map[string]*config.EndpointSpec),
	}
	for i := range cfg.Workspaces {
		for _, digest := range cfg.Workspaces[i].KeySHA256 {
			s.workspaces[strings.ToLower(digest)] = &cfg.Workspaces[i]
		}
	}
	for i := range cfg.Models {
		s.models[cfg.Models[i].Name] = &cfg.Models[i]
	}
	for i := range cfg.Endpoints {
		s.endpoints[cfg.Endpoints[i].Name] = &cfg.Endpoints[i]
	}
	for i := range cfg.Routes {
		s.routes = append(s.routes, &cfg.Routes[i])
	}
	slices.SortStableFunc(s.routes, func(a, b *config.RouteSpec) int { return len(b.Prefix) - len(a.Prefix) })
	return s
}

// gateways returns the VM IDs of the gateways that may send calls. These include members that are
// considered dead, since such a gateway may only be partitioned and still running.
func (s *snapshot) gateways() []string {
	var ids []string
	for _, m := range s.members {
		if m.GetGatewayAddress() != "" {
			ids = append(ids, m.GetId())
		}
	}
	return ids
}

// withMembers returns a copy of the snapshot with the given members.
func (s *snapshot) withMembers(members []*peerv1.Member) *snapshot {
	c := *s
	c.members = members
	return &c
}

func (s *snapshot) mayUse(ws *config.WorkspaceSpec, model string) bool {
	if _, ok := s.models[model]; !ok {
		return false
	}
	return len(ws.Models) == 0 || slices.Contains(ws.Models, model)
}

// route returns the route with the longest prefix that matches path up to a path separator or its
// end.
func (s *snapshot) route(path string) (*config.RouteSpec, bool) {
	for _, r := range s.routes {
		rest, ok := strings.CutPrefix(path, strings.TrimSuffix(r.Prefix, "/"))
		if ok && (rest == "" || rest[0] == '/') {
			return r, true
		}
	}
	return nil, false
}
