package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/config"
)

const (
	baseFile   = "base.toml"
	overlayDir = "overlays"
	extension  = ".toml"
)

// readDocument reads base.toml and every overlays/DATA_CENTRE.toml in dir. base.toml is required.
// Errors are of type usageError.
func readDocument(dir string) (config.Document, error) {
	base, err := os.ReadFile(filepath.Join(dir, baseFile))
	if err != nil {
		return config.Document{}, usageError{eris.Wrap(err, "read configuration")}
	}
	doc := config.Document{Base: string(base)}
	paths, err := filepath.Glob(filepath.Join(dir, overlayDir, "*"+extension))
	if err != nil {
		return config.Document{}, usageError{eris.Wrap(err, "list overlays")}
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return config.Document{}, usageError{eris.Wrap(err, "read overlay")}
		}
		if doc.Overlays == nil {
			doc.Overlays = make(map[string]string)
		}
		doc.Overlays[strings.TrimSuffix(filepath.Base(path), extension)] = string(text)
	}
	return doc, nil
}
