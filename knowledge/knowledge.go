// Package knowledge holds what a node knows of the configuration: which version, and
// at which moment that version was last confirmed as the newest.
package knowledge

import (
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/routing"
)

// Snapshot is the knowledge at one moment. It is immutable.
type Snapshot struct {
	Table *routing.Table
	// Row is the version of the stored row, which rises with each change.
	Row int64
	// Raw is the row's content, for nodes that cannot reach the store.
	Raw []byte
	// confirmed is a moment at which this version was certainly the newest.
	confirmed time.Duration
}

// Configuration is the node's knowledge of the configuration. Time is that of a clock
// that goes on while the machine is suspended: a machine that has slept must not
// believe that it is up to date.
type Configuration struct {
	now func() time.Duration
	mu  sync.RWMutex
	at  Snapshot
}

// NewConfiguration returns a Configuration that knows nothing.
func NewConfiguration(now func() time.Duration) *Configuration {
	return &Configuration{now: now}
}

// Apply takes a version that was the newest at the time confirmed. An older version
// than the known one is not applied; it returns whether the version is new.
func (c *Configuration) Apply(table *routing.Table, row int64, raw []byte, confirmed time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if row < c.at.Row {
		return false
	}
	if row == c.at.Row {
		c.at.confirmed = max(c.at.confirmed, confirmed)
		return false
	}
	c.at = Snapshot{Table: table, Row: row, Raw: raw, confirmed: confirmed}
	return true
}

// Confirm records that the version of the row was the newest at the given time.
func (c *Configuration) Confirm(row int64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if row == c.at.Row {
		c.at.confirmed = max(c.at.confirmed, at)
	}
}

// Current returns the knowledge and its age. Without a configuration the table is nil.
func (c *Configuration) Current() (Snapshot, time.Duration) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.at, c.now() - c.at.confirmed
}
