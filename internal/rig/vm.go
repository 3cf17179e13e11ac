package rig

import (
	"bytes"
	"cmp"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/settings"
)

// handleKey is the key with which every gateway of a rig signs resume handles.
var handleKey = "k1:" + strings.Repeat("5a", 32)

// listenAddrs are the addresses on which the processes of one VM listen, behind the links.
type listenAddrs struct {
	caller, gatewayPeer, controllerPeer string
}

// prepareVM chooses the addresses of a VM, starts its links and writes its settings files. It does
// not start the processes.
func (r *Rig) prepareVM(spec VMSpec) error {
	spec.Region = cmp.Or(spec.Region, defaultRegion)
	v := &VM{VMSpec: spec}
	r.VMs = append(r.VMs, v)
	listen, err := chooseAddresses(v)
	if err != nil {
		return err
	}
	if err := r.startLinks(v, listen); err != nil {
		return err
	}
	return r.writeSettings(v, listen)
}

func chooseAddresses(v *VM) (listenAddrs, error) {
	var listen listenAddrs
	for _, address := range []*string{&listen.caller, &listen.gatewayPeer, &listen.controllerPeer, &v.OperatorAddress} {
		free, err := FreeAddress()
		if err != nil {
			return listen, err
		}
		*address = free
	}
	v.GatewayVarsAddress, v.ControllerVarsAddress = listen.gatewayPeer, listen.controllerPeer
	return listen, nil
}

func (r *Rig) startLinks(v *VM, listen listenAddrs) error {
	var err error
	if v.CallerAddress, v.CallerLink, err = r.exposeListener(v.ID+"-callers", listen.caller); err != nil {
		return err
	}
	if v.GatewayPeerAddress, v.GatewayPeerLink, err = r.exposeListener(v.ID+"-gateway-peers", listen.gatewayPeer); err != nil {
		return err
	}
	v.ControllerPeerAddress, v.ControllerPeerLink, err = r.exposeListener(v.ID+"-controller-peers", listen.controllerPeer)
	return err
}

// writeSettings writes the settings files of both processes and sets the processes of v. Each process
// connects to the platform through its own link.
func (r *Rig) writeSettings(v *VM, listen listenAddrs) error {
	vmSettings := settings.VM{ID: v.ID, DataCentre: v.DataCentre, Region: v.Region}
	g, err := r.gatewaySettings(v, vmSettings, listen)
	if err != nil {
		return err
	}
	c, err := r.controllerSettings(v, vmSettings, listen)
	if err != nil {
		return err
	}
	if v.Gateway, err = r.newDaemonProcess(v.ID+"-gateway", programGateway, g); err != nil {
		return err
	}
	v.Controller, err = r.newDaemonProcess(v.ID+"-controller", programController, c)
	return err
}

func (r *Rig) gatewaySettings(v *VM, vmSettings settings.VM, listen listenAddrs) (*settings.Gateway, error) {
	address, link, err := r.exposeListener(v.ID+"-gateway-platform", r.Platform.Address)
	if err != nil {
		return nil, err
	}
	v.GatewayPlatformLink = link
	g := &settings.Gateway{
		VM:                vmSettings,
		Platform:          settings.Platform{Address: address, TimeoutMS: platformTimeoutMS},
		Log:               settings.Log{Level: "debug"},
		CallerAddress:     v.CallerAddress,
		CallerListen:      listen.caller,
		PeerAddress:       v.GatewayPeerAddress,
		PeerListen:        listen.gatewayPeer,
		ControllerAddress: listen.controllerPeer,
		HandleKeys:        []string{handleKey},
		AddressTTLMS:      addressTTLMS,
		DrainLimitMS:      drainLimitMS,
		MaxBodyBytes:      maxBodyBytes,
		MaxHeaderMS:       maxHeaderMS,
	}
	if r.spec.EditGateway != nil {
		r.spec.EditGateway(g)
	}
	return g, nil
}

func (r *Rig) controllerSettings(v *VM, vmSettings settings.VM, listen listenAddrs) (*settings.Controller, error) {
	address, link, err := r.exposeListener(v.ID+"-controller-platform", r.Platform.Address)
	if err != nil {
		return nil, err
	}
	v.ControllerPlatformLink = link
	c := &settings.Controller{
		VM:                vmSettings,
		Platform:          settings.Platform{Address: address, TimeoutMS: platformTimeoutMS},
		Log:               settings.Log{Level: "debug"},
		PeerAddress:       v.ControllerPeerAddress,
		PeerListen:        listen.controllerPeer,
		OperatorAddress:   v.OperatorAddress,
		OperatorKeySHA256: []string{Digest(OperatorKey)},
		ProbeIntervalMS:   probeIntervalMS,
		ConfigIntervalMS:  configIntervalMS,
		LeaseMS:           leaseMS,
	}
	if r.spec.EditController != nil {
		r.spec.EditController(c)
	}
	return c, nil
}

// Settings of the processes of a rig. Timeouts and intervals are shorter than the defaults where
// tests wait for them.
const (
	platformTimeoutMS = 1000
	addressTTLMS      = 1000
	drainLimitMS      = 60_000
	maxBodyBytes      = 4 << 20
	maxHeaderMS       = 5000
	probeIntervalMS   = 200
	configIntervalMS  = 200
	leaseMS           = 2000
)

// newDaemonProcess writes a settings file and returns the process of the program that reads it.
func (r *Rig) newDaemonProcess(name, program string, processSettings any) (*Process, error) {
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(processSettings); err != nil {
		return nil, eris.Wrap(err, "encode settings")
	}
	path, err := r.writeFile(name+".toml", text.Bytes())
	if err != nil {
		return nil, err
	}
	return r.process(name, program, "--settings", path), nil
}
