// Package procstat reads the resource usage and state of Linux processes from /proc, for
// measurements and for package rig.
package procstat

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// clockTick is the unit of CPU time in /proc. It is the same on all Linux platforms that Go
// supports.
const clockTick = 10 * time.Millisecond

// Indexes of the fields in /proc/PID/stat, counted from the field after the process name.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldRSSPages   = 21
)

// Sample is the resource usage of a process since its start, and its current memory.
type Sample struct {
	// CPU is the user and system CPU time.
	CPU time.Duration
	// RSSMiB is the resident memory in MiB.
	RSSMiB float64
	// BytesRead and BytesWritten are the numbers of bytes read and written through files and
	// sockets, without packet headers.
	BytesRead, BytesWritten float64
}

// Read returns a sample of the process with the given PID.
func Read(pid int) (Sample, error) {
	var s Sample
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return s, eris.Wrap(err, "read CPU time and memory of process")
	}
	fields := strings.Fields(afterName(stat))
	if len(fields) <= fieldRSSPages {
		return s, eris.Errorf("process %d: too few fields in stat: %d after the name", pid, len(fields))
	}
	s.CPU = time.Duration(parseNumber(fields[fieldUserTime])+parseNumber(fields[fieldSystemTime])) * clockTick
	s.RSSMiB = parseNumber(fields[fieldRSSPages]) * float64(os.Getpagesize()) / (1 << 20)
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return s, eris.Wrap(err, "read I/O counters of process")
	}
	for _, line := range strings.Split(string(io), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case "rchar":
			s.BytesRead = parseNumber(value)
		case "wchar":
			s.BytesWritten = parseNumber(value)
		}
	}
	return s, nil
}

// Stopped reports whether every thread of the process is stopped (T), a zombie (Z) or dead (X). It
// also returns true if the process does not exist.
func Stopped(pid int) bool {
	stats, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, name := range stats {
		stat, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		state := afterName(stat)
		if state != "" && state[0] != 'T' && state[0] != 'Z' && state[0] != 'X' {
			return false
		}
	}
	return true
}

// afterName returns the part of a stat line after the process name. The name is in parentheses and
// may itself contain spaces and parentheses.
func afterName(stat []byte) string {
	text := string(stat)
	return strings.TrimSpace(text[strings.LastIndexByte(text, ')')+1:])
}

// parseNumber parses a number from /proc. Errors are ignored, because the kernel writes well-formed
// numbers.
func parseNumber(text string) float64 {
	n, _ := strconv.ParseFloat(text, 64)
	return n
}
