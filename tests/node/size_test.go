package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/procstat"
	"github.com/crocusreel/crocusreel/platform"
)

const (
	// endpointEntryCount is the number of endpoint entries that the system is designed for.
	endpointEntryCount = 3000
	// vmMemoryMiB is the memory limit in the nodes' settings, in MiB.
	vmMemoryMiB = 134
	// maxConfigurationBytes is the maximum size of a row in the store, in bytes.
	maxConfigurationBytes = 64 << 10
)

// residentMiB returns the resident memory of the node's process, in MiB.
func (n *nodeProcess) residentMiB() float64 {
	GinkgoHelper()
	sample, err := procstat.Read(n.PID())
	Expect(err).NotTo(HaveOccurred())
	return sample.RSSMiB
}

// malformedEntry returns one of five kinds of malformed entry, chosen by i.
func malformedEntry(i int) []byte {
	return []byte([]string{
		`{"service":"app","address":`,
		`{"service":["app"],"address":"127.0.0.1:1","zone":"dc1","version":"v1","batch_size":24,"phase":"ready","sequence":1}`,
		`{"service":"app","zone":"dc1","version":"v1","batch_size":24,"phase":"ready","sequence":1}`,
		`{"service":"app","address":"127.0.0.1:1","zone":"dc1","version":"v1","batch_size":24,"phase":"asleep","sequence":1}`,
		"\x00\xff\xfe",
	}[i%5])
}

// fillEndpointTable writes count entries, rounded up to whole transactions of 100. Every third
// entry is malformed; the others belong to a service that no route uses.
func (s *site) fillEndpointTable(count int) {
	GinkgoHelper()
	for from := 0; from < count; from += 100 {
		var txn platform.Txn
		for i := from; i < from+100; i++ {
			data := fmt.Appendf(nil, `{"service":"idle","address":"127.0.0.1:%d","zone":"dc1","version":"v1","batch_size":24,`+
				`"phase":"ready","cold_remaining_ms":0,"sequence":1}`, 1+i)
			if i%3 == 0 {
				data = malformedEntry(i)
			}
			txn.Writes = append(txn.Writes, platform.Write{Table: platform.TableEndpoints, Key: fmt.Sprintf("many-%04d", i), Value: data})
		}
		_, err := s.store.Commit(context.Background(), txn)
		Expect(err).NotTo(HaveOccurred())
	}
}

// configureLargest writes the next version of the configuration, close to the maximum size of a
// row.
func (s *site) configureLargest() {
	GinkgoHelper()
	s.configVersion++
	routes := []map[string]any{
		{"name": "calls", "host": "a.example", "prefix": "/calls/", "type": "idempotent", "service": "app", "max_attempts": 2, "timeout_ms": 3000},
	}
	encode := func() []byte {
		data, err := json.Marshal(map[string]any{
			"version": s.configVersion, "routes": routes, "services": []map[string]any{{"name": "app", "max_connections": 100}},
			"tenants": []map[string]any{{"name": "ws", "api_keys": s.keys}},
		})
		Expect(err).NotTo(HaveOccurred())
		return data
	}
	baseSize := len(encode())
	for i := range (maxConfigurationBytes - 2*baseSize) / baseSize {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r%d-%d", i, s.configVersion), "host": "a.example", "prefix": fmt.Sprintf("/r%d/%d/", i, s.configVersion), "type": "idempotent",
			"service": "app", "max_attempts": 2, "timeout_ms": 3000, "comment": strings.Repeat("x", 100),
		})
	}
	s.write(platform.Write{Table: platform.TableOperator, Key: platform.KeyConfiguration, Value: encode()})
}

var _ = Describe("nodes with thousands of entries", func() {
	// Guards against malformed entries (truncated, wrong types, unknown phases, binary data), a third
	// of three thousand, that disturb calls at nodes which read the store or at their followers, or
	// that exceed the VM's memory.
	It("serve although a third of the entries are malformed", func() {
		s := newSite()
		s.fillEndpointTable(endpointEntryCount)
		s.startApp("i1")
		s.start(3)
		for _, n := range s.nodes {
			s.expectCall(n)
			for range 20 {
				Expect(s.send(n, "/calls/1", "key").status).To(Equal(http.StatusOK))
			}
			resident := n.residentMiB()
			AddReportEntry("resident memory, MiB", resident, ReportEntryVisibilityFailureOrVerbose)
			Expect(resident).To(BeNumerically("<", vmMemoryMiB))
		}
	})

	// Guards against late changes, failed calls and memory that grows with the number of changes while
	// the operator changes a configuration of the maximum size three times a second.
	It("serve while a configuration of the maximum size changes three times a second", func() {
		s := newSite()
		s.startApp("i1")
		s.start(3)
		for range 15 {
			s.configureLargest()
			for _, n := range s.nodes {
				Expect(s.send(n, "/calls/1", "key").status).To(Equal(http.StatusOK))
			}
			time.Sleep(time.Second / 3)
		}
		s.keys = []string{"new"}
		s.configureLargest()
		for _, n := range s.nodes {
			Eventually(func() int { return s.send(n, "/calls/1", "new").status }, 2*time.Second).Should(Equal(http.StatusOK))
			resident := n.residentMiB()
			AddReportEntry("resident memory, MiB", resident, ReportEntryVisibilityFailureOrVerbose)
			Expect(resident).To(BeNumerically("<", vmMemoryMiB))
		}
	})
})
