// Package config defines the service configuration that operators write: a base file and one overlay
// per data centre, which are merged and validated as a whole.
package config

// Document is the configuration as it is stored and distributed: the operators' texts, unmerged.
type Document struct {
	// Base is the TOML text of the base file.
	Base string `json:"base"`
	// Overlays holds the TOML text of each overlay, keyed by data centre.
	Overlays map[string]string `json:"overlays,omitempty"`
}

// Config is the effective configuration of one data centre: the base with the data centre's overlay
// applied. It is immutable once compiled.
type Config struct {
	Service ServiceSpec `toml:"service"`
	Weights WeightSpec  `toml:"weights"`
	Limits  LimitSpec   `toml:"limits"`
	// Scheduling selects the policy that admits work to engines.
	Scheduling SchedulingSpec `toml:"scheduling"`
	// Entries of Models, Workspaces, Endpoints and Routes are merged with an overlay's entries of
	// the same name.
	Models     []ModelSpec     `toml:"models"`
	Workspaces []WorkspaceSpec `toml:"workspaces"`
	Endpoints  []EndpointSpec  `toml:"endpoints"`
	Routes     []RouteSpec     `toml:"routes"`
}

// ServiceSpec holds the name of the service and its data centres.
type ServiceSpec struct {
	Name string `toml:"name" required:"yes" format:"name"`
	// DataCentres lists the data centres that endpoints and overlays may name. An empty list allows
	// any.
	DataCentres []string `toml:"data_centres" format:"name"`
}

// WeightSpec holds the relative weights of the two costs that scheduling trades off at this data
// centre. Only their ratio matters. Both must be >= 0 and one must be > 0. Defaults: 1 and 1.
type WeightSpec struct {
	// Stall is the weight of one second in which a started answer makes no progress.
	Stall float64 `toml:"stall" default:"1" min:"0"`
	// Preemption is the weight of one preemption.
	Preemption float64 `toml:"preemption" default:"1" min:"0"`
}

// LimitSpec holds the limits of queues and retries.
type LimitSpec struct {
	// QueueLength is the number of requests per model that may wait at one scheduler in each class
	// of work. If more wait, the excess is refused with queue_full. Models that share engines share
	// a queue, whose limit is the sum over its models. Default: 512.
	QueueLength int `toml:"queue_length" default:"512" min:"1" max:"1000000"`
	// QueueWaitMS is the maximum wait in a queue, in milliseconds. Default: 30000.
	QueueWaitMS int `toml:"queue_wait_ms" default:"30000" min:"1" max:"3600000"`
	// Attempts is the maximum number of attempts at endpoints for one request. Default: 3.
	Attempts int `toml:"attempts" default:"3" min:"1" max:"10"`
	// RetryRatio is the number of retries that each first attempt adds to the retry budget of its
	// workspace and, for calls to plain services, to that of the endpoint. Default: 0.1.
	RetryRatio float64 `toml:"retry_ratio" default:"0.1" min:"0" max:"1"`
	// Strikes is the number of endpoint deaths after which a request is refused with
	// suspect_request. Default: 3.
	Strikes int `toml:"strikes" default:"3" min:"1" max:"10"`
	// ShortReserve is the fraction of each engine's memory that is reserved for short work, 0 to
	// 0.5. Default: 0.1.
	ShortReserve float64 `toml:"short_reserve" default:"0.1" min:"0" max:"0.5"`
}

// Values of SchedulingSpec.Policy.
const (
	// PolicyReservation admits work by its predicted memory use. It is the default.
	PolicyReservation = "reservation"
	// PolicyWatermark admits work while an engine's memory use is below a fixed fraction.
	PolicyWatermark = "watermark"
	// PolicyRoundRobin selects the endpoints in turn.
	PolicyRoundRobin = "round_robin"
	// PolicyLeastOutstanding selects the endpoint with the fewest outstanding permits.
	PolicyLeastOutstanding = "least_outstanding"
	// PolicyPowerOfTwo selects the less loaded of two random endpoints, by reported load.
	PolicyPowerOfTwo = "power_of_two"
	// PolicyOracle is PolicyReservation with answer lengths supplied by the callers.
	PolicyOracle = "oracle"
)

// Values of SchedulingSpec.Scope.
const (
	// ScopePool uses one scheduler for all gateways of a region.
	ScopePool = "pool"
	// ScopeGateway makes each gateway schedule independently, based on delayed load reports.
	ScopeGateway = "gateway"
)

