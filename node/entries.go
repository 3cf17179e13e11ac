package node

import (
	"sync"
	"time"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/platform"
)

// entries keeps the endpoints' rows for the nodes that follow this one. Rows come from the
// store and from other nodes, at times from both at once, so that an answer may be behind
// what is known: only rows that are newer than the known ones are taken.
type entries struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	// removed holds removals since the version floor, up to which nothing is news; a follower that
	// knows less gets the whole table.
	removed map[string]int64
	floor   int64
	// version is that of the last change.
	version int64
	// at is when the rows were last known to be current.
	at time.Duration
	// packed is the whole table as it was at packedVersion, for nodes that start.
	packed        []byte
	packedVersion int64
	// changes are those that followers were last told.
	changes packedChanges
}

// packedChanges are the changes between two versions.
type packedChanges struct {
	since, version int64
	data           []byte
}

// maxRemoved bounds the remembered removals: followers are a second behind at most.
const maxRemoved = 256

// replace takes a whole listing; it returns false for one that is behind what is known.
func (e *entries) replace(l platform.Listing, at time.Duration) bool {
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
	e.version, e.floor, e.at = l.Version, l.Version, max(e.at, at)
	return true
}

// update takes changed rows and returns those that are newer than the known ones.
func (e *entries) update(l platform.Listing, at time.Duration) []platform.Row {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.Version >= e.version {
		e.at = max(e.at, at)
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

// age is the time since the rows were known to be current.
func (e *entries) age() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return boottime.Now() - e.at
}

func (e *entries) known() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// wholeSize is the size of the whole table, packed, for a follower that needs it, in bytes;
// 0 for one that knows a version from which the changes are known.
func (e *entries) wholeSize(known int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known >= e.floor {
		return 0
	}
	e.packLocked()
	return len(e.packed)
}

// fill adds what a follower that knows the given version lacks.
func (e *entries) fill(resp *exchangev1.SnapshotResponse, known int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	resp.EndpointsVersion = e.version
	resp.EndpointsAgeMs = uint64((boottime.Now() - e.at).Milliseconds()) + 1
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
	if len(rows) < packFrom {
		resp.Endpoints = rows
		return
	}
	e.changes = packedChanges{since: known, version: e.version, data: packRows(rows)}
	resp.EndpointsPacked = e.changes.data
}

// packFrom is the number of changed rows from which they are packed, once for all followers:
// rows are much alike, and packed they take a tenth of their bytes.
const packFrom = 8

// sinceLocked returns the rows that were changed or removed after a version.
func (e *entries) sinceLocked(version int64) []*exchangev1.Row {
	rows := e.presentLocked(version)
	for key, removed := range e.removed {
		if removed > version {
			rows = append(rows, &exchangev1.Row{Key: key, Version: removed, Deleted: true})
		}
	}
	return rows
}

// presentLocked returns the rows that were changed after a version and are there.
func (e *entries) presentLocked(version int64) (rows []*exchangev1.Row) {
	for _, row := range e.rows {
		if row.Version > version {
			rows = append(rows, &exchangev1.Row{Key: row.Key, Data: row.Value, Version: row.Version})
		}
	}
	return rows
}

// repackShare is the part of the rows that may have changed since the table was packed.
const repackShare = 0.1

// packLocked makes sure that there is a packed table from which the changes are known and
// few, and returns its version. Hundreds of nodes that start at once ask for the same.
func (e *entries) packLocked() int64 {
	changes := len(e.sinceLocked(e.packedVersion))
	if e.packed != nil && e.packedVersion >= e.floor && float64(changes) <= repackShare*float64(len(e.rows)) {
		return e.packedVersion
	}
	e.packed, e.packedVersion = packRows(e.presentLocked(0)), e.version
	return e.packedVersion
}
