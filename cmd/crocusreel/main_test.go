package main

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/crocusreel/crocusreel/config"
	"github.com/crocusreel/crocusreel/operator"
)

func TestExitCodes(t *testing.T) {
	g := gomega.NewWithT(t)
	remote := func(code string) error {
		return eris.Wrap(&operator.RemoteError{ErrorBody: operator.ErrorBody{Code: code}}, "apply")
	}
	codes := map[int][]error{
		exitFailed:      {errors.New("other"), remote(operator.CodeUnauthorized), remote(operator.CodeNotFound)},
		exitUsage:       {usageError{errors.New("no key")}, config.Problems{{}}, remote(operator.CodeInvalidDocument)},
		exitConflict:    {remote(operator.CodeConflict)},
		exitUnreachable: {eris.Wrap(operator.ErrUnreachable, "x"), remote(operator.CodePlatformUnavailable), remote(operator.CodeResultUnknown)},
	}
	for code, errs := range codes {
		for _, err := range errs {
			g.Expect(exitCode(err)).To(gomega.Equal(code), "%v", err)
		}
	}
}

func TestReadDocument(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	_, err := readDocument(dir)
	g.Expect(exitCode(err)).To(gomega.Equal(exitUsage))
	g.Expect(os.WriteFile(filepath.Join(dir, "base.toml"), []byte("a"), 0o600)).To(gomega.Succeed())
	g.Expect(os.Mkdir(filepath.Join(dir, "overlays"), 0o700)).To(gomega.Succeed())
	g.Expect(os.WriteFile(filepath.Join(dir, "overlays", "dc1.toml"), []byte("b"), 0o600)).To(gomega.Succeed())
	doc, err := readDocument(dir)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(doc).To(gomega.Equal(config.Document{Base: "a", Overlays: map[string]string{"dc1": "b"}}))
}

func TestReadEvacuations(t *testing.T) {
	g := gomega.NewWithT(t)
	body := `{"gauges":{"evacuations":[{"data_centre":"dc1","since_ns":2000000000,"endpoints":12,"running":3}]}}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	known, err := readEvacuations(address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var text strings.Builder
	printEvacuations(&text, []nodeEvacuations{{Node: address, Evacuations: known}, {Node: "other"}})
	g.Expect(text.String()).To(gomega.ContainSubstring("dc1\t2s\t12\t3\n"))
	g.Expect(text.String()).To(gomega.ContainSubstring("other\t-"))

	body = `{}`
	_, err = readEvacuations(address)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("not those of a node")))
	server.Close()
	_, err = readEvacuations(address)
	g.Expect(exitCode(err)).To(gomega.Equal(exitUnreachable))
}
