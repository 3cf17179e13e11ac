// Package sse splits streams of server-sent events into lines and events. A line ends with LF, CR LF
// or CR, an event with an empty line (HTML Living Standard, 9.2.6).
package sse

import "bytes"

// Line returns the first line of b without its end, and what follows it. ended is false if b holds no
// end of a line; line is then all of b.
func Line(b []byte) (line, rest []byte, ended bool) {
	i := bytes.IndexAny(b, "\r\n")
	if i < 0 {
		return b, nil, false
	}
	end := i + 1
	if b[i] == '\r' && end < len(b) && b[end] == '\n' {
		end++
	}
	return b[:i], b[end:], true
}

// Event returns the length of the first complete event of b with the empty line that ends it, 0 if
// there is none.
//
// A CR at the end of b counts as the end of its line. An LF that follows it later is then an empty
// line of its own, which means nothing.
func Event(b []byte) int {
	for rest := b; ; {
		line, after, ended := Line(rest)
		if !ended {
			return 0
		}
		rest = after
		if len(line) == 0 {
			return len(b) - len(rest)
		}
	}
}

// Events returns the length of all complete events at the start of b.
func Events(b []byte) int {
	length := 0
	for {
		n := Event(b[length:])
		if n == 0 {
			return length
		}
		length += n
	}
}

// IsComment reports whether b holds only comments and empty lines, which receivers ignore.
func IsComment(b []byte) bool {
	for len(b) > 0 {
		var line []byte
		line, b, _ = Line(b)
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
