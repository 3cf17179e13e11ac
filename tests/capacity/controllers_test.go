//go:build capacity

package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/internal/procstat"
	"github.com/crocusreel/crocusreel/internal/rig"
	"github.com/crocusreel/crocusreel/operator"
	"github.com/crocusreel/crocusreel/platform"
)

const (
	// controllerWindow is the duration of one measurement of the controllers.
	controllerWindow = 20 * time.Second
	// settleTime is the pause before a measurement, in which start-up work ends.
	settleTime = 10 * time.Second
	// configEndpoints is the number of endpoints in the document, which gives it about the size of
	// a real deployment's.
	configEndpoints = 24
)

// controllers is a system of controllers and a platform stand-in, without gateways.
type controllers struct {
	pids      []int
	operators []*operator.Client
}

func startControllers(t *testing.T, bin string, count int) *controllers {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	freeAddress := func() string {
		a, err := rig.FreeAddress()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return a
	}
	var processes []*exec.Cmd
	startProgram := func(program string, args ...string) int {
		cmd := exec.Command(filepath.Join(bin, program), args...)
		g.Expect(cmd.Start()).To(gomega.Succeed())
		processes = append(processes, cmd)
		return cmd.Process.Pid
	}
	t.Cleanup(func() {
		for _, cmd := range processes {
			_ = cmd.Process.Signal(syscall.SIGTERM)
		}
		for _, cmd := range processes {
			_ = cmd.Wait()
		}
	})
	platformAddress := freeAddress()
	startProgram("crocusreel-standin", "platform", "--listen", platformAddress)
	c := &controllers{}
	var vms []platform.VM
	for i := range count {
		id, peerAddress, operatorAddress := fmt.Sprintf("vm-%03d", i), freeAddress(), freeAddress()
		file := filepath.Join(dir, id+".toml")
		g.Expect(os.WriteFile(file, fmt.Appendf(nil, "peer_address=%q\noperator_address=%q\noperator_key_sha256=[%q]\n"+
			"[log]\nlevel=\"warn\"\n[vm]\nid=%q\ndata_centre=\"dc%d\"\nregion=\"r\"\n[platform]\naddress=%q\n",
			peerAddress, operatorAddress, rig.Digest("k"), id, i%4, platformAddress), 0o600)).To(gomega.Succeed())
		vms = append(vms, platform.VM{ID: id, PeerAddress: peerAddress})
		c.pids = append(c.pids, startProgram("crocusreel-controller", "--settings", file))
		c.operators = append(c.operators, operator.NewClient("http://"+operatorAddress, "k", nil))
	}
	putVMs(g, platformAddress, vms)
	began := time.Now()
	g.Eventually(func() int {
		status, _ := c.operators[0].Status(t.Context())
		return len(status.Members)
	}).WithTimeout(90 * time.Second).WithPolling(time.Second).Should(gomega.Equal(count))
	t.Logf("first controller lists all %d members after %v", count, time.Since(began).Round(time.Second))
	return c
}

func putVMs(g *gomega.WithT, platformAddress string, vms []platform.VM) {
	body, err := json.Marshal(vms)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() error {
		req, err := http.NewRequest(http.MethodPut, "http://"+platformAddress+"/admin/vms", bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		res, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = res.Body.Close()
		}
		return err
	}).WithTimeout(10 * time.Second).Should(gomega.Succeed())
}

// usage is the resource usage of one process over a measurement: processor share in percent, I/O in
// kB/s and resident memory in MiB.
type usage struct{ cpuPercent, inKBPerSecond, outKBPerSecond, rssMiB float64 }

func (c *controllers) measure(t *testing.T, name string) {
	g := gomega.NewWithT(t)
	all := func() []procstat.Sample {
		samples := make([]procstat.Sample, len(c.pids))
		for i, pid := range c.pids {
			samples[i] = readSample(g, pid)
		}
		return samples
	}
	before, began := all(), time.Now()
	time.Sleep(controllerWindow)
	after, seconds := all(), time.Since(began).Seconds()
	var mean, worst usage
	for i := range after {
		one := usage{
			cpuPercent:     (after[i].CPU - before[i].CPU).Seconds() / seconds * 100,
			inKBPerSecond:  (after[i].BytesRead - before[i].BytesRead) / seconds / 1000,
			outKBPerSecond: (after[i].BytesWritten - before[i].BytesWritten) / seconds / 1000,
			rssMiB:         after[i].RSSMiB,
		}
		n := float64(len(after))
		mean = usage{mean.cpuPercent + one.cpuPercent/n, mean.inKBPerSecond + one.inKBPerSecond/n, mean.outKBPerSecond + one.outKBPerSecond/n, mean.rssMiB + one.rssMiB/n}
		worst = usage{max(worst.cpuPercent, one.cpuPercent), max(worst.inKBPerSecond, one.inKBPerSecond), max(worst.outKBPerSecond, one.outKBPerSecond), max(worst.rssMiB, one.rssMiB)}
	}
	t.Logf("%4d %-8s %6.2f %6.2f %8.2f %8.2f %8.2f %8.2f %8.1f %8.1f", len(c.pids), name,
		mean.cpuPercent, worst.cpuPercent, mean.inKBPerSecond, worst.inKBPerSecond, mean.outKBPerSecond, worst.outKBPerSecond, mean.rssMiB, worst.rssMiB)
}

// applyEdits applies a changed document every second until ctx ends.
func (c *controllers) applyEdits(ctx context.Context, t *testing.T) {
	for version := uint64(0); ctx.Err() == nil; version++ {
		_, err := c.operators[0].Apply(ctx, operator.Edit{
			ExpectedVersion: version, EditID: fmt.Sprint(version), Document: config.Document{Base: document(version)},
		})
		if err != nil && ctx.Err() == nil {
			t.Errorf("apply edit on version %d: %v", version, err)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

func document(version uint64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[service]\nname = \"s%d\"\n[[models]]\nname = \"m\"\nversion = \"1\"\n", version)
	for i := range configEndpoints {
		fmt.Fprintf(&b, "[[endpoints]]\nname = \"e%d\"\nkind = \"engine\"\naddress = \"10.0.0.%d:9000\"\n"+
			"data_centre = \"dc%d\"\nregion = \"elsewhere\"\nmodels = [\"m\"]\n", i, i+1, i%4)
	}
	return b.String()
}

// TestControllers measures the resource usage of a controller with several numbers of VMs, first
// idle and then with an edit of the configuration every second.
func TestControllers(t *testing.T) {
	g := gomega.NewWithT(t)
	bin := filepath.Join(t.TempDir(), "bin")
	g.Expect(rig.Build(t.Context(), "../..", bin)).To(gomega.Succeed())
	t.Logf("%4s %-8s %6s %6s %8s %8s %8s %8s %8s %8s", "VMs", "", "cpu %", "worst", "in kB/s", "worst", "out kB/s", "worst", "rss MiB", "worst")
	for _, count := range []int{8, 32, 128} {
		t.Run(strconv.Itoa(count), func(t *testing.T) {
			c := startControllers(t, bin, count)
			time.Sleep(settleTime)
			c.measure(t, "at rest")
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				c.applyEdits(ctx, t)
			}()
			c.measure(t, "edits")
			cancel()
			<-done
		})
	}
}
