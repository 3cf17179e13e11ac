package examples_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/settings"
)

// Operators start from the examples, so the examples must be valid without changes.
func TestExamplesAreValid(t *testing.T) {
	sizes := map[string]struct{ engines, services, workspaces, dataCentres int }{
		"schronisko": {15, 4, 10, 4},
		"postwerk":   {20, 3, 10, 3},
	}
	for name, size := range sizes {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			base, err := os.ReadFile(filepath.Join(name, "base.toml"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			doc := config.Document{Base: string(base), Overlays: map[string]string{}}
			overlays, err := filepath.Glob(filepath.Join(name, "overlays", "*.toml"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			for _, path := range overlays {
				text, err := os.ReadFile(path)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				doc.Overlays[strings.TrimSuffix(filepath.Base(path), ".toml")] = string(text)
			}
			g.Expect(config.Validate(doc)).To(gomega.Succeed())
			g.Expect(overlays).To(gomega.HaveLen(size.dataCentres))
			c, err := config.Compile(doc, "")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			engines := 0
			for _, e := range c.Endpoints {
				if e.Kind == config.KindEngine {
					engines++
				}
			}
			g.Expect(engines).To(gomega.Equal(size.engines))
			g.Expect(len(c.Endpoints) - engines).To(gomega.Equal(size.services))
			g.Expect(c.Workspaces).To(gomega.HaveLen(size.workspaces))

			_, err = settings.LoadGateway(filepath.Join(name, "settings", "gateway.toml"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = settings.LoadController(filepath.Join(name, "settings", "controller.toml"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
		})
	}
}
