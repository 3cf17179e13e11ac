// Package boottime reads a clock that keeps running while the machine is suspended.
//
// The monotonic clock of time.Now stops during a suspension. A lease or a confirmation whose age
// is measured with it looks fresh on a machine that has just resumed, and the machine then acts on
// grants that other processes revoked during the suspension. The ages of leases and of cached
// state are therefore measured with this clock.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspensions. It panics if
// CLOCK_BOOTTIME is not available.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
