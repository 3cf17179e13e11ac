package rig

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/internal/standin/admin"
	"github.com/crocusreel/crocusreel/platform"
)

// stopTimeout is the time that each process has for a graceful shutdown when a rig is closed.
const stopTimeout = 3 * time.Second

// Rig is a running system of stand-ins, VMs and links.
type Rig struct {
	Platform *Platform
	VMs      []*VM
	Engines  []*Endpoint
	Services []*Endpoint

	spec Spec
	http *http.Client
}

// Platform is the stand-in for the platform.
type Platform struct {
	*Process
	// Address is the address of the stand-in itself. The links of the VMs connect to it.
	Address string
	Admin   *admin.Client
}

// VM is one VM with its two processes. All links are nil in a rig without links.
type VM struct {
	VMSpec
	Gateway, Controller *Process
	// CallerAddress, GatewayPeerAddress and ControllerPeerAddress are the addresses that the
	// processes advertise. In a rig with links, each is the address of a link.
	CallerAddress, GatewayPeerAddress, ControllerPeerAddress string
	// GatewayVarsAddress and ControllerVarsAddress are the addresses (IP:port) that serve
	// /debug/vars. They bypass the links.
	GatewayVarsAddress, ControllerVarsAddress string
	// OperatorAddress is the address of the administration API of the controller.
	OperatorAddress string
	// CallerLink, GatewayPeerLink and ControllerPeerLink are the inbound links of this VM.
	CallerLink, GatewayPeerLink, ControllerPeerLink *Link
	// GatewayPlatformLink and ControllerPlatformLink are the outbound links of this VM to the
	// platform.
	GatewayPlatformLink, ControllerPlatformLink *Link
}

// Endpoint is one stand-in for an engine or a plain service.
type Endpoint struct {
	*Process
	Name, DataCentre, Region string
	Models                   []string
	ChecksFence              bool
	// Address is the address in the configuration. In a rig with links, it is the address of Link.
	Address string
	// Link is the link in front of the stand-in, or nil in a rig without links.
	Link  *Link
	Admin *admin.Client
}

// Start starts the system, applies the configuration and waits until every gateway is ready. On an
// error it stops everything that it has started.
func Start(ctx context.Context, spec Spec) (*Rig, error) {
	r := &Rig{spec: spec, http: &http.Client{Timeout: 5 * time.Second}}
	if err := r.start(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Rig) start(ctx context.Context) error {
	if err := r.startPlatform(ctx); err != nil {
		return err
	}
	for _, e := range r.spec.Engines {
		if err := r.startEngine(e); err != nil {
			return err
		}
	}
	for _, s := range r.spec.Services {
		if err := r.startService(s); err != nil {
			return err
		}
	}
	for _, v := range r.spec.VMs {
		if err := r.prepareVM(v); err != nil {
			return err
		}
	}
	if err := r.waitEndpoints(ctx); err != nil {
		return err
	}
	if err := r.PublishVMs(ctx); err != nil {
		return err
	}
	for _, v := range r.VMs {
		if err := v.start(); err != nil {
			return err
		}
	}
	if r.spec.NoConfig {
		return nil
	}
	if _, err := r.Apply(ctx, r.VMs[0], 0, r.Document()); err != nil {
		return err
	}
	return r.WaitReady(ctx)
}

func (v *VM) start() error {
	if err := v.Controller.Start(); err != nil {
		return err
	}
	return v.Gateway.Start()
}

// PublishVMs replaces the list of VMs in the stand-in of the platform by the VMs of the rig.
func (r *Rig) PublishVMs(ctx context.Context) error {
	vms := make([]platform.VM, len(r.VMs))
	for i, v := range r.VMs {
		vms[i] = platform.VM{ID: v.ID, DataCentre: v.DataCentre, Region: v.Region, PeerAddress: v.ControllerPeerAddress}
	}
	return r.Platform.Admin.SetVMs(ctx, vms)
}

// waitEndpoints waits until every engine and service is healthy.
func (r *Rig) waitEndpoints(ctx context.Context) error {
	for _, endpoints := range [][]*Endpoint{r.Engines, r.Services} {
		for _, e := range endpoints {
			if err := r.WaitHealthy(ctx, e.Address); err != nil {
				return eris.Wrapf(err, "endpoint %s", e.Name)
			}
		}
	}
	return nil
}

// WaitReady waits until every gateway is healthy at its address for callers.
func (r *Rig) WaitReady(ctx context.Context) error {
	for _, v := range r.VMs {
		if err := r.WaitHealthy(ctx, v.CallerAddress); err != nil {
			return eris.Wrapf(err, "gateway of %s", v.ID)
		}
	}
	return nil
}

// WaitHealthy waits until the listener at address answers /healthz with status 200, or until ctx
// ends.
func (r *Rig) WaitHealthy(ctx context.Context, address string) error {
	for {
		if r.healthy(ctx, address) {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "%s did not become healthy", address)
		case <-time.After(pollInterval):
		}
	}
}

func (r *Rig) healthy(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// CallerAddresses returns the address for callers of each gateway. Callers can start with any of
// them.
func (r *Rig) CallerAddresses() []string {
	addresses := make([]string, len(r.VMs))
	for i, v := range r.VMs {
		addresses[i] = v.CallerAddress
	}
	return addresses
}

// Kill kills the process of the endpoint. The link, if any, then refuses connections, like the host
// of a process that has ended.
func (e *Endpoint) Kill() {
	e.Process.Kill()
	if e.Link != nil {
		e.Link.Cut()
	}
}

// Restart heals the link and starts the process of the endpoint after it has ended.
func (e *Endpoint) Restart() error {
	if e.Link != nil {
		if err := e.Link.Heal(); err != nil {
			return err
		}
	}
	return e.Start()
}

// Close stops every process, gateways first. It requests a graceful shutdown and kills processes that
// have not ended within stopTimeout.
func (r *Rig) Close() {
	var gateways, others []*Process
	for _, v := range r.VMs {
		gateways = append(gateways, v.Gateway)
		others = append(others, v.Controller)
	}
	for _, e := range append(r.Engines, r.Services...) {
		others = append(others, e.Process)
	}
	if r.Platform != nil {
		others = append(others, r.Platform.Process)
	}
	stopAll(gateways)
	stopAll(others)
	for _, l := range r.links() {
		l.Cut()
	}
}

func stopAll(processes []*Process) {
	var wg sync.WaitGroup
	for _, p := range processes {
		// Processes can be nil if the start of the rig failed.
		if p != nil {
			wg.Go(func() { p.stop(stopTimeout) })
		}
	}
	wg.Wait()
}

func (r *Rig) links() []*Link {
	var all []*Link
	for _, v := range r.VMs {
		all = append(all, v.CallerLink, v.GatewayPeerLink, v.ControllerPeerLink, v.GatewayPlatformLink, v.ControllerPlatformLink)
	}
	for _, e := range append(r.Engines, r.Services...) {
		all = append(all, e.Link)
	}
	var present []*Link
	for _, l := range all {
		if l != nil {
			present = append(present, l)
		}
	}
	return present
}

func (r *Rig) process(name, program string, args ...string) *Process {
	return newProcess(name, filepath.Join(r.spec.Dir, name+".log"), filepath.Join(r.spec.Bin, program), args...)
}

func (r *Rig) writeFile(name string, data []byte) (string, error) {
	path := filepath.Join(r.spec.Dir, name)
	return path, eris.Wrap(os.WriteFile(path, data, 0o600), "write settings file")
}
