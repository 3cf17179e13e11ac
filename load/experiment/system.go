package experiment

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/load"
)

const (
	// startTimeout is the maximum time that the start of a system may take.
	startTimeout = 30 * time.Second
	// queueLength and queueWait are the limits of the model's queue. They make overload lead to
	// refusals within a run. The wait is short because the time of the engines is scaled.
	queueLength = 64
	queueWait   = 8 * time.Second
)

func callerKey(workspace string) string { return "experiment-" + workspace }

// system is a running rig and the directory of its files.
type system struct {
	*rig.Rig
	dir string
}

// startSystem starts a new system with the given setting. Every run has its own system, so that it
// cannot benefit from state that an earlier run has learned. The caller must stop the system.
func startSystem(ctx context.Context, s System, mix *load.Mix, setting Setting) (*system, error) {
	dir, err := os.MkdirTemp(s.Dir, "run-")
	if err != nil {
		return nil, eris.Wrap(err, "make directory")
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r, err := rig.Start(ctx, rigSpec(s, dir, mix, setting))
	if err != nil {
		return nil, eris.Wrapf(err, "start system for %s (logs in %s)", setting.Name, dir)
	}
	return &system{r, dir}, nil
}

// stop shuts down the system and removes its files.
func (s *system) stop() {
	s.Close()
	_ = os.RemoveAll(s.dir)
}

func rigSpec(s System, dir string, mix *load.Mix, setting Setting) rig.Spec {
	out := rig.Spec{Dir: dir, Bin: s.Bin, Base: baseConfig(mix, setting)}
	for i := range s.Gateways {
		out.VMs = append(out.VMs, rig.VMSpec{ID: fmt.Sprintf("vm%d", i+1), DataCentre: dataCentre(i)})
	}
	for i := range s.Engines {
		out.Engines = append(out.Engines, rig.EngineSpec{
			Name:       fmt.Sprintf("engine%d", i+1),
			DataCentre: dataCentre(i),
			Models:     []string{mix.Model},
			Args: []string{
				"--kv-capacity", strconv.Itoa(s.KVCapacity),
				"--max-batch", strconv.Itoa(s.MaxBatch),
				"--time-scale", strconv.FormatFloat(s.TimeScale, 'g', -1, 64),
				"--report-lag-ms", strconv.FormatInt(s.ReportLag.Milliseconds(), 10),
				"--max-waiting", "100000",
			},
		})
	}
	out.Services = serviceSpecs(mix)
	return out
}

func dataCentre(i int) string { return fmt.Sprintf("dc%d", i%4+1) }

// serviceSpecs returns one plain service for each distinct first path element among the calls of
// the mix.
func serviceSpecs(mix *load.Mix) []rig.ServiceSpec {
	var out []rig.ServiceSpec
	seen := map[string]bool{}
	for _, w := range mix.Work {
		if w.Kind != load.KindLookup && w.Kind != load.KindNonIdempotent {
			continue
		}
		first, _, _ := strings.Cut(strings.TrimPrefix(w.Path, "/"), "/")
		if !seen[first] {
			seen[first] = true
			out = append(out, rig.ServiceSpec{Name: "service-" + first, DataCentre: dataCentre(0), Prefix: "/" + first})
		}
	}
	return out
}

// baseConfig returns the part of the configuration, in TOML, that the experiment sets: weights,
// limits, scheduling policy and workspaces.
func baseConfig(mix *load.Mix, setting Setting) string {
	var b strings.Builder
	stall, preemption := mix.StallWeight, mix.PreemptionWeight
	if setting.StallWeight+setting.PreemptionWeight > 0 {
		stall, preemption = setting.StallWeight, setting.PreemptionWeight
	}
	fmt.Fprintf(&b, "[weights]\nstall = %g\npreemption = %g\n", stall, preemption)
	fmt.Fprintf(&b, "[limits]\nqueue_length = %d\nqueue_wait_ms = %d\n", queueLength, queueWait.Milliseconds())
	fmt.Fprintf(&b, "[scheduling]\npolicy = %q\nscope = %q\nwatermark = %g\n", setting.Policy, setting.Scope, setting.Watermark)
	for _, ws := range mix.Workspaces {
		fmt.Fprintf(&b, "[[workspaces]]\nname = %q\nweight = %g\nmax_streams = 100000\nkey_sha256 = [%q]\n",
			ws.Name, ws.Weight, rig.Digest(callerKey(ws.Name)))
	}
	return b.String()
}

// sendsLengthHints reports whether requests carry the length of their answer, which only the oracle
// policy may know.
func sendsLengthHints(s Setting) bool { return s.Policy == config.PolicyOracle }
