// Package quarantine finds the parts of prompts that crash each engine that runs them, and keeps
// requests with such parts off the engines.
package quarantine

import "strconv"

// Part identifies a part of a prompt that requests share.
type Part uint64

// String returns the part's ID in hexadecimal, as callers state it.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// Strings returns the IDs of parts.
func Strings(parts []Part) []string {
	ids := make([]string, 0, len(parts))
	for _, p := range parts {
		ids = append(ids, p.String())
	}
	return ids
}

// PartsOf returns the parts with the given IDs.
func PartsOf(ids []uint64) []Part {
	parts := make([]Part, 0, len(ids))
	for _, id := range ids {
		parts = append(parts, Part(id))
	}
	return parts
}

// IDs returns the IDs of parts as they are sent in messages.
func IDs(parts []Part) []uint64 {
	ids := make([]uint64, 0, len(parts))
	for _, p := range parts {
		ids = append(ids, uint64(p))
	}
	return ids
}
