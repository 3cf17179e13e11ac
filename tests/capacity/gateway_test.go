//go:build capacity

package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel"
	"github.com/crocusreel/crocusreel/client"
	"github.com/crocusreel/crocusreel/internal/procstat"
	"github.com/crocusreel/crocusreel/internal/rig"
)

const (
	engineCount = 4
	// measureWindow is the duration of one measurement.
	measureWindow = 6 * time.Second
)

// start runs the given number of VMs, one of them if all cost is to fall on one gateway, and
// engines whose memory does not run out.
func start(t *testing.T, vms int) *rig.Rig {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	dir := t.TempDir()
	bin := filepath.Join(dir, "bin")
	g.Expect(rig.Build(ctx, "../..", bin)).To(gomega.Succeed())
	spec := rig.Spec{Dir: dir, Bin: bin, Base: "[[workspaces]]\nname = \"desk\"\nmax_streams = 4096\nkey_sha256 = [\"" + rig.Digest(rig.DefaultKey) + "\"]\n"}
	for i := range vms {
		spec.VMs = append(spec.VMs, rig.VMSpec{ID: fmt.Sprintf("vm%d", i), DataCentre: "dc1"})
	}
	for i := range engineCount {
		spec.Engines = append(spec.Engines, rig.EngineSpec{
			Name: fmt.Sprintf("e%d", i), DataCentre: "dc1", Models: []string{"m"},
			Args: []string{"--kv-capacity", "4000000", "--max-batch", "512", "--max-tokens", "32768"},
		})
	}
	r, err := rig.Start(ctx, spec)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(r.Close)
	g.Expect(r.WaitReady(ctx)).To(gomega.Succeed())
	return r
}

func readSample(g *gomega.WithT, pid int) procstat.Sample {
	s, err := procstat.Read(pid)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return s
}

func newClient(g *gomega.WithT, r *rig.Rig) *client.Client {
	c, err := client.New(client.Options{Seeds: r.CallerAddresses(), Key: rig.DefaultKey})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return c
}

// generate keeps n generations of the given length in flight until ctx ends. It returns the number
// of tokens received, including those of incomplete responses, and the numbers of complete
// responses and of failures.
func generate(ctx context.Context, c *client.Client, n, length int, class crocusreel.Class) (tokens, answers int64, failures int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				got, err := generateOne(ctx, c, length, class)
				mu.Lock()
				tokens += got
				if err == nil {
					answers++
				} else if ctx.Err() == nil {
					failures++
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return tokens, answers, failures
}

func generateOne(ctx context.Context, c *client.Client, length int, class crocusreel.Class) (int64, error) {
	s, err := c.Generate(ctx, client.Request{Model: "m", Prompt: fmt.Sprintf("[[len=%d]]", length), Class: class})
	if err != nil {
		return 0, err
	}
	defer func() { _ = s.Close() }()
	for n := int64(0); ; n++ {
		if _, err := s.Next(); errors.Is(err, io.EOF) {
			return n, nil
		} else if err != nil {
			return n, err
		}
	}
}

// TestStreams measures the cost of streaming: processor time per token and resident memory of a
// gateway, at several numbers of concurrent streams.
func TestStreams(t *testing.T) {
	g := gomega.NewWithT(t)
	r := start(t, 1)
	c := newClient(g, r)
	defer c.Close()
	t.Logf("%8s %12s %14s %12s %10s", "streams", "tokens/s", "cpu us/token", "rss MiB", "failures")
	for _, n := range []int{1, 32, 128, 256, 512} {
		pid := r.VMs[0].Gateway.PID()
		ctx, cancel := context.WithTimeout(t.Context(), measureWindow)
		before := readSample(g, pid)
		began := time.Now()
		tokens, _, failures := generate(ctx, c, n, 30_000, crocusreel.ClassGeneration)
		took := time.Since(began)
		cancel()
		after := readSample(g, pid)
		t.Logf("%8d %12.0f %14.1f %12.1f %10d", n, float64(tokens)/took.Seconds(),
			(after.CPU-before.CPU).Seconds()*1e6/float64(max(tokens, 1)), after.RSSMiB, failures)
	}
}

// TestRequests measures the cost of a request: processor time of the gateway that accepts it and of
// the scheduler, at several levels of concurrency. Responses have one token.
func TestRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	r := start(t, 2)
	c := newClient(g, r)
	defer c.Close()
	t.Logf("%8s %12s %18s %10s", "at once", "requests/s", "cpu us/request", "failures")
	for _, n := range []int{4, 16, 64} {
		before := [2]procstat.Sample{readSample(g, r.VMs[0].Gateway.PID()), readSample(g, r.VMs[1].Gateway.PID())}
		ctx, cancel := context.WithTimeout(t.Context(), measureWindow)
		began := time.Now()
		_, answers, failures := generate(ctx, c, n, 1, crocusreel.ClassShort)
		took := time.Since(began)
		cancel()
		var cpu time.Duration
		for i, b := range before {
			cpu += readSample(g, r.VMs[i].Gateway.PID()).CPU - b.CPU
		}
		t.Logf("%8d %12.0f %18.1f %10d", n, float64(answers)/took.Seconds(),
			cpu.Seconds()*1e6/float64(max(answers, 1)), failures)
	}
}
