// Package platform implements a stand-in for the platform, for tests and experiments: the metadata
// store, the list of VMs and the weight store, all in memory.
package platform

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/crocusreel/crocusreel/platform"
)

type rowID struct{ table, key string }

// store holds tables and objects. Each transaction has a version, and a row carries the version
// of the transaction that wrote it.
type store struct {
	mu sync.Mutex
	// era is the number of times that the store was restored from a copy, plus 1.
	era     int64
	version int64
	rows    map[rowID]platform.Row
	// changes are all writes and deletions after compactedVersion, oldest first.
	changes          []platform.Row
	compactedVersion int64
	// changed is closed and replaced at each commit.
	changed chan struct{}
	objects map[string][]byte
	// kept is the copy from which the store can be restored; nil if none was made.
	kept *storeCopy
}

// storeCopy is the content of the store at an earlier time.
type storeCopy struct {
	version          int64
	rows             map[rowID]platform.Row
	changes          []platform.Row
	compactedVersion int64
	objects          map[string][]byte
}

func newStore() *store {
	return &store{
		era:     1,
		rows:    make(map[rowID]platform.Row),
		changed: make(chan struct{}),
		objects: make(map[string][]byte),
	}
}

// list returns the first limit rows of a table with from <= key < to, in key order, and whether
// there are more. An empty to sets no upper bound. at is the revision of the store.
func (s *store) list(table, from, to string, limit int) (rows []platform.Row, more bool, at platform.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, row := range s.rows {
		if id.table == table && id.key >= from && (to == "" || id.key < to) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	more = len(rows) > limit
	return rows[:min(limit, len(rows))], more, s.revisionLocked()
}

// changesSince returns the changes of a table after a version, a channel that is closed at the next
// commit or restoration, and the revision of the store. gone reports that the history no longer
// reaches back to the version, or that the store does not have the version.
func (s *store) changesSince(table string, version int64) (rows []platform.Row, changed <-chan struct{}, at platform.Revision, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.compactedVersion || version > s.version {
		return nil, nil, s.revisionLocked(), true
	}
	for _, row := range s.changes {
		if row.Table == table && row.Version > version {
			rows = append(rows, row)
		}
	}
	return rows, s.changed, s.revisionLocked(), false
}

// keepCopy makes a copy of the store, in place of the last one.
func (s *store) keepCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = &storeCopy{
		version: s.version, rows: maps.Clone(s.rows), changes: slices.Clone(s.changes),
		compactedVersion: s.compactedVersion, objects: maps.Clone(s.objects),
	}
}

// restore replaces the content of the store by the kept copy, or by an empty store if there is
// none, and begins a new era. Its versions are assigned again.
func (s *store) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.kept
	if from == nil {
		from = &storeCopy{rows: make(map[rowID]platform.Row), objects: make(map[string][]byte)}
	}
	s.era++
	s.version, s.compactedVersion = from.version, from.compactedVersion
	s.rows, s.objects, s.changes = maps.Clone(from.rows), maps.Clone(from.objects), slices.Clone(from.changes)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) revision() platform.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revisionLocked()
}

func (s *store) revisionLocked() platform.Revision {
	return platform.Revision{Era: s.era, Version: s.version}
}

// dropHistory discards all changes so far.
func (s *store) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.compactedVersion = nil, s.version
}

// commit applies the transaction if all its conditions hold, and returns the written rows and the
// revision of the store.
func (s *store) commit(txn platform.Txn) (rows []platform.Row, at platform.Revision, applied bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Conditions {
		if s.rows[rowID{c.Table, c.Key}].Version != c.Version {
			return nil, s.revisionLocked(), false
		}
	}
	s.version++
	for _, w := range txn.Writes {
		rows = append(rows, s.write(w))
	}
	s.changes = append(s.changes, rows...)
	close(s.changed)
	s.changed = make(chan struct{})
	return rows, s.revisionLocked(), true
}

func (s *store) write(w platform.Write) platform.Row {
	id := rowID{w.Table, w.Key}
	row := platform.Row{Table: w.Table, Key: w.Key, Value: w.Value, Version: s.version, Deleted: w.Delete}
	if w.Delete {
		delete(s.rows, id)
	} else {
		s.rows[id] = row
	}
	return row
}

func (s *store) putObject(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = data
}

func (s *store) getObject(name string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	return data, ok
}
