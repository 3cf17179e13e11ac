// Package knowledge tracks what a node knows of the state in the store: the configuration and when
// its version was last confirmed to be the newest, the evacuated data centres, and the uptime of
// the store.
package knowledge

import (
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/routing"
)

// Snapshot is the known configuration at one moment. It is immutable.
type Snapshot struct {
	Table *routing.Table
	// RowVersion is the version of the stored row, which increases with each change.
	RowVersion int64
	// Raw is the content of the row. It is passed on to nodes that cannot reach the store.
	Raw []byte
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

// Apply installs a version that was the newest at the times in confirmation, unless a newer one is
// known. It reports whether the version is new. For the version that is known already, it only
// records the confirmation.
func (c *ConfigurationTracker) Apply(table *routing.Table, rowVersion int64, raw []byte, confirmation Confirmation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rowVersion < c.current.RowVersion {
		return false
	}
	if rowVersion == c.current.RowVersion {
		c.current.Confirmation = c.current.merge(confirmation)
		return false
	}
	c.current = Snapshot{Table: table, RowVersion: rowVersion, Raw: raw, Confirmation: confirmation}
	return true
}

// Confirm records that the known version was the newest at the times in confirmation. It does
// nothing if rowVersion is not the known version.
func (c *ConfigurationTracker) Confirm(rowVersion int64, confirmation Confirmation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rowVersion == c.current.RowVersion {
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
