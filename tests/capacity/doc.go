// Package capacity measures what one gateway and one scheduler cost, at several
// sizes. It runs with the build tag capacity only, since its
// figures depend on the machine and decide nothing.
package capacity
