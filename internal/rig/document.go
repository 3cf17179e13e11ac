package rig

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/crocusreel/crocusreel/config"
)

// Digest returns the hex SHA-256 digest of a key, which represents the key in the configuration and
// in settings.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Document returns a configuration that describes the engines and services of the rig, together
// with the Base and Overlays of its Spec.
func (r *Rig) Document() config.Document {
	var b strings.Builder
	fmt.Fprintf(&b, "[service]\nname = \"rig\"\n%s\n", r.spec.Base)
	if !strings.Contains(r.spec.Base, "[[workspaces]]") {
		fmt.Fprintf(&b, "[[workspaces]]\nname = %q\nkey_sha256 = [%q]\n", DefaultWorkspace, Digest(DefaultKey))
	}
	r.writeModels(&b)
	for _, e := range r.Engines {
		fmt.Fprintf(&b, "[[endpoints]]\nname = %q\nkind = \"engine\"\naddress = %q\ndata_centre = %q\nregion = %q\nmodels = %s\nchecks_fence = %t\n",
			e.Name, e.Address, e.DataCentre, e.Region, tomlList(e.Models), e.ChecksFence)
	}
	for _, s := range r.Services {
		fmt.Fprintf(&b, "[[endpoints]]\nname = %q\nkind = \"service\"\naddress = %q\ndata_centre = %q\nregion = %q\n",
			s.Name, s.Address, s.DataCentre, s.Region)
	}
	r.writeRoutes(&b)
	return config.Document{Base: b.String(), Overlays: r.spec.Overlays}
}

// writeModels adds an entry for each model of an engine that Base does not define.
func (r *Rig) writeModels(b *strings.Builder) {
	var names []string
	for _, e := range r.Engines {
		names = append(names, e.Models...)
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if !strings.Contains(r.spec.Base, fmt.Sprintf("name = %q", name)) {
			fmt.Fprintf(b, "[[models]]\nname = %q\nversion = %q\n", name, ModelVersion)
		}
	}
}

func (r *Rig) writeRoutes(b *strings.Builder) {
	names, methods := map[string][]string{}, map[string][]string{}
	for _, s := range r.spec.Services {
		names[s.Prefix] = append(names[s.Prefix], s.Name)
		methods[s.Prefix] = append(methods[s.Prefix], s.NonIdempotentMethods...)
	}
	for prefix := range names {
		fmt.Fprintf(b, "[[routes]]\nname = %q\nprefix = %q\nendpoints = %s\n", strings.Trim(prefix, "/"), prefix, tomlList(names[prefix]))
		if m := methods[prefix]; len(m) > 0 {
			fmt.Fprintf(b, "non_idempotent_methods = %s\n", tomlList(m))
		}
	}
}

func tomlList(names []string) string {
	quoted := make([]string, len(names))
	for i, n := range names {
		quoted[i] = fmt.Sprintf("%q", n)
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}
