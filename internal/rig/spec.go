package rig

import "github.com/crocusreel/crocusreel/settings"

// Spec describes the system that a rig starts. Dir, Bin and VMs are required, except that a rig with
// NoConfig needs no VMs.
type Spec struct {
	// Dir is the directory for settings files, journals and logs.
	Dir string
	// Bin is the directory of the compiled programs.
	Bin      string
	VMs      []VMSpec
	Engines  []EngineSpec
	Services []ServiceSpec
	// PlatformArgs are additional arguments for the stand-in of the platform.
	PlatformArgs []string
	// Links adds a proxy on every link. Otherwise processes connect directly.
	Links bool
	// Base is TOML text that is added to the base file. The rig itself writes the endpoints,
	// the routes, and one model for each model name of the engines that Base does not define.
	// If Base has no workspace, the rig adds DefaultWorkspace.
	Base string
	// Overlays contains the texts of the overlays by data centre.
	Overlays map[string]string
	// EditGateway and EditController, if not nil, can modify the settings of each process.
	EditGateway    func(*settings.Gateway)
	EditController func(*settings.Controller)
	// NoConfig starts the system without a configuration. Start then does not wait for gateways
	// to become ready.
	NoConfig bool
}

// VMSpec describes one VM with a gateway and a controller. Region defaults to "r1".
type VMSpec struct {
	ID, DataCentre, Region string
}

// EngineSpec describes one engine stand-in. Region defaults to "r1".
type EngineSpec struct {
	Name, DataCentre, Region string
	Models                   []string
	ChecksFence              bool
	// Args are additional arguments for the stand-in.
	Args []string
}

// ServiceSpec describes one stand-in of a plain service. Region defaults to "r1".
type ServiceSpec struct {
	Name, DataCentre, Region string
	// Prefix is the path prefix of the route. Services with the same prefix share a route.
	Prefix string
	// NonIdempotentMethods are the non-idempotent methods of the route. If empty, the default
	// applies.
	NonIdempotentMethods []string
	Args                 []string
}

const (
	// DefaultWorkspace is the workspace that the rig adds if Base has none, and DefaultKey the
	// API key of its callers.
	DefaultWorkspace = "desk"
	DefaultKey       = "desk-key"
	// OperatorKey is the operator key that every controller of a rig accepts.
	OperatorKey = "operator-key"

	// ModelVersion is the version of every model that the rig adds to the configuration.
	ModelVersion = "1"

	defaultRegion = "r1"
)
