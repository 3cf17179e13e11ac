package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/client"
	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/retry"
)

const (
	demoTimeout   = 2 * time.Minute
	demoModel     = "demo-7b"
	demoWorkspace = "demo"
	demoKey       = "demo-caller-key"
	demoPrefix    = "/beds"
)

// demoCommand starts the whole system on loopback, sends sample requests to it and stops it.
type demoCommand struct {
	Bin string `help:"Directory of the programs." default:"bin"`
	Dir string `help:"Directory for settings and logs; default a temporary one."`
	// Hold is how long the system keeps running after the sample requests.
	Hold time.Duration `help:"How long the system stays up afterwards, to be tried by hand."`
}

// Help implements kong.HelpProvider.
func (demoCommand) Help() string {
	return `Starts the stand-ins (platform, three engines, a plain service), four gateways
and four controllers on free loopback ports, applies a sample configuration, sends
a streamed generation, a non-idempotent call twice under one key, and a lookup,
prints answers and counters, and stops everything.

Example:
  crocusreel demo --bin bin
  crocusreel demo --bin bin --hold 5m

Exit codes: 0 all requests were answered as expected, 1 otherwise.`
}

// Run starts the system, sends the sample requests, waits for the hold time and stops the system. It
// returns early on SIGINT or SIGTERM.
func (c *demoCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout+c.Hold)
	defer cancel()
	dir, remove, err := workDir(c.Dir)
	if err != nil {
		return err
	}
	defer remove()
	fmt.Println("starting platform, 3 engines, 1 service, 4 gateways, 4 controllers")
	r, err := rig.Start(ctx, demoSpec(dir, c.Bin))
	if err != nil {
		return err
	}
	defer r.Close()
	d := demo{out: os.Stdout, rig: r}
	if err := d.run(ctx); err != nil {
		return err
	}
	d.hold(ctx, c.Hold)
	fmt.Println("stopping")
	return nil
}

// hold prints how to reach the system and waits until duration has passed or ctx is done. It does
// nothing if duration is not positive.
func (d *demo) hold(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	_, _ = fmt.Fprintf(d.out, "up for %s; for example:\n  crocusreel load --gateways %s --key %s --mix demo\n  CROCUSREEL_KEY=%s crocusreel status --operator %s\n",
		duration, d.rig.CallerAddresses()[0], demoKey, rig.OperatorKey, d.rig.VMs[0].OperatorAddress)
	for _, v := range d.rig.VMs {
		_, _ = fmt.Fprintf(d.out, "  %s: gateway process %d at %s, controller process %d\n", v.ID, v.Gateway.PID(), v.CallerAddress, v.Controller.PID())
	}
	retry.Sleep(ctx, duration)
}

