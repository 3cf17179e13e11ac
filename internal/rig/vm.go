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

// listeners contains the addresses on which the processes of one VM listen, behind the links.
type listeners struct {
	caller, gatewayPeer, controllerPeer string
}

// prepareVM chooses the addresses of a VM, starts its links and writes its settings files. It does
// not start the processes.
func (r *Rig) prepareVM(spec VMSpec) error {
	spec.Region = cmp.Or(spec.Region, defaultRegion)
	v := &VM{VMSpec: spec}
	r.VMs = append(r.VMs, v)
	own, err := chooseListeners(v)
	if err != nil {
		return err
	}
	if err := r.linkVM(v, own); err != nil {
		return err
	}
	return r.writeVM(v, own)
}

func chooseListeners(v *VM) (listeners, error) {
	var own listeners
	for _, address := range []*string{&own.caller, &own.gatewayPeer, &own.controllerPeer, &v.OperatorAddress} {
		free, err := FreeAddress()
		if err != nil {
			return own, err
		}
		*address = free
	}
	v.GatewayVars, v.ControllerVars = own.gatewayPeer, own.controllerPeer
	return own, nil
}

func (r *Rig) linkVM(v *VM, own listeners) error {
	var err error
	if v.CallerAddress, v.Callers, err = r.front(v.ID+"-callers", own.caller); err != nil {
		return err
	}
	if v.GatewayPeerAddress, v.GatewayPeers, err = r.front(v.ID+"-gateway-peers", own.gatewayPeer); err != nil {
		return err
	}
	v.ControllerPeerAddress, v.ControllerPeers, err = r.front(v.ID+"-controller-peers", own.controllerPeer)
	return err
}

// writeVM writes the settings files of both processes. Each process connects to the platform through
// its own link.
func (r *Rig) writeVM(v *VM, own listeners) error {
	where := settings.VM{ID: v.ID, DataCentre: v.DataCentre, Region: v.Region}
	g, err := r.gatewaySettings(v, where, own)
	if err != nil {
		return err
	}
	c, err := r.controllerSettings(v, where, own)
	if err != nil {
		return err
	}
	if v.Gateway, err = r.daemon(v.ID+"-gateway", programGateway, g); err != nil {
		return err
	}
	v.Controller, err = r.daemon(v.ID+"-controller", programController, c)
	return err
}

func (r *Rig) gatewaySettings(v *VM, where settings.VM, own listeners) (*settings.Gateway, error) {
	address, link, err := r.front(v.ID+"-gateway-platform", r.Platform.Address)
	if err != nil {
		return nil, err
	}
	v.GatewayPlatform = link
	g := &settings.Gateway{
		VM:                where,
		Platform:          settings.Platform{Address: address, TimeoutMS: platformTimeoutMS},
		Log:               settings.Log{Level: "debug"},
		CallerAddress:     v.CallerAddress,
		CallerListen:      own.caller,
		PeerAddress:       v.GatewayPeerAddress,
		PeerListen:        own.gatewayPeer,
		ControllerAddress: own.controllerPeer,
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

func (r *Rig) controllerSettings(v *VM, where settings.VM, own listeners) (*settings.Controller, error) {
	address, link, err := r.front(v.ID+"-controller-platform", r.Platform.Address)
	if err != nil {
		return nil, err
	}
	v.ControllerPlatform = link
	c := &settings.Controller{
		VM:                where,
		Platform:          settings.Platform{Address: address, TimeoutMS: platformTimeoutMS},
		Log:               settings.Log{Level: "debug"},
		PeerAddress:       v.ControllerPeerAddress,
		PeerListen:        own.controllerPeer,
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

// daemon writes a settings file and returns the process of the program that reads it.
func (r *Rig) daemon(name, program string, file any) (*Process, error) {
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(file); err != nil {
		return nil, eris.Wrap(err, "encode settings")
	}
	path, err := r.write(name+".toml", text.Bytes())
	if err != nil {
		return nil, err
	}
	return r.process(name, program, "--settings", path), nil
}
