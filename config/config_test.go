package config_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

var digest = strings.Repeat("0", 64)

var base = `
[service]
name = "s"
data_centres = ["dc1", "dc2"]
[[models]]
name = "m"
version = "1"
[[workspaces]]
name = "w"
key_sha256 = ["` + digest + `"]
[[endpoints]]
name = "e1"
kind = "engine"
address = "127.0.0.1:9001"
data_centre = "dc1"
region = "r"
models = ["m"]
[[endpoints]]
name = "s1"
kind = "service"
address = "127.0.0.1:9002"
data_centre = "dc1"
region = "r"
[[routes]]
name = "beds"
prefix = "/beds"
endpoints = ["s1"]
`

var overlay = `
[weights]
stall = 4.0
[[workspaces]]
name = "w"
max_streams = 7
[[endpoints]]
name = "e2"
kind = "engine"
address = "127.0.0.1:9003"
region = "r"
models = ["m"]
`

var _ = Describe("A document", func() {
	doc := config.Document{Base: base, Overlays: map[string]string{"dc2": overlay}}

	It("merges the overlay by name at its own data centre only", func() {
		Expect(config.Validate(doc)).To(Succeed())
		c1, err := config.Compile(doc, "dc1")
		Expect(err).NotTo(HaveOccurred())
		c2, err := config.Compile(doc, "dc2")
		Expect(err).NotTo(HaveOccurred())
		Expect([]float64{c1.Weights.Stall, c2.Weights.Stall}).To(Equal([]float64{1, 4}))
		Expect([]int{c1.Workspaces[0].MaxStreams, c2.Workspaces[0].MaxStreams}).To(Equal([]int{256, 7}))
		Expect(c2.Workspaces[0].KeySHA256).To(Equal([]string{digest}))
		Expect(c2.Routes[0].NonIdempotentMethods).To(ConsistOf("POST", "PUT", "PATCH", "DELETE"))
	})

	// Gateways schedule for their whole region. An engine that is added by an overlay and known to
	// that data centre only would not be used by the others.
	It("applies an overlay's endpoints to every data centre and assigns them to the overlay's", func() {
		c1, err := config.Compile(doc, "dc1")
		Expect(err).NotTo(HaveOccurred())
		Expect(c1.Endpoints).To(HaveLen(3))
		Expect(c1.Endpoints[2].Name).To(Equal("e2"))
		Expect(c1.Endpoints[2].DataCentre).To(Equal("dc2"))
	})

	It("names every mistake of base and overlays in one run", func() {
		broken := config.Document{
			Base: strings.NewReplacer(`prefix = "/beds"`, `prefix = "beds/"`, `endpoints = ["s1"]`, `endpoints = ["e1"]`,
				`models = ["m"]`, `models = ["x"]`, `version = "1"`, `versoin = "1"`).Replace(base),
			Overlays: map[string]string{
				"dc3": "[limits]\nattempts = 99\n",
				"dc2": "[[endpoints]]\nname = \"e1\"\ndata_centre = \"dc1\"\n[[models]]\nversion = \"2\"\n",
			},
		}
		err := config.Validate(broken)
		Expect(err).To(BeAssignableToTypeOf(config.Problems{}))
		seen := make(map[string]bool)
		for _, p := range err.(config.Problems) {
			seen[p.File+" "+p.Key] = true
		}
		for _, want := range []string{
			"base models[m].versoin", "base models[m].version", "base endpoints[e1].models", "base routes[beds].prefix",
			"base routes[beds].endpoints", "overlays/dc3 limits.attempts", "overlays/dc2 endpoints[e1].data_centre",
			"overlays/dc2 models[0].name",
		} {
			Expect(seen).To(HaveKey(want), err.Error())
		}
	})

	It("rejects an overlay for a data centre that the base does not list", func() {
		err := config.Validate(config.Document{Base: base, Overlays: map[string]string{"dc9": ""}})
		Expect(err).To(MatchError(ContainSubstring("overlays/dc9")))
	})

	It("is compared key by key", func() {
		changed := config.Document{Base: strings.Replace(base, `version = "1"`, `version = "2"`, 1), Overlays: map[string]string{"dc2": overlay}}
		Expect(config.Diff(doc, changed)).To(Equal([]config.Change{
			{Part: "base", Key: "models[m].version", Old: `"1"`, New: `"2"`},
		}))
		Expect(config.Diff(doc, doc)).To(BeEmpty())
	})
})

func FuzzCompile(f *testing.F) {
	f.Add(base, overlay)
	f.Add("models = 1", "[[models]]\nname = 3")
	f.Add("[[models]]\n[[models]]", "endpoints = [1, {name = \"x\"}]")
	f.Fuzz(func(t *testing.T, base, overlay string) {
		doc := config.Document{Base: base, Overlays: map[string]string{"dc1": overlay}}
		valid := config.Validate(doc) == nil
		_, err := config.Compile(doc, "dc1")
		if valid && err != nil {
			t.Fatalf("Validate accepted a document that Compile rejects: %v", err)
		}
		config.Diff(doc, config.Document{Base: overlay})
	})
}
