package settings_test

import (
	"os"
	"reflect"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/settings"
)

// tomlKeys returns the TOML keys of a struct type and of the structs nested in it.
func tomlKeys(typ reflect.Type) []string {
	var out []string
	for i := range typ.NumField() {
		field := typ.Field(i)
		key := field.Tag.Get("toml")
		if key == "" {
			continue
		}
		out = append(out, key)
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			out = append(out, tomlKeys(inner)...)
		}
	}
	return out
}

var _ = Describe("docs/CONFIG.md", func() {
	It("names every key of configuration and settings", func() {
		text, err := os.ReadFile("../docs/CONFIG.md")
		Expect(err).NotTo(HaveOccurred())
		for _, v := range []any{config.Config{}, settings.Gateway{}, settings.Controller{}} {
			for _, key := range tomlKeys(reflect.TypeOf(v)) {
				Expect(string(text)).To(MatchRegexp("[`\\[ ]" + key + "[`\\]]"))
			}
		}
	})
})
