// Package capacity measures the resource usage of gateways, the scheduler and controllers at
// several sizes. It runs only with the build tag capacity, since its figures depend on the machine
// and no check depends on them.
package capacity
