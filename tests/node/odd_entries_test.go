package node_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/platform"
)

// oddEntries returns entries that no endpoint has written, by their kind.
func oddEntries(address string) map[string]string {
	valid := func(field, value string) string {
		fields := map[string]string{
			"service": `"app"`, "address": `"` + address + `"`, "zone": `"dc1"`, "version": `"v1"`, "batch_size": "24",
			"phase": `"ready"`, "cold_remaining_ms": "0", "sequence": "1",
		}
		fields[field] = value
		var parts []string
		for name, value := range fields {
			parts = append(parts, fmt.Sprintf("%q:%s", name, value))
		}
		return "{" + strings.Join(parts, ",") + "}"
	}
	nested := func(depth int, open, end string) string {
		return strings.Repeat(open, depth) + "1" + strings.Repeat(end, depth)
	}
	port := func(port string) string {
		host, _, _ := strings.Cut(address, ":")
		return `"` + host + ":" + port + `"`
	}
	return map[string]string{
		"nested deeply":                  nested(20_000, "[", "]"),
		"an object nested deeply":        nested(10_000, `{"a":`, "}"),
		"an unknown field nested deeply": valid("labels", nested(9_990, "[", "]")),
		"a known field nested deeply":    valid("batch_size", nested(9_000, "[", "]")),
		"nested without an end":          strings.Repeat(`{"service":`, 5_000),
		"a number too large for a float": valid("batch_size", "1e400"),
		"a number too large for an int":  valid("batch_size", "1e30"),
		"a number of a thousand digits":  valid("sequence", strings.Repeat("9", 1000)),
		"a start time too large":         valid("born", "1e300"),
		"a cold time too large":          valid("cold_remaining_ms", "1e300"),
		"an unknown field out of range":  valid("weight", "1e999"),
		"a port of 65536":                valid("address", port("65536")),
		"a port of 0":                    valid("address", port("0")),
		"a negative port":                valid("address", port("-1")),
		"a port of many digits":          valid("address", port(strings.Repeat("8", 400))),
		"an address without a port":      valid("address", `"10.0.0.1"`),
		"an unspecified address":         valid("address", `"0.0.0.0:80"`),
		"an address of a group of hosts": valid("address", `"239.1.2.3:80"`),
		"an address in a zone":           valid("address", `"[fe80::1%lo]:80"`),
		"a data centre of many bytes":    valid("zone", `"`+strings.Repeat("z", 30_000)+`"`),
		"a service that is not known":    valid("service", `"nobody"`),
		"a version with control bytes":   valid("version", `"\u0000\n\u001b[2J"`),
	}
}

var _ = Describe("odd entries among those of the endpoints", func() {
	// Guards against nodes that end, stop following the list, or lose requests over an entry that another writer
	// has left: deeply nested, with a number out of range, or with an address that is none.
	It("change nothing for the others", func() {
		s := newSite()
		s.startApp("app1")
		s.start(2)
		for i, n := range s.nodes {
			s.expectCall(n)
			Expect(n.Running()).To(BeTrue(), "node %d", i)
		}
		number := 0
		for kind, data := range oddEntries(s.addresses["app1"]) {
			number++
			Expect(s.writeEndpoint(platform.Write{Key: fmt.Sprintf("odd-%d", number), Value: []byte(data)})).To(Succeed(), kind)
		}
		s.startApp("app2")
		time.Sleep(500 * time.Millisecond)
		for range 40 {
			for _, n := range s.nodes {
				s.expectCall(n)
			}
		}
		// A node that starts reads the whole list at once.
		s.nodes[0].Kill()
		Expect(s.nodes[0].Start()).To(Succeed())
		Eventually(s.nodes[0].ready, 10*time.Second, 20*time.Millisecond).Should(BeTrue())
		// The nodes still follow the list.
		late := s.startApp("app3")
		Eventually(func() int {
			for _, n := range s.nodes {
				s.expectCall(n)
			}
			return len(late.Runs())
		}, 10*time.Second, 20*time.Millisecond).Should(BeNumerically(">", 0))
		for _, n := range s.nodes {
			Expect(n.Running()).To(BeTrue())
		}
	})
})
