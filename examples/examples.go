// Package examples embeds the example request mixes, so that programs can refer to them by name.
package examples

import (
	"embed"
	"io/fs"
	"path"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	mixDir    = "mixes"
	mixSuffix = ".toml"
)

//go:embed mixes/*.toml
var files embed.FS

// Mix returns the TOML text of the example request mix with this name.
func Mix(name string) (string, error) {
	text, err := fs.ReadFile(files, path.Join(mixDir, name+mixSuffix))
	if err != nil {
		return "", eris.Wrapf(err, "unknown example mix %q; known mixes: %s", name, strings.Join(MixNames(), ", "))
	}
	return string(text), nil
}

// MixNames returns the names of the example request mixes in lexical order.
func MixNames() []string {
	matches, err := fs.Glob(files, mixDir+"/*"+mixSuffix)
	if err != nil {
		panic(err) // The pattern is constant.
	}
	for i, m := range matches {
		matches[i] = strings.TrimSuffix(path.Base(m), mixSuffix)
	}
	return matches
}
