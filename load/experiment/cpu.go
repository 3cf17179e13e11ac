package experiment

import (
	"context"
	"os"
	"strconv"
	"strings"
	"time"
)

// cpuTimes holds the cumulative CPU times of the machine since boot, in clock ticks.
type cpuTimes struct {
	total, idle float64
}

// Columns of the first line of /proc/stat, which sums up all CPUs. Column 0 is the label.
const (
	statIdle   = 4
	statIOWait = 5
	statSteal  = 8
)

// readCPU reads the CPU times from /proc/stat. It returns zero times if the file cannot be read or
// parsed, for example on systems without /proc.
func readCPU() cpuTimes {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return cpuTimes{}
	}
	line, _, _ := strings.Cut(string(text), "\n")
	var t cpuTimes
	for i, field := range strings.Fields(line) {
		// The columns after steal (guest and guest_nice) are already included in user and nice.
		if i == 0 || i > statSteal {
			continue
		}
		n, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return cpuTimes{}
		}
		t.total += n
		if i == statIdle || i == statIOWait {
			t.idle += n
		}
	}
	return t
}

// busySince returns the fraction of CPU time in use between earlier and t, or -1 if unknown.
func (t cpuTimes) busySince(earlier cpuTimes) float64 {
	total := t.total - earlier.total
	if total <= 0 {
		return -1
	}
	return 1 - (t.idle-earlier.idle)/total
}

const (
	// maxBusyFraction is the CPU utilization below which a run may start. Above it, the gaps
	// between tokens depend more on the load of the machine than on the policy.
	maxBusyFraction   = 0.75
	maxIdleProbes     = 20
	idleProbeInterval = time.Second
)

// awaitIdleCPU waits until the CPU utilization of the machine falls below maxBusyFraction. It gives
// up after maxIdleProbes samples of idleProbeInterval each, and the run starts anyway.
func awaitIdleCPU(ctx context.Context) {
	for range maxIdleProbes {
		before := readCPU()
		select {
		case <-time.After(idleProbeInterval):
		case <-ctx.Done():
			return
		}
		if readCPU().busySince(before) < maxBusyFraction {
			return
		}
	}
}