// workDir returns the directory to use and a function that removes it if it is temporary. It creates
// dir if needed, or a temporary directory if dir is empty.
func workDir(dir string) (string, func(), error) {
	if dir != "" {
		return dir, func() {}, eris.Wrap(os.MkdirAll(dir, 0o755), "make directory")
	}
	dir, err := os.MkdirTemp("", "crocusreel-")
	if err != nil {
		return "", nil, eris.Wrap(err, "create temporary directory")
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}

func demoSpec(dir, bin string) rig.Spec {
	spec := rig.Spec{
		Dir: dir,
		Bin: bin,
		Base: fmt.Sprintf("[[workspaces]]\nname = %q\nkey_sha256 = [%q]\n",
			demoWorkspace, rig.Digest(demoKey)),
		Services: []rig.ServiceSpec{{Name: "registry", DataCentre: "dc1", Prefix: demoPrefix}},
	}
	for i := range 4 {
		spec.VMs = append(spec.VMs, rig.VMSpec{ID: fmt.Sprintf("vm%d", i+1), DataCentre: fmt.Sprintf("dc%d", i%2+1)})
	}
	for i := range 3 {
		spec.Engines = append(spec.Engines, rig.EngineSpec{
			Name: fmt.Sprintf("engine%d", i+1), DataCentre: fmt.Sprintf("dc%d", i%2+1), Models: []string{demoModel},
		})
	}
	return spec
}

// demo sends requests to a running system and prints the answers to out.
type demo struct {
	out    io.Writer
	rig    *rig.Rig
	client *client.Client
}

func (d *demo) run(ctx context.Context) error {
	var err error
	d.client, err = client.New(client.Options{Seeds: d.rig.CallerAddresses()[:1], Key: demoKey})
	if err != nil {
		return err
	}
	defer d.client.Close()
	for _, step := range []func(context.Context) error{d.addresses, d.generation, d.booking, d.lookup, d.counters} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) addresses(ctx context.Context) error {
	addresses, err := d.client.Addresses(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "addresses to use: %s\n", strings.Join(addresses, " "))
	return nil
}

func (d *demo) generation(ctx context.Context) error {
	stream, err := d.client.Generate(ctx, client.Request{
		Model:  demoModel,
		Prompt: "Draft a placement summary for tonight. [[len=24]]",
	})
	if err != nil {
		return eris.Wrap(err, "generation")
	}
	defer stream.Close()
	fmt.Fprint(d.out, "streamed generation: ")
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return eris.Wrap(err, "generation")
		}
		fmt.Fprint(d.out, token.Text)
	}
	answer := stream.Answer()
	fmt.Fprintf(d.out, "\n  %d tokens, finish %q, request %s\n", answer.Tokens, answer.FinishReason, answer.RequestID)
	return nil
}

// booking sends a non-idempotent call twice under the same idempotency key and checks that the
// service executed it exactly once.
func (d *demo) booking(ctx context.Context) error {
	const key = "demo-booking-1"
	for attempt := range 2 {
		call := client.CallRequest{
			RequestOptions: client.RequestOptions{Key: key, NonIdempotent: true, Resent: attempt > 0},
			Method:         http.MethodPost,
			Path:           demoPrefix + "/booking",
			ContentType:    "application/json",
			Body:           []byte(`{"bed":12}`),
		}
		reply, err := d.client.Call(ctx, call)
		if err != nil {
			return eris.Wrap(err, "non-idempotent call")
		}
		fmt.Fprintf(d.out, "non-idempotent call, attempt %d: %d %s\n", attempt+1, reply.Status, compact(reply.Body))
	}
	runs, err := d.rig.Services[0].Admin.Runs(ctx)
	if err != nil {
		return eris.Wrap(err, "list runs")
	}
	ran := 0
	for _, run := range runs {
		if run.IdempotencyKey == key {
			ran++
		}
	}
	fmt.Fprintf(d.out, "  the service ran it %d time(s)\n", ran)
	if ran != 1 {
		return eris.Errorf("service ran the non-idempotent call %d times, expected exactly once", ran)
	}
	return nil
}

func (d *demo) lookup(ctx context.Context) error {
	reply, err := d.client.Call(ctx, client.CallRequest{
		RequestOptions: client.RequestOptions{Priority: crocusreel.MaxPriority},
		Path:           demoPrefix + "/count",
	})
	if err != nil {
		return eris.Wrap(err, "lookup")
	}
	fmt.Fprintf(d.out, "lookup: %d %s\n", reply.Status, compact(reply.Body))
	return nil
}

// counters prints the event, refusal and retry counters of every gateway.
func (d *demo) counters(ctx context.Context) error {
	for _, vm := range d.rig.VMs {
		vars, err := d.rig.Vars(ctx, vm.GatewayVarsAddress)
		if err != nil {
			return err
		}
		var parts []string
		for _, group := range []string{"events", "refusals", "retries"} {
			for name, value := range vars[group] {
				parts = append(parts, fmt.Sprintf("%s.%s=%v", group, name, value))
			}
		}
		slices.Sort(parts)
		fmt.Fprintf(d.out, "counters of %s: %s\n", vm.ID, strings.Join(parts, " "))
	}
	return nil
}

func compact(body []byte) string {
	return strings.Join(strings.Fields(string(body)), " ")
}
