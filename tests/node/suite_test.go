// Package node_test runs the real node program as separate processes on one machine, against
// stand-ins for the platform's store and endpoints, and injects faults from outside: signals to the
// processes, faults of the store and its connections, endpoints that leave.
package node_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/rig"
)

// bin and standinBin are the paths of the programs that the specs run.
var bin, standinBin string

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

var _ = BeforeSuite(func() {
	octet, reservation, err := reserveLoopbackOctet()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(reservation.Close)
	loopbackOctet = octet
	dir, err := os.MkdirTemp("", "crocusreel-node-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	Expect(rig.Build(context.Background(), "../..", dir)).To(Succeed())
	bin, standinBin = filepath.Join(dir, "crocusreel-node"), filepath.Join(dir, "crocusreel-standin")
})
