// Package operator implements the server and the client of the administration API, which is JSON
// over HTTP for operators with an operator key. The controller implements the API's Backend.
package operator

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/config"
)

// Version is one accepted configuration.
type Version struct {
	// Version starts at 1 and increases by one with each accepted edit. 0 means no configuration.
	Version uint64 `json:"version"`
	// EditID is the ID that the operator's tool assigned to the edit.
	EditID string    `json:"edit_id"`
	At     time.Time `json:"at"`
	// Document is omitted in histories, conflicts and responses to edits.
	Document *config.Document `json:"document,omitempty"`
}

// Edit replaces the configuration.
type Edit struct {
	// ExpectedVersion is the version that the edit is based on, or 0 for the first configuration.
	// The edit is a conflict if another version is in force.
	ExpectedVersion uint64 `json:"expected_version"`
	// EditID identifies the edit; an edit that is sent twice is applied once.
	EditID   string          `json:"edit_id"`
	Document config.Document `json:"document"`
}

// Conflict is the error of an edit that is based on an outdated version. The configuration is
// unchanged.
type Conflict struct {
	// Current is the version in force, without its document.
	Current Version `json:"current"`
	// Changes are the changes by other edits since the version that the edit is based on.
	Changes []config.Change `json:"changes"`
}

// Error implements the error interface.
func (c *Conflict) Error() string {
	return "another edit is in force"
}

// Errors of a Backend, besides *Conflict and config.Problems. Their messages are sent to the
// client.
var (
	// ErrPlatformUnavailable means that the platform cannot be reached. The configuration is
	// unchanged.
	ErrPlatformUnavailable = eris.New("the platform is unavailable; nothing was changed")
	// ErrResultUnknown means that the result of an edit is unknown: it may or may not be in force.
	// The same edit with the same edit ID may be sent again.
	ErrResultUnknown = eris.New("the platform's answer was lost; the edit may be in force")
	// ErrVersionNotFound means that the requested version does not exist.
	ErrVersionNotFound = eris.New("there is no such version")
	// ErrVMNotFound means that no live VM has the requested ID.
	ErrVMNotFound = eris.New("there is no live VM with this ID")
	// ErrVMUnreachable means that the controller of the VM did not answer.
	ErrVMUnreachable = eris.New("the VM's controller did not answer")
)

// Status is the state of the whole system as known to one controller.
type Status struct {
	// VM is the ID of the VM whose controller answers.
	VM string `json:"vm"`
	// ConfigVersion is the configuration version in force at this VM.
	ConfigVersion uint64           `json:"config_version"`
	Members       []MemberStatus   `json:"members"`
	Lease         LeaseStatus      `json:"lease"`
	Endpoints     []EndpointStatus `json:"endpoints"`
}

// MemberStatus is the state of one VM.
type MemberStatus struct {
	VM             string `json:"vm"`
	DataCentre     string `json:"data_centre"`
	Region         string `json:"region"`
	State          string `json:"state"`
	GatewayAddress string `json:"gateway_address,omitempty"`
	CallerAddress  string `json:"caller_address,omitempty"`
}

// LeaseStatus is the state of the orders lease, which permits its holder to send orders to the
// engines of the controller's region, as last read.
type LeaseStatus struct {
	Region string `json:"region"`
	// Holder is the ID of the VM that holds the lease; empty if the lease is free or has not been
	// read yet.
	Holder string `json:"holder"`
	// Fence is the fencing token of the lease.
	Fence uint64 `json:"fence"`
	// HeldHere is true if the answering VM is the holder.
	HeldHere bool `json:"held_here"`
}

// EndpointStatus is the configuration of an endpoint and, at the holder of the lease, its state as
// last read.
type EndpointStatus struct {
	Name       string `json:"name"`
	Kind       string `json:"kind"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving"`
	// Reached and the fields after it are set only at the holder of the lease.
	Reached bool     `json:"reached"`
	Models  []string `json:"models,omitempty"`
	Role    string   `json:"role,omitempty"`
	// Pending is the last order, while its effect is not visible in the endpoint's state.
	Pending string `json:"pending,omitempty"`
}

// Backend is the part of a controller that serves the API. Its methods are called concurrently.
type Backend interface {
	// Current returns the version in force with its document, or version 0 if there is none.
	Current() Version
	// Version returns one accepted version with its document.
	Version(ctx context.Context, version uint64) (Version, error)
	// History returns the latest versions, newest first, without documents.
	History(ctx context.Context, limit int) ([]Version, error)
	// Apply validates an edit and puts it in force. It fails with *Conflict, config.Problems,
	// ErrPlatformUnavailable or ErrResultUnknown.
	Apply(ctx context.Context, e Edit) (Version, error)
	Status() Status
	// Leave marks a VM as leaving. It fails with ErrVMNotFound or ErrVMUnreachable.
	Leave(ctx context.Context, vm string) error
}
