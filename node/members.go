package node

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/internal/boottime"
	"github.com/crocusreel/crocusreel/platform"
)

// tableNodes is the store's table of the nodes, keyed by IP.
const tableNodes = "nodes"

// member is the row of a node. Liveness is known from datagrams; the row lets a node that is new,
// or was disconnected for a long time, find the others.
type member struct {
	DataCentre string `json:"data_centre"`
}

const (
	registerTimeout = time.Second
	// registerBackoff is the pause after a failed registration, before jitter.
	registerBackoff = 300 * time.Millisecond
	// registrationDelay is the delay, before jitter, between the start of a node and its first read
	// of the table.
	registrationDelay = 2 * time.Second
	// registeredPerDataCentre is the number of nodes per data centre that have a row: more than are
	// lost at the same time.
	registeredPerDataCentre = 4
	// membersInterval is the interval, before jitter, at which a node compares the number of rows
	// with the number of live nodes. If they differ it reads the table again: after a partition
	// that lasted longer than nodes are remembered, no other node would contact it.
	membersInterval = 30 * time.Second
	// pruneAfter is how long a node must be absent before its row is removed. VMs are replaced
	// daily, at new addresses, and their rows would accumulate without bound. A node that was only
	// disconnected for that long registers again.
	pruneAfter = 5 * time.Minute
)

// join registers this node and discovers the others, through the store and through the seeds,
// either of which may be unreachable.
func (n *Node) join(ctx context.Context) error {
	for _, seed := range n.settings.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			n.gossip.Add(host)
		}
	}
	// After this delay, gossip has discovered the nodes that started at the same time.
	pause(ctx, jitter(registrationDelay))
	registered := -1
	var absent absences
	for ctx.Err() == nil {
		live := n.liveAddresses()
		if registered == len(live) || !n.shouldRegister() {
			if n.awaitRegistrationCheck(ctx) {
				registered = -1
			}
			continue
		}
		rows, err := n.register(ctx)
		if err != nil {
			n.log.Debug("node registration failed; retrying after a backoff", zap.Error(err))
			pause(ctx, jitter(registerBackoff))
			continue
		}
		registered = len(rows)
		n.prune(ctx, absent.stale(boottime.Now(), rows, live), live)
		if n.awaitRegistrationCheck(ctx) {
			registered = -1
		}
	}
	return nil
}

// awaitRegistrationCheck waits until the rows are due for the next comparison. It reports whether the
// store was restored from a copy meanwhile, which may have lost this node's row.
func (n *Node) awaitRegistrationCheck(ctx context.Context) (lost bool) {
	timer := time.NewTimer(jitter(membersInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	case <-n.registrationLost:
		pause(ctx, jitter(registrationDelay))
		return true
	}
}

// shouldRegister reports whether this node is one of the first few of its data centre, through
// which others are discovered. If each of hundreds of nodes had a row, every node would read all
// rows at its start without learning anything more.
func (n *Node) shouldRegister() bool {
	before := 0
	for _, p := range n.gossip.Live() {
		if p.DataCentre == n.settings.DataCentre && p.Address < n.settings.IP {
			before++
		}
	}
	return before < registeredPerDataCentre
}

// liveAddresses returns the addresses of the live nodes, including this one.
func (n *Node) liveAddresses() map[string]bool {
	live := map[string]bool{n.settings.IP: true}
	for _, p := range n.gossip.Live() {
		live[p.Address] = true
	}
	return live
}

// register reads the rows of all nodes and adds this node's row if it is missing.
func (n *Node) register(ctx context.Context) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	listing, err := n.store.List(ctx, tableNodes)
	if err != nil {
		return nil, err
	}
	known := false
	for _, row := range listing.Rows {
		known = known || row.Key == n.settings.IP
		n.gossip.Add(row.Key)
	}
	n.log.Info("nodes listed", zap.Int("count", len(listing.Rows)), zap.Bool("registered", known))
	if known {
		return listing.Rows, nil
	}
	data, err := json.Marshal(member{DataCentre: n.settings.DataCentre})
	if err != nil {
		return nil, err
	}
	own := platform.Row{Table: tableNodes, Key: n.settings.IP}
	_, err = n.store.Commit(ctx, platform.Txn{
		Writes: []platform.Write{{Table: tableNodes, Key: n.settings.IP, Value: data}},
	})
	return append(listing.Rows, own), err
}

// prune removes the rows of lost nodes. Only the live node with the lowest address does so, to
// avoid concurrent attempts; where nodes disagree about who is live, the condition on the row's
// version lets one attempt succeed.
func (n *Node) prune(ctx context.Context, stale []platform.Row, live map[string]bool) {
	for address := range live {
		if address < n.settings.IP {
			return
		}
	}
	for _, row := range stale {
		ctx, cancel := context.WithTimeout(ctx, registerTimeout)
		_, err := n.store.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Table: tableNodes, Key: row.Key, Version: row.Version, Era: row.Era}},
			Writes:     []platform.Write{{Table: tableNodes, Key: row.Key, Delete: true}},
		})
		cancel()
		n.log.Info("remove row of lost node", zap.String("node", row.Key), zap.Error(err))
	}
}

// absences holds the time since which each registered node has not been live.
type absences map[string]time.Duration

// stale returns the rows of nodes that have been absent for at least pruneAfter.
func (a *absences) stale(now time.Duration, rows []platform.Row, live map[string]bool) []platform.Row {
	since := make(absences)
	var stale []platform.Row
	for _, row := range rows {
		if live[row.Key] {
			continue
		}
		first, known := (*a)[row.Key]
		if !known {
			first = now
		}
		since[row.Key] = first
		if now-first >= pruneAfter {
			stale = append(stale, row)
		}
	}
	*a = since
	return stale
}
