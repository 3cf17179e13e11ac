package logging

import (
	"testing"

	"github.com/onsi/gomega"
	"go.uber.org/zap/zapcore"
)

// A caller sends a name that contains a line break and an equals sign. Without quotes it would add
// a second line to the log that looks like a genuine event.
func TestHostileValueIsQuoted(t *testing.T) {
	g := gomega.NewWithT(t)
	enc := newEncoder()
	enc.AddString("name", "a\nevent=forged b")
	buf, err := enc.EncodeEntry(zapcore.Entry{Message: "request refused"}, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(buf.String()).To(gomega.ContainSubstring(`event="request refused" name="a\nevent=forged b"`))
	g.Expect(buf.String()).To(gomega.MatchRegexp(`^[^\n]*\n$`))
}
