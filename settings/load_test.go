package settings_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const validController = `
peer_address = "127.0.0.1:7001"
operator_address = "127.0.0.1:7002"
operator_key_sha256 = ["0000000000000000000000000000000000000000000000000000000000000000"]
[vm]
id = "vm-1"
data_centre = "dc1"
region = "r1"
[platform]
address = "127.0.0.1:7000"
`

var _ = Describe("Settings files", func() {
	It("fill in defaults", func() {
		c, err := settings.ParseController("c.toml", validController)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.LeaseMS).To(Equal(6000))
		Expect(c.Platform.TimeoutMS).To(Equal(2000))
		Expect(c.Log.Level).To(Equal("info"))
	})

	// If mistakes were reported one at a time, each start after a faulty edit of several keys would
	// fail again with the next mistake.
	It("report every mistake in one run, with file, key, what was found and what is allowed", func() {
		_, err := settings.ParseController("c.toml", `
peer_address = "localhost:7001"
operator_adress = "127.0.0.1:7002"
operator_key_sha256 = ["abc"]
lease_ms = "long"
probe_interval_ms = 1
[vm]
id = "vm 1"
region = "r1"
[platform]
address = "127.0.0.1:7000"
[log]
level = "loud"
[peer_tls]
cert_file = "/nonexistent/cert.pem"
`)
		var problems settings.Problems
		Expect(err).To(BeAssignableToTypeOf(problems))
		problems = err.(settings.Problems)
		keys := make([]string, 0, len(problems))
		for _, p := range problems {
			Expect(p.File).To(Equal("c.toml"))
			Expect(p.Found).NotTo(BeEmpty())
			Expect(p.Allowed).NotTo(BeEmpty())
			keys = append(keys, p.Key)
		}
		Expect(keys).To(ConsistOf("peer_address", "operator_adress", "operator_address", "operator_key_sha256[0]",
			"lease_ms", "probe_interval_ms", "vm.id", "vm.data_centre", "log.level", "peer_tls", "peer_tls.cert_file"))
	})

	// The report of a mistyped signing key is written to the log, which more people may read than
	// may know the key.
	It("do not show secrets in reports", func() {
		_, err := settings.ParseGateway("g.toml", `handle_keys = ["k1:deadbeef", 7]`)
		Expect(err).To(MatchError(ContainSubstring("handle_keys")))
		Expect(err.Error()).NotTo(ContainSubstring("deadbeef"))
	})

	It("report a syntax error with its line", func() {
		_, err := settings.ParseController("c.toml", "a = 1\nb = = 2\n")
		Expect(err).To(MatchError(ContainSubstring("line 2")))
	})
})

func FuzzParseController(f *testing.F) {
	f.Add(validController)
	f.Add("vm = 3\n[[platform]]\n")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := settings.ParseController("c.toml", text)
		if (c == nil) == (err == nil) {
			t.Fatalf("want exactly one of settings and error, got %v and %v", c, err)
		}
	})
}