// SchedulingSpec selects the policy that admits work to engines. All policies except reservation exist
// for comparison.
type SchedulingSpec struct {
	// Policy is one of the Policy constants. Default: "reservation".
	Policy string `toml:"policy" default:"reservation" oneof:"reservation|watermark|round_robin|least_outstanding|power_of_two|oracle"`
	// Scope is one of the Scope constants. Default: "pool".
	Scope string `toml:"scope" default:"pool" oneof:"pool|gateway"`
	// Watermark is the fraction of an engine's memory up to which the baseline policies admit work,
	// 0 to 1. 0 means no limit, except for the policy "watermark", which uses 0.9 instead.
	Watermark float64 `toml:"watermark" default:"0" min:"0" max:"1"`
}

// ModelSpec describes a model that the service offers.
type ModelSpec struct {
	Name     string   `toml:"name" required:"yes" format:"name"`
	Version  string   `toml:"version" required:"yes" format:"name"`
	Adapters []string `toml:"adapters" format:"name"`
	// MinReplicas is the number of engines in a region that must keep the model. Unloads leave at
	// least one copy, even if it is 0. Default: 1.
	MinReplicas int `toml:"min_replicas" default:"1" min:"0" max:"10000"`
	// MaxTokens is the maximum length of an answer, in tokens. Default: 32768.
	MaxTokens int `toml:"max_tokens" default:"32768" min:"1" max:"10000000"`
}

// WorkspaceSpec describes a workspace: a customer's keys, permissions and share of the service.
type WorkspaceSpec struct {
	Name string `toml:"name" required:"yes" format:"name"`
	// Weight is the workspace's relative share under contention, > 0. Default: 1.
	Weight float64 `toml:"weight" default:"1" min:"0.001" max:"1000"`
	// KeySHA256 lists the hex SHA-256 digests of the workspace's caller keys, at least one. All are
	// valid at the same time, to allow key rotation.
	KeySHA256 []string `toml:"key_sha256" required:"yes" format:"sha256"`
	// Models lists the models that the workspace may use. An empty list allows all.
	Models []string `toml:"models" format:"name"`
	// MaxStreams is the maximum number of the workspace's concurrent requests at one gateway.
	// Default: 256.
	MaxStreams int `toml:"max_streams" default:"256" min:"1" max:"1000000"`
	// Priority is added to the priority of each of the workspace's requests. Default: 0.
	Priority int `toml:"priority" default:"0" min:"-10" max:"10"`
}

// EndpointKind is the kind of an endpoint: "engine" or "service".
type EndpointKind string

const (
	// KindEngine marks an inference engine.
	KindEngine EndpointKind = "engine"
	// KindService marks a plain service.
	KindService EndpointKind = "service"
)

// EndpointSpec describes one endpoint: an inference engine or an instance of a plain service.
type EndpointSpec struct {
	Name       string       `toml:"name" required:"yes" format:"name"`
	Kind       EndpointKind `toml:"kind" required:"yes" oneof:"engine|service"`
	Address    string       `toml:"address" required:"yes" format:"address"` // IP:port
	DataCentre string       `toml:"data_centre" required:"yes" format:"name"`
	Region     string       `toml:"region" required:"yes" format:"name"`
	// Models lists the models that an engine must have loaded. Controllers send it orders until its
	// state matches.
	Models []string `toml:"models" format:"name"`
	// Role is the role assigned to an engine. Default: "mixed".
	Role string `toml:"role" default:"mixed" format:"name"`
	// ChecksFence states that the engine rejects orders with an outdated fencing token.
	ChecksFence bool `toml:"checks_fence"`
	// Leaving excludes the endpoint from new work.
	Leaving bool `toml:"leaving"`
}

// RouteSpec maps a path prefix to endpoints of a plain service.
type RouteSpec struct {
	Name string `toml:"name" required:"yes" format:"name"`
	// Prefix is the prefix of the path after /services, such as "/beds".
	Prefix string `toml:"prefix" required:"yes"`
	// Endpoints lists the names of endpoints of kind "service".
	Endpoints []string `toml:"endpoints" required:"yes" format:"name"`
	// NonIdempotentMethods lists the HTTP methods whose calls may run at most once. Default: POST,
	// PUT, PATCH and DELETE.
	NonIdempotentMethods []string `toml:"non_idempotent_methods" default:"POST|PUT|PATCH|DELETE" oneof:"GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS"`
	// TimeoutMS is the timeout of one call, in milliseconds. Default: 5000.
	TimeoutMS int `toml:"timeout_ms" default:"5000" min:"1" max:"3600000"`
}
