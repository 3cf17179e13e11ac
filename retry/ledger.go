package retry

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// Entry is the state of a service in the ledger.
type Entry struct {
	// Count is the number of retries that have been reserved.
	Count int64
	// Version identifies the state of the entry, 0 for one that does not exist.
	Version int64
	// Era is the era of the store. It rises if the store is restored from a copy, which may have lost
	// the newest reservations.
	Era int64
}

// ErrChanged means that an entry has changed since it was read.
var ErrChanged = eris.New("the entry has changed")

// Ledger holds the number of retries that all nodes have reserved, for each service. Its methods are
// safe for concurrent use.
type Ledger interface {
	// Read returns the entry of a service.
	Read(ctx context.Context, service string) (Entry, error)
	// Advance sets the count of the service to a higher one if its entry still is the known one, and
	// returns the new entry. It returns ErrChanged if it is not. After any other error it is not known
	// whether the count was set.
	Advance(ctx context.Context, service string, known Entry, count int64) (Entry, error)
}

// MemoryLedger is a Ledger in the memory of this process.
type MemoryLedger struct {
	mu      sync.Mutex
	entries map[string]Entry
}

// Read implements Ledger.
func (l *MemoryLedger) Read(_ context.Context, service string) (Entry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[service], nil
}

// Advance implements Ledger.
func (l *MemoryLedger) Advance(_ context.Context, service string, known Entry, count int64) (Entry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[service]
	if e.Version != known.Version {
		return Entry{}, ErrChanged
	}
	if l.entries == nil {
		l.entries = make(map[string]Entry)
	}
	e.Count, e.Version = count, e.Version+1
	l.entries[service] = e
	return e, nil
}
