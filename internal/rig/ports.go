package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
)

// Ports are chosen below the ephemeral port range of the kernel, so that no outgoing connection
// occupies a port between its choice and its use.
const (
	firstPort    = 12000
	lastPort     = 32000
	maxPortTries = 500
)

// LoopbackIP is the loopback address of the rigs of this process. A link that is cut closes its
// listener until it is healed. If several processes shared an address, a rig of another process
// could take the port in the meantime, and the link could not be healed.
var LoopbackIP = LoopbackIPOf(os.Getpid())

// LoopbackIPOf returns the loopback address of the rigs of the process with the given PID. Processes
// with nearby PIDs get different addresses. The third octet stays below 100: values of 100 and above
// are reserved for nodes, each of which needs the same ports on its own address.
func LoopbackIPOf(pid int) string {
	const octetRange = 250
	return fmt.Sprintf("127.%d.%d.1", 1+pid%octetRange, pid/octetRange%100)
}

// portsUsed contains the ports that FreeAddress has returned. It is guarded by portMu.
var (
	portMu    sync.Mutex
	portsUsed = map[int]bool{}
)

// FreeAddress returns an IP:port on LoopbackIP on which nothing listens and that it has not returned
// before in this process. It is safe for concurrent use.
func FreeAddress() (string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range maxPortTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if portsUsed[port] {
			continue
		}
		address := net.JoinHostPort(LoopbackIP, strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		portsUsed[port] = true
		return address, eris.Wrap(listener.Close(), "close listener")
	}
	return "", eris.New("no free loopback port found")
}
