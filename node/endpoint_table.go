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
	// revision is that of the latest change. The versions of all rows and removals are of its era.
	revision platform.Revision
	// removed holds the versions of removals later than floor. Rows at or below floor are never
	// accepted, and a follower whose version is below floor gets the full table.
	removed map[string]int64
	floor   int64
	// currentAt is the time at which the rows were last known to be current.
	currentAt time.Duration
	// packed is the full table as of packedAt, for starting nodes.
	packed   []byte
	packedAt platform.Revision
	// changes caches the changes last packed for followers.
	changes packedChanges
}

// packedChanges holds the packed changes between two versions.
type packedChanges struct {
	since, until platform.Revision
	data         []byte
}

// maxRemoved bounds the number of removals remembered. Followers lag by one second at most.
const maxRemoved = 256

// replace stores a full listing. It returns false, and stores nothing, if the listing is older than
// the known rows. restored is set if the listing begins a new era of the store.
func (e *endpointTable) replace(l platform.Listing, at time.Duration) (replaced, restored bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.revision.NewerThan(l.Revision()) {
		return false, false
	}
	restored = e.rows != nil && l.Era > e.revision.Era
	e.rows = make(map[string]platform.Row, len(l.Rows))
	for _, row := range l.Rows {
		e.rows[row.Key] = row
	}
	e.removed = make(map[string]int64)
	e.revision, e.floor, e.currentAt = l.Revision(), l.Version, max(e.currentAt, at)
	return true, restored
}

// update stores changed rows and returns those that are newer than the known ones. Changes of
// another era than the known rows are ignored: they do not show what the store lost between the two.
func (e *endpointTable) update(l platform.Listing, at time.Duration) []platform.Row {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rows != nil && l.Era != e.revision.Era {
		return nil
	}
	if l.Version >= e.revision.Version {
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
	e.revision = platform.MaxRevision(e.revision, l.Revision())
	if len(e.removed) > maxRemoved {
		e.removed, e.floor = make(map[string]int64), e.revision.Version
	}
	return fresh
}

// age returns the time since the rows were last known to be current.
func (e *endpointTable) age() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return boottime.Now() - e.currentAt
}

func (e *endpointTable) knownRevision() platform.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision
}

// followerRevision returns the revision of the endpoints that a follower has. A follower that knows
// no eras is taken to be in the era of this table.
func (e *endpointTable) followerRevision(req *exchangev1.SnapshotRequest) platform.Revision {
	known := platform.Revision{Era: req.GetEndpointsEra(), Version: req.GetEndpointsVersion()}
	if req.GetStoreEra() == 0 {
		known.Era = e.knownRevision().Era
	}
	return known
}

// needsFullLocked reports whether a follower at the given revision needs the full table. The caller
// holds e.mu.
func (e *endpointTable) needsFullLocked(known platform.Revision) bool {
	return known.Era < e.revision.Era || (known.Era == e.revision.Era && known.Version < e.floor)
}

// fullSize returns the size in bytes of the packed full table if a follower at the given revision
// needs the full table, or 0 if changes are enough for it.
func (e *endpointTable) fullSize(known platform.Revision) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.needsFullLocked(known) {
		return 0
	}
	e.packLocked()
	return len(e.packed)
}

// fillResponse adds to the response what a follower at the given revision lacks.
func (e *endpointTable) fillResponse(resp *exchangev1.SnapshotResponse, known platform.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	resp.EndpointsVersion, resp.EndpointsEra = e.revision.Version, e.revision.Era
	resp.EndpointsAgeMs = uint64((boottime.Now() - e.currentAt).Milliseconds()) + 1
	if !e.revision.NewerThan(known) {
		return
	}
	if resp.EndpointsWhole = e.needsFullLocked(known); resp.GetEndpointsWhole() {
		resp.Endpoints = e.sinceLocked(e.packLocked())
		resp.EndpointsPacked = e.packed
		return
	}
	if e.changes.since == known && e.changes.until == e.revision {
		resp.EndpointsPacked = e.changes.data
		return
	}
	rows := e.sinceLocked(known.Version)
	if len(rows) < minPackedRows {
		resp.Endpoints = rows
		return
	}
	e.changes = packedChanges{since: known, until: e.revision, data: packRows(rows)}
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
	usable := e.packed != nil && !e.needsFullLocked(e.packedAt)
	if usable && float64(len(e.sinceLocked(e.packedAt.Version))) <= repackShare*float64(len(e.rows)) {
		return e.packedAt.Version
	}
	e.packed, e.packedAt = packRows(e.existingSinceLocked(0)), e.revision
	return e.packedAt.Version
}
