package tests

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
)

// runProgram runs one of the binaries to completion and returns its exit code and combined output.
func runProgram(ctx context.Context, name string, args ...string) (code int, output string) {
	GinkgoHelper()
	cmd := exec.CommandContext(ctx, filepath.Join(binDir, name), args...)
	cmd.Env = append(os.Environ(), "CROCUSREEL_KEY="+rig.OperatorKey)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil {
		Expect(errors.As(err, &exit)).To(BeTrue(), "%v", err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

var _ = Describe("The command line", func() {
	It("of every program answers --help, and refuses unknown flags with exit code 2", func(ctx SpecContext) {
		for _, name := range []string{"crocusreel", "crocusreel-gateway", "crocusreel-controller", "crocusreel-standin"} {
			code, output := runProgram(ctx, name, "--help")
			Expect(code).To(BeZero(), name)
			Expect(output).To(ContainSubstring("Usage: "+name), name)
			code, _ = runProgram(ctx, name, "--no-such-flag")
			Expect(code).To(Equal(2), name)
		}
	}, NodeTimeout(waitTimeout))

	// A daemon is started with settings that contain several mistakes. If each start reported only
	// the first one, the operator would have to restart the VM once per mistake.
	It("of a daemon refuses bad settings with exit code 2 and names every mistake", func(ctx SpecContext) {
		file := filepath.Join(GinkgoT().TempDir(), "bad.toml")
		Expect(os.WriteFile(file, []byte("caler_address = 1\npeer_address = \"nowhere\"\n[vm]\nid = \"\"\n"), 0o600)).To(Succeed())
		for _, name := range []string{"crocusreel-gateway", "crocusreel-controller"} {
			code, output := runProgram(ctx, name, "--settings", file)
			Expect(code).To(Equal(2), name)
			for _, key := range []string{"caler_address", "peer_address", "vm.id", "vm.region", "platform.address"} {
				Expect(output).To(ContainSubstring(file+": "+key+": found"), name)
			}
		}
	}, NodeTimeout(waitTimeout))

	It("for operators tells the kinds of failure apart by exit code", func(ctx SpecContext) {
		r := startRig(twoDataCentres())
		dir := GinkgoT().TempDir()
		write := func(text string) {
			Expect(os.WriteFile(filepath.Join(dir, "base.toml"), []byte(text), 0o600)).To(Succeed())
		}
		write(r.Document().Base)
		at := []string{"--operator", r.VMs[0].OperatorAddress}
		config := func(verb string, more ...string) (int, string) {
			return runProgram(ctx, "crocusreel", append(append([]string{"config", verb, dir}, at...), more...)...)
		}

		code, output := config("apply")
		Expect(code).To(BeZero(), output)
		code, output = config("apply", "--base", "1")
		Expect(code).To(Equal(3), output)
		Expect(output).To(ContainSubstring("version 2 is in force"))
		code, output = config("diff", "--output", "json")
		Expect(code).To(BeZero(), output)

		write(r.Document().Base + "\nsurprise = 1\n")
		code, output = config("apply")
		Expect(code).To(Equal(2), output)
		Expect(output).To(ContainSubstring("surprise"))
		write(r.Document().Base)

		r.Platform.Kill()
		code, output = config("apply")
		Expect(code).To(Equal(4), output)
		Expect(output).To(ContainSubstring("nothing was changed"))

		r.VMs[0].Controller.Kill()
		code, output = config("apply", "--base", "2")
		Expect(code).To(Equal(4), output)
		Expect(output).To(ContainSubstring("--edit-id"))
		code, output = runProgram(ctx, "crocusreel", "status", at[0], at[1])
		Expect(code).To(Equal(4), strings.TrimSpace(output))
	}, NodeTimeout(2*startTimeout))
})
