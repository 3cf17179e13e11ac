// Package settings defines the TOML settings file of each process. A process checks the whole file at
// start and reports all mistakes at once.
package settings

import "cmp"

// VM identifies the VM on which a process runs, and its location.
type VM struct {
	// ID is the VM's ID. It is unique across all regions.
	ID         string `toml:"id" required:"yes" format:"name"`
	DataCentre string `toml:"data_centre" required:"yes" format:"name"`
	Region     string `toml:"region" required:"yes" format:"name"`
}

// Platform configures the connection to the platform.
type Platform struct {
	// Address is the IP:port of the platform's service.
	Address string `toml:"address" required:"yes" format:"address"`
	// TimeoutMS is the timeout of one call, in milliseconds. Default: 2000.
	TimeoutMS int `toml:"timeout_ms" default:"2000" min:"10" max:"60000"`
}

// Log configures the log level: debug, info (default), warn or error.
type Log struct {
	Level string `toml:"level" default:"info" oneof:"debug|info|warn|error"`
}

// TLS holds the paths of a listener's certificate, of its key and of the CA certificate that verifies
// the other side's certificates. TLS is disabled if all are empty. Files are reloaded when they change.
type TLS struct {
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
	CAFile   string `toml:"ca_file"`
}

// Gateway is the settings file of crocusreel-gateway.
type Gateway struct {
	VM       VM       `toml:"vm"`
	Platform Platform `toml:"platform"`
	Log      Log      `toml:"log"`
	// CallerAddress is the IP:port for callers. It is the address that is advertised to them.
	CallerAddress string `toml:"caller_address" required:"yes" format:"address"`
	// PeerAddress is the IP:port for other gateways and for /debug/vars.
	PeerAddress string `toml:"peer_address" required:"yes" format:"address"`
	// CallerListen and PeerListen are the IP:port to listen on if they differ from the advertised
	// addresses, for example behind a port mapping.
	CallerListen string `toml:"caller_listen" format:"address"`
	PeerListen   string `toml:"peer_listen" format:"address"`
	// ControllerAddress is the peer address of the controller on the same VM.
	ControllerAddress string `toml:"controller_address" required:"yes" format:"address"`
	// HandleKeys are the keys of resume handles, each of the form "name:hex" with at least 32 bytes.
	// The first key signs; all keys verify. They must be the same at all gateways.
	HandleKeys []string `toml:"handle_keys" required:"yes" secret:"yes"`
	// AddressTTLMS is how long callers may cache the list of gateway addresses, in milliseconds.
	// Default: 5000.
	AddressTTLMS int `toml:"address_ttl_ms" default:"5000" min:"100" max:"600000"`
	// DrainLimitMS is the maximum duration of a graceful shutdown, in milliseconds. Default: 600000.
	DrainLimitMS int `toml:"drain_limit_ms" default:"600000" min:"0" max:"86400000"`
	// MaxBodyBytes is the maximum size of a request body. Default: 4194304.
	MaxBodyBytes int64 `toml:"max_body_bytes" default:"4194304" min:"1024" max:"1073741824"`
	// MaxHeaderMS limits the time in which a caller has to send its headers, in milliseconds.
	// Default: 5000.
	MaxHeaderMS int `toml:"max_header_ms" default:"5000" min:"100" max:"60000"`
	CallerTLS   TLS `toml:"caller_tls"`
	PeerTLS     TLS `toml:"peer_tls"`
}

// Controller is the settings file of crocusreel-controller.
type Controller struct {
	VM       VM       `toml:"vm"`
	Platform Platform `toml:"platform"`
	Log      Log      `toml:"log"`
	// PeerAddress is the IP:port for other controllers, for the gateway on the same VM and for
	// /debug/vars.
	PeerAddress string `toml:"peer_address" required:"yes" format:"address"`
	// PeerListen is the IP:port to listen on if it differs from PeerAddress.
	PeerListen string `toml:"peer_listen" format:"address"`
	// OperatorAddress is the IP:port of the administration API.
	OperatorAddress string `toml:"operator_address" required:"yes" format:"address"`
	// OperatorKeySHA256 lists the hex SHA-256 digests of the operator keys. All are valid at the same
	// time, to allow key rotation.
	OperatorKeySHA256 []string `toml:"operator_key_sha256" required:"yes" format:"sha256"`
	// ProbeIntervalMS is the interval between probes of other VMs, in milliseconds. Default: 500.
	ProbeIntervalMS int `toml:"probe_interval_ms" default:"500" min:"20" max:"60000"`
	// ConfigIntervalMS is the interval at which a data centre's reader reads the current
	// configuration version from the platform, in milliseconds. Default: 500.
	ConfigIntervalMS int `toml:"config_interval_ms" default:"500" min:"20" max:"60000"`
	// LeaseMS is the duration of the orders lease, in milliseconds. Its holder alone sends orders to
	// the engines of the region. Default: 6000.
	LeaseMS     int `toml:"lease_ms" default:"6000" min:"200" max:"600000"`
	OperatorTLS TLS `toml:"operator_tls"`
	PeerTLS     TLS `toml:"peer_tls"`
}

// CallerListenAddress returns the IP:port on which the gateway listens for callers.
func (g *Gateway) CallerListenAddress() string { return cmp.Or(g.CallerListen, g.CallerAddress) }

// PeerListenAddress returns the IP:port on which the gateway listens for peers.
func (g *Gateway) PeerListenAddress() string { return cmp.Or(g.PeerListen, g.PeerAddress) }

// PeerListenAddress returns the IP:port on which the controller listens for peers.
func (c *Controller) PeerListenAddress() string { return cmp.Or(c.PeerListen, c.PeerAddress) }
