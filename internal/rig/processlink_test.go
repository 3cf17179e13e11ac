package rig

import (
	"net"
	"os"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against links that cut off the wrong process because they do not find the owner of a socket.
func TestProcessLinkFindsTheOwnerOfASocket(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp4", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = client.Close() }()
	inode := socketInode(client.LocalAddr().(*net.TCPAddr), client.RemoteAddr().(*net.TCPAddr))
	g.Expect(inode).NotTo(gomega.BeZero())
	g.Expect(ownsSocket(os.Getpid(), inode)).To(gomega.BeTrue())
	g.Expect(ownsSocket(os.Getppid(), inode)).To(gomega.BeFalse())
}
