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

// Ports are taken below the range from which the kernel takes the ports of outgoing
// connections, so that no connection occupies a port between its choice and its
// use.
const (
	firstPort = 12000
	lastPort  = 32000
	portTries = 500
)

// Host is the loopback address of this process's rigs. A link that is cut listens no more
// until it is healed; on an address shared with the rigs of other processes, one of these
// could be given its port meanwhile, and the link could not be healed.
var Host = HostOf(os.Getpid())

// HostOf returns the loopback address of the rigs of a process. Neighbouring processes have
// different ones. The third part stays below 100: addresses above are those of nodes, which
// need the same ports at each.
func HostOf(pid int) string {
	const most = 250
	return fmt.Sprintf("127.%d.%d.1", 1+pid%most, pid/most%100)
}

var (
	portMu    sync.Mutex
	portsUsed = map[int]bool{}
)

// FreeAddress returns a loopback IP:port that nothing listens on and that this
// process was not given before.
func FreeAddress() (string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if portsUsed[port] {
			continue
		}
		address := net.JoinHostPort(Host, strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		portsUsed[port] = true
		return address, eris.Wrap(listener.Close(), "close listener")
	}
	return "", eris.New("no free port")
}
