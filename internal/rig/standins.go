package rig

import (
	"cmp"
	"context"
	"path/filepath"

	"github.com/crocusreel/crocusreel/internal/standin/admin"
)

func (r *Rig) startPlatform(ctx context.Context) error {
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	args := append([]string{"platform", "--listen", address}, r.spec.PlatformArgs...)
	r.Platform = &Platform{
		Process: r.process("platform", programStandin, args...),
		Address: address,
		Admin:   admin.NewClient(address),
	}
	if err := r.Platform.Start(); err != nil {
		return err
	}
	return r.WaitHealthy(ctx, address)
}

func (r *Rig) startEngine(spec EngineSpec) error {
	e := &Endpoint{
		Name: spec.Name, DataCentre: spec.DataCentre, Region: cmp.Or(spec.Region, defaultRegion),
		Models: spec.Models, ChecksFence: spec.ChecksFence,
	}
	args := []string{"--name", spec.Name}
	for _, m := range spec.Models {
		args = append(args, "--model", m+"@"+ModelVersion)
	}
	if spec.ChecksFence {
		args = append(args, "--checks-fence")
	}
	r.Engines = append(r.Engines, e)
	return r.startEndpoint(e, "engine", append(args, spec.Args...))
}

func (r *Rig) startService(spec ServiceSpec) error {
	s := &Endpoint{Name: spec.Name, DataCentre: spec.DataCentre, Region: cmp.Or(spec.Region, defaultRegion)}
	r.Services = append(r.Services, s)
	return r.startEndpoint(s, "service", append([]string{"--name", spec.Name}, spec.Args...))
}

// startEndpoint starts the stand-in with a journal, so that the list of its runs survives a restart
// of its process.
func (r *Rig) startEndpoint(e *Endpoint, kind string, args []string) error {
	listen, err := FreeAddress()
	if err != nil {
		return err
	}
	journal := filepath.Join(r.spec.Dir, e.Name+".journal")
	args = append([]string{kind, "--listen", listen, "--journal", journal}, args...)
	e.Process = r.process(e.Name, programStandin, args...)
	e.Admin = admin.NewClient(listen)
	if e.Address, e.Link, err = r.exposeListener(e.Name, listen); err != nil {
		return err
	}
	return e.Start()
}

// exposeListener returns the address at which other processes reach the listener at the address
// listen. If the rig has links, this is the address of a new link in front of the listener; otherwise
// the link is nil.
func (r *Rig) exposeListener(name, listen string) (string, *Link, error) {
	if !r.spec.Links {
		return listen, nil, nil
	}
	address, err := FreeAddress()
	if err != nil {
		return "", nil, err
	}
	link, err := NewLink(name, address, listen)
	return address, link, err
}
