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
	Seen
}

// Seen tells when a version was the newest.
type Seen struct {
	// Certain is a moment at which it was certainly the newest: the question to which
	// the answer confirmed it had not been sent before. Whatever was taken away earlier
	// is known.
	Certain time.Duration
	// Answered is when the store last answered, here or at the node that was asked. A
	// store that is silent for longer than its usual wait is out of reach.
	Answered time.Duration
}

func (s Seen) or(other Seen) Seen {
	return Seen{Certain: max(s.Certain, other.Certain), Answered: max(s.Answered, other.Answered)}
}

// Ages are the times since the moments of Seen.
type Ages struct {
	Certain, Answered time.Duration
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

// Apply takes a version that was the newest as seen says. An older version than the
// known one is not applied; it returns whether the version is new.
func (c *Configuration) Apply(table *routing.Table, row int64, raw []byte, seen Seen) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if row < c.at.Row {
		return false
	}
	if row == c.at.Row {
		c.at.Seen = c.at.or(seen)
		return false
	}
	c.at = Snapshot{Table: table, Row: row, Raw: raw, Seen: seen}
	return true
}

// Confirm records that the version of the row was the newest.
func (c *Configuration) Confirm(row int64, seen Seen) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if row == c.at.Row {
		c.at.Seen = c.at.or(seen)
	}
}

// Current returns the knowledge and its ages. Without a configuration the table is nil.
func (c *Configuration) Current() (Snapshot, Ages) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	now := c.now()
	return c.at, Ages{Certain: now - c.at.Certain, Answered: now - c.at.Answered}
}
