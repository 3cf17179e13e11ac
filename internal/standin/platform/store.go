// Package platform implements a stand-in for the platform, for tests and experiments: the metadata
// store, the list of VMs and the weight store, all in memory.
package platform

import (
	"slices"
	"strings"
	"sync"

	"github.com/crocusreel/crocusreel/platform"
)

type rowID struct{ table, key string }

// store holds tables and objects. Each transaction has a version, and a row carries the version
// of the transaction that wrote it.
type store struct {
	mu      sync.Mutex
	version int64
	rows    map[rowID]platform.Row
	// changes are all writes and deletions after compactedVersion, oldest first.
	changes          []platform.Row
	compactedVersion int64
	// changed is closed and replaced at each commit.
	changed chan struct{}
	objects map[string][]byte
}

func newStore() *store {
	return &store{
		rows:    make(map[rowID]platform.Row),
		changed: make(chan struct{}),
		objects: make(map[string][]byte),
	}
}

// list returns the first limit rows of a table with from <= key < to, in key order, and whether
// there are more. An empty to sets no upper bound. version is that of the latest transaction.
func (s *store) list(table, from, to string, limit int) (rows []platform.Row, more bool, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, row := range s.rows {
		if id.table == table && id.key >= from && (to == "" || id.key < to) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	more = len(rows) > limit
	return rows[:min(limit, len(rows))], more, s.version
}

// changesSince returns the changes of a table after a version, a channel that is closed at the next
// commit, and the version of the latest transaction. compacted reports that the history no longer
// reaches back to the version.
func (s *store) changesSince(table string, version int64) (rows []platform.Row, changed <-chan struct{}, latest int64, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.compactedVersion {
		return nil, nil, s.version, true
	}
	for _, row := range s.changes {
		if row.Table == table && row.Version > version {
			rows = append(rows, row)
		}
	}
	return rows, s.changed, s.version, false
}

// dropHistory discards all changes so far.
func (s *store) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.compactedVersion = nil, s.version
}

// commit applies the transaction if all its conditions hold, and returns the written rows and the
// version of the latest transaction.
func (s *store) commit(txn platform.Txn) (rows []platform.Row, version int64, applied bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Conditions {
		if s.rows[rowID{c.Table, c.Key}].Version != c.Version {
			return nil, s.version, false
		}
	}
	s.version++
	for _, w := range txn.Writes {
		rows = append(rows, s.write(w))
	}
	s.changes = append(s.changes, rows...)
	close(s.changed)
	s.changed = make(chan struct{})
	return rows, s.version, true
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
