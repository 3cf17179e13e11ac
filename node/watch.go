package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/fleet"
	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/internal/metrics"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/platform"
	"github.com/crocusreel/crocusreel/routing"
)

const (
	// changesWait is how long the store holds a question for changes. Each answer
	// confirms what is known, so this is also the usual age of the configuration: well
	// under the time after which keys must not be served, at a cost of less than one
	// call a second.
	changesWait = time.Second
	// endpointsWait may be longer, since nothing expires by the age of the list.
	endpointsWait = 2 * time.Second
	// answerSlack is the time beyond the wait after which a question is given up: the
	// store's slowest answers are some hundred times slower than its usual 4 ms.
	answerSlack = 500 * time.Millisecond
	// gather is the pause after a change before the next question: changes come in
	// groups, as when several engines leave, and each call has its price.
	gather = 40 * time.Millisecond
	// directCheck is how often a feed that rests looks whether it is needed.
	directCheck = 50 * time.Millisecond
	// firstBackoff and longestBackoff bound the pause after a failed question. All
	// nodes ask together after an outage, so the pause grows and has jitter.
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 500 * time.Millisecond
)

// feed follows one table of the store.
type feed struct {
	store *platform.Store
	table string
	wait  time.Duration
	log   *zap.Logger
	// direct tells whether this node follows the store at present.
	direct func() bool
	// listed takes a whole table and changed the rows that changed.
	listed  func(l platform.Listing, seen knowledge.Seen)
	changed func(l platform.Listing, seen knowledge.Seen)

	// version is the store's version up to which changes are known; 0 if the table
	// must be read as a whole.
	version int64

	mu   sync.Mutex
	lost time.Duration
	back time.Duration
}

// run follows the table until ctx ends.
func (f *feed) run(ctx context.Context) error {
	backoff := firstBackoff
	for ctx.Err() == nil {
		if !f.direct() {
			// What changes meanwhile is read as a whole later.
			f.version = 0
			f.reached()
			pause(ctx, directCheck)
			continue
		}
		err := f.ask(ctx)
		if err == nil {
			f.reached()
			backoff = firstBackoff
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, platform.ErrHistoryGone) {
			f.log.Info("history gone, table is read again", zap.String("table", f.table))
			f.version = 0
			continue
		}
		f.failed(err)
		pause(ctx, jitter(backoff))
		backoff = min(2*backoff, longestBackoff)
	}
	return nil
}

func (f *feed) ask(ctx context.Context) error {
	asked := boottime.Now()
	if f.version == 0 {
		// Each page has the time of one call. A bound on the whole would, with thousands of
		// endpoints over a slow link, end every reading before its last page, and a node
		// that starts would never come to serve.
		listing, err := f.store.List(ctx, f.table)
		if err != nil {
			return err
		}
		f.listed(listing, knowledge.Seen{Certain: asked, Answered: boottime.Now()})
		f.version = listing.Version
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.wait+answerSlack)
	defer cancel()
	listing, err := f.store.Changes(ctx, f.table, f.version, f.wait)
	if err != nil {
		return err
	}
	f.changed(listing, knowledge.Seen{Certain: asked, Answered: boottime.Now()})
	f.version = max(f.version, listing.Version)
	if len(listing.Rows) > 0 {
		pause(ctx, gather)
	}
	return nil
}

func (f *feed) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost == 0 {
		f.lost = boottime.Now()
		f.log.Warn("store lost", zap.String("table", f.table), zap.Error(err))
	}
	metrics.Count("store_call_failed")
}

// reached ends a loss of the store: it answered, or another node is followed that has it.
func (f *feed) reached() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost == 0 {
		return
	}
	f.back = boottime.Now()
	f.log.Info("store regained", zap.String("table", f.table), zap.Duration("after", f.back-f.lost))
	f.lost = 0
}

// unsteady tells whether the store is lost or came back less than the given time ago.
func (f *feed) unsteady(within time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost != 0 || (f.back != 0 && boottime.Now()-f.back < within)
}

// configurationListed takes the operator's table.
func (n *Node) configurationListed(l platform.Listing, seen knowledge.Seen) {
	for _, row := range l.Rows {
		if row.Key == platform.KeyConfiguration {
			n.applyConfiguration(row.Value, row.Version, seen)
		}
	}
}

