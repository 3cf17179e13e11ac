// Package examples embeds the example files, so that programs can refer to them by
// name.
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

// Mix returns the text of the request mix with this name.
func Mix(name string) (string, error) {
	text, err := fs.ReadFile(files, path.Join(mixDir, name+mixSuffix))
	if err != nil {
		return "", eris.Wrapf(err, "no example mix %q; there are %s", name, strings.Join(MixNames(), ", "))
	}
	return string(text), nil
}

// MixNames lists the example mixes.
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
