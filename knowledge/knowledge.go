// Package knowledge tracks what a process knows of the state in the store: the configuration and when
// its version was last confirmed to be the newest, the evacuated data centres, the uptime of the
// store, and its restorations from a copy.
package knowledge

import (
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/routing"
)

// Snapshot is the known configuration at one moment. It is immutable.
type Snapshot struct {
	Table *routing.Table
	// Revision is that of the stored row.
	Revision platform.Revision
	// Raw is the content of the row. It is passed on to nodes that cannot reach the store.
	Raw []byte
	// Written is set if the operator is known to have written the row in the era of Revision. A row
	// that may come from a copy can be older than the last one that the operator wrote.
	Written bool
	Confirmation
}

// Confirmation records when a version was confirmed to be the newest.
type Confirmation struct {
	// ConfirmedAt is the latest time at which the version is certain to have been the newest: the
	// time at which the request was sent whose response confirmed it. Every revocation made before
	// that time is known.
	ConfirmedAt time.Duration
	// AnsweredAt is the time of the last response of the store, to this node or to the node that
	// was asked. A store that stays silent for longer than its usual wait is unreachable.
	AnsweredAt time.Duration
}

func (c Confirmation) merge(other Confirmation) Confirmation {
	return Confirmation{ConfirmedAt: max(c.ConfirmedAt, other.ConfirmedAt), AnsweredAt: max(c.AnsweredAt, other.AnsweredAt)}
}

// Ages holds the times elapsed since the times in Confirmation.
type Ages struct {
	Confirmed, Answered time.Duration
}

// ConfigurationTracker tracks the newest known configuration and when it was last confirmed. Its
// methods are safe for concurrent use. Its clock must keep running while the machine is suspended,
// or a machine that has resumed would consider an old configuration up to date.
type ConfigurationTracker struct {
	now     func() time.Duration
	mu      sync.RWMutex
	current Snapshot
}

// NewConfigurationTracker returns a ConfigurationTracker without a known version. now reads the
// clock.
func NewConfigurationTracker(now func() time.Duration) *ConfigurationTracker {
	return &ConfigurationTracker{now: now}
}

// Apply installs a configuration that was the newest at the times of its confirmation, unless a
// newer one is known. It reports whether the configuration is new. For the one that is known
// already, it only records the confirmation.
func (c *ConfigurationTracker) Apply(s Snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Revision == c.current.Revision {
		c.current.Written = c.current.Written || s.Written
		c.current.Confirmation = c.current.merge(s.Confirmation)
		return false
	}
	if c.current.Table != nil {
		if !s.NewerThan(c.current.Table.Version, c.current.Revision) {
			return false
		}
		s.Written = s.Written || s.rewrites(c.current)
		s.Confirmation = c.current.merge(s.Confirmation)
	}
	c.current = s
	return true
}

// Number returns the version that the operator gave the configuration; 0 if there is none.
func (s Snapshot) Number() int64 {
	if s.Table == nil {
		return 0
	}
	return s.Table.Version
}

// NewerThan reports whether the configuration is newer than the one with the given version and
// revision. Revisions of different eras cannot be compared: the copy from which the store was
// restored may hold an older configuration than the known one. The operator's own versions never
// decrease, so they decide between eras.
func (s Snapshot) NewerThan(version int64, revision platform.Revision) bool {
	if s.Revision.Era == revision.Era || s.Table.Version == version {
		return s.Revision.NewerThan(revision)
	}
	return s.Table.Version > version
}

// rewrites reports whether the row, which is newer than that of before, was certainly written in its
// own era. A row that was copied keeps its version, and has a later one than all rows before it.
func (s Snapshot) rewrites(before Snapshot) bool {
	switch {
	case s.Revision.Era == before.Revision.Era:
		return true
	case s.Table.Version == before.Table.Version:
		return s.Revision.Version != before.Revision.Version
	default:
		return s.Revision.Version <= before.Revision.Version
	}
}

// Confirm records that the known configuration was the newest at the times in confirmation. It does
// nothing if revision is not the known one.
func (c *ConfigurationTracker) Confirm(revision platform.Revision, confirmation Confirmation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision == c.current.Revision {
		c.current.Confirmation = c.current.merge(confirmation)
	}
}

// Current returns the known configuration and its ages. The table is nil if none is known.
func (c *ConfigurationTracker) Current() (Snapshot, Ages) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	now := c.now()
	return c.current, Ages{Confirmed: now - c.current.ConfirmedAt, Answered: now - c.current.AnsweredAt}
}
