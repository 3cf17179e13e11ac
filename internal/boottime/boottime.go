// Package boottime reads a clock that goes on while the machine is suspended.
//
// time.Now is monotonic but stands still during a suspension. A lease or a
// confirmation whose age is measured by it looks fresh on a machine that has just
// woken, and the machine then acts on what others took back while it slept. Ages of
// leases and beliefs are therefore measured by this clock.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