// configurationChanged takes changes of the operator's table. Without one for the
// configuration, the known version is confirmed.
func (n *Node) configurationChanged(l platform.Listing, seen knowledge.Seen) {
	found := false
	for _, row := range l.Rows {
		if row.Key == platform.KeyConfiguration && !row.Deleted {
			n.applyConfiguration(row.Value, row.Version, seen)
			found = true
		}
	}
	if !found {
		known, _ := n.config.Current()
		n.config.Confirm(known.Row, seen)
	}
}

func (n *Node) applyConfiguration(data []byte, row int64, seen knowledge.Seen) {
	if known, _ := n.config.Current(); row <= known.Row {
		n.config.Confirm(row, seen)
		return
	}
	c, err := platform.DecodeConfiguration(data)
	if err != nil {
		n.log.Error("configuration not readable, the last one stays", zap.Int64("row", row), zap.Error(err))
		return
	}
	if n.config.Apply(routing.NewTable(c), row, data, seen) {
		n.log.Info("configuration applied", zap.Int64("config_version", c.Version), zap.Int64("row", row),
			zap.Int("routes", len(c.Routes)), zap.Int("workspaces_keys", len(c.Keys)))
		n.limits.apply(c.Limits)
		n.news.tell()
	}
}

// missingGrace is how long an endpoint stays in use whose entry vanished around an
// outage of the store: entries expire while heartbeats cannot be written, and come back
// within two seconds if their endpoints live. One that is missing longer is gone.
const missingGrace = 2100 * time.Millisecond

// outageShadow is the time after an outage in which entries may still vanish by it.
const outageShadow = 2 * time.Second

// ownEndpoints takes what the store itself says: whether the node that was followed before
// had lost the store no longer matters.
func (n *Node) ownEndpoints(take func(platform.Listing, knowledge.Seen)) func(platform.Listing, knowledge.Seen) {
	return func(l platform.Listing, seen knowledge.Seen) {
		n.unsteadyPeer.Store(false)
		take(l, seen)
	}
}

func (n *Node) endpointsListed(l platform.Listing, seen knowledge.Seen) {
	instances := make([]fleet.Instance, 0, len(l.Rows))
	for _, row := range l.Rows {
		if in, ok := n.decodeEndpoint(row); ok {
			instances = append(instances, in)
		}
	}
	tentative := n.endpointFeed.unsteady(outageShadow) || n.unsteadyPeer.Load()
	added, removed := n.fleet.Replace(instances, tentative)
	n.log.Info("endpoints listed", zap.Int("count", len(instances)), zap.Strings("added", added),
		zap.Strings("removed", removed), zap.Bool("tentative", tentative), zap.Int64("version", l.Version))
	n.entries.replace(l, seen.Answered)
	n.news.tell()
}

func (n *Node) endpointsChanged(l platform.Listing, seen knowledge.Seen) {
	tentative := n.endpointFeed.unsteady(outageShadow) || n.unsteadyPeer.Load()
	for _, row := range l.Rows {
		if row.Deleted {
			n.fleet.Remove(row.Key, tentative)
			n.log.Info("endpoint removed", zap.String("endpoint", row.Key), zap.Int64("version", row.Version),
				zap.Bool("tentative", tentative))
			continue
		}
		in, ok := n.decodeEndpoint(row)
		if !ok {
			continue
		}
		if n.fleet.Update(in) || in.Leaving {
			n.log.Info("endpoint known", zap.String("endpoint", in.ID), zap.String("service", in.Service),
				zap.String("address", in.Address), zap.Bool("leaving", in.Leaving), zap.Int64("version", row.Version))
		}
	}
	n.entries.update(l, seen.Answered)
	if len(l.Rows) > 0 {
		n.news.tell()
	}
}

func (n *Node) decodeEndpoint(row platform.Row) (fleet.Instance, bool) {
	in, err := platform.DecodeEndpoint(row.Key, row.Value)
	if err != nil {
		n.log.Error("endpoint entry not readable", zap.String("endpoint", row.Key), zap.Error(err))
		return in, false
	}
	return in, true
}
