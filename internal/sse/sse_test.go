package sse_test

import (
	"bytes"
	"testing"

	"github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/sse"
)

func TestEventsEndWithAnEmptyLineInEachWayToEndALine(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, end := range []string{"\n", "\r\n", "\r"} {
		first, second := "id: 1"+end+"data: x"+end+end, "data: y"+end+end
		g.Expect(sse.Event([]byte(first+second))).To(gomega.Equal(len(first)), "%q", end)
		g.Expect(sse.Events([]byte(first+second+"data: z"+end))).To(gomega.Equal(len(first+second)), "%q", end)
		g.Expect(sse.Events([]byte("data: z"+end))).To(gomega.BeZero(), "%q", end)
	}
	g.Expect(sse.Event([]byte("data: x\n\r\nrest"))).To(gomega.Equal(len("data: x\n\r\n")))
	g.Expect(sse.Events([]byte("data: x\r\n\r"))).To(gomega.Equal(len("data: x\r\n\r")))
	g.Expect(sse.Events(nil)).To(gomega.BeZero())
}

func TestCommentsAreNoEvents(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(sse.IsComment([]byte(": keep\r: open\r\n\n"))).To(gomega.BeTrue())
	g.Expect(sse.IsComment([]byte(": keep\rdata: x\r\r"))).To(gomega.BeFalse())
}

// FuzzEvents guards against bytes that are lost, or joined into one event, depending on how a stream
// is cut into pieces.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\r\rdata\n\n\r\n: c\n\n"), 3)
	f.Fuzz(func(t *testing.T, b []byte, at int) {
		whole := sse.Events(b)
		if whole > 0 && b[whole-1] != '\n' && b[whole-1] != '\r' {
			t.Fatalf("complete events end with %q", b[whole-1])
		}
		cut := 0
		if len(b) > 0 {
			cut = ((at % len(b)) + len(b)) % len(b)
		}
		first := sse.Events(b[:cut])
		if first > cut {
			t.Fatalf("%d bytes of events in %d bytes", first, cut)
		}
		rest := first + sse.Events(b[first:])
		if rest != whole && !bytes.Contains(b, []byte("\r\n")) {
			t.Fatalf("%d bytes of events at once, %d in two pieces", whole, rest)
		}
	})
}
