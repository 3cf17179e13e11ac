// Package rig starts the whole system on loopback: the stand-ins, several VMs with a gateway and a
// controller each, and fault-injecting proxies on the links between them. It is used by the tests,
// the load tool and the demo.
package rig
