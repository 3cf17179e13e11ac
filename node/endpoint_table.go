package node

import (
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/platform"
)

// endpointTable is this node's copy of the endpoints' rows, kept for the nodes that follow it. Rows
// arrive from the store and from other nodes, sometimes concurrently, so an answer may be older
// than what is known: only rows newer than the known ones are accepted.
type endpointTable struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	// removed holds the versions of removals later than floor. Rows at or below floor are never
	// accepted, and a follower whose version is below floor gets the full table.
	removed map[string]int64
	floor   int64
	// version is the version of the latest change.
	version int64
	// currentAt is the time at which the rows were last known to be current.
	currentAt time.Duration
	// packed is the full table as of packedVersion, for starting nodes.
	packed        []byte
	packedVersion int64
	// changes caches the changes last packed for followers.
	changes packedChanges
}

// packedChanges holds the packed changes between two versions.
type packedChanges struct {
	since, version int64
	data           []byte
}

// maxRemoved bounds the number of removals remembered. Followers lag by one second at most.
const maxRemoved = 256

// replace stores a full listing. It returns false, and stores nothing, if the listing is older than
// the known version.
func (e *endpointTable) replace(l platform.Listing, at time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.Version < e.version {
		return false
	}
	e.rows = make(map[string]platform.Row, len(l.Rows))
	for _, row := range l.Rows {
		e.rows[row.Key] = row
	}
	e.removed = make(map[string]int64)
	e.version, e.floor, e.currentAt = l.Version, l.Version, max(e.currentAt, at)
	return true
}

// update stores changed rows and returns those that are newer than the known ones.
func (e *endpointTable) update(l platform.Listing, at time.Duration) []platform.Row {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.Version >= e.version {
		e.currentAt = max(e.currentAt, at)
	}
	if len(l.Rows) == 0 {
		return nil
	}
	if e.rows == nil {
		e.rows, e.removed = make(map[string]platform.Row), make(map[string]int64)
	}
	var fresh []platform.Row
	for _, row := range l.Rows {
		if row.Version <= max(e.floor, e.rows[row.Key].Version, e.removed[row.Key]) {
			continue
		}
		fresh = append(fresh, row)
		if row.Deleted {
			delete(e.rows, row.Key)
			e.removed[row.Key] = row.Version
		} else {
			e.rows[row.Key] = row
			delete(e.removed, row.Key)
		}
	}
	e.version = max(e.version, l.Version)
	if len(e.removed) > maxRemoved {
		e.removed, e.floor = make(map[string]int64), e.version
	}
	return fresh
}

// age returns the time since the rows were last known to be current.
func (e *endpointTable) age() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return boottime.Now() - e.currentAt
}

func (e *endpointTable) knownVersion() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// fullSize returns the size in bytes of the packed full table if a follower at the given version
// needs the full table, or 0 if changes are enough for it.
func (e *endpointTable) fullSize(known int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known >= e.floor {
		return 0
	}
	e.packLocked()
	return len(e.packed)
}

// fillResponse adds to the response what a follower at the given version lacks.
func (e *endpointTable) fillResponse(resp *exchangev1.SnapshotResponse, known int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	resp.EndpointsVersion = e.version
	resp.EndpointsAgeMs = uint64((boottime.Now() - e.currentAt).Milliseconds()) + 1
	if e.version <= known {
		return
	}
	if resp.EndpointsWhole = known < e.floor; resp.GetEndpointsWhole() {
		resp.Endpoints = e.sinceLocked(e.packLocked())
		resp.EndpointsPacked = e.packed
		return
	}
	if e.changes.since == known && e.changes.version == e.version {
		resp.EndpointsPacked = e.changes.data
		return
	}
	rows := e.sinceLocked(known)
	if len(rows) < minPackedRows {
		resp.Endpoints = rows
		return
	}
	e.changes = packedChanges{since: known, version: e.version, data: packRows(rows)}
	resp.EndpointsPacked = e.changes.data
}

// minPackedRows is the number of changed rows from which the rows are packed, once for all
// followers. Rows are so similar that packing reduces them to a tenth of their size.
const minPackedRows = 8

// sinceLocked returns the rows changed or removed after the given version. The caller holds e.mu.
func (e *endpointTable) sinceLocked(version int64) []*exchangev1.Row {
	rows := e.existingSinceLocked(version)
	for key, removed := range e.removed {
		if removed > version {
			rows = append(rows, &exchangev1.Row{Key: key, Version: removed, Deleted: true})
		}
	}
	return rows
}

// existingSinceLocked returns the existing rows changed after the given version. The caller holds
// e.mu.
func (e *endpointTable) existingSinceLocked(version int64) (rows []*exchangev1.Row) {
	for _, row := range e.rows {
		if row.Version > version {
			rows = append(rows, &exchangev1.Row{Key: row.Key, Data: row.Value, Version: row.Version})
		}
	}
	return rows
}

// repackShare is the fraction of rows that may change before the packed table is rebuilt.
const repackShare = 0.1

// packLocked rebuilds the packed table if the changes since its version are not all known, or are
// too many, and returns its version. The result is cached because hundreds of nodes may start at
// once and request the same table. The caller holds e.mu.
func (e *endpointTable) packLocked() int64 {
	changes := len(e.sinceLocked(e.packedVersion))
	if e.packed != nil && e.packedVersion >= e.floor && float64(changes) <= repackShare*float64(len(e.rows)) {
		return e.packedVersion
	}
	e.packed, e.packedVersion = packRows(e.existingSinceLocked(0)), e.version
	return e.packedVersion
}
