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

// tableNodes is the store's table of this system's nodes, keyed by IP.
const tableNodes = "nodes"

// member is a node's row. Who lives is known from datagrams; the row lets a node that is
// new, or was cut off for long, find the others.
type member struct {
	DataCentre string `json:"data_centre"`
}

const (
	registerTimeout = time.Second
	// registerBackoff is the pause after a failed registration.
	registerBackoff = 300 * time.Millisecond
	// settleTime is the time after the start before a node looks into the table.
	settleTime = 2 * time.Second
	// findableNodes is the number of nodes of a data centre that have a row: more than are
	// lost at a time.
	findableNodes = 4
	// membersEvery is how often a node looks whether all registered nodes are live. If
	// not it reads the table again: after a cut that lasted longer than nodes are
	// remembered, nobody would otherwise speak to it.
	membersEvery = 30 * time.Second
	// pruneAfter is the time without a sign of life after which a row is removed. VMs are
	// replaced daily, at new addresses, and their rows would pile up for ever. A node
	// that was merely cut off that long registers again.
	pruneAfter = 5 * time.Minute
)

// join makes this node known and learns of the others, from the store and from the
// seeds, either of which may be out of reach.
func (n *Node) join(ctx context.Context) error {
	for _, seed := range n.settings.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			n.gossip.Add(host)
		}
	}
	// Those that started with this one have been heard of by then.
	pause(ctx, jitter(settleTime))
	registered := -1
	var absent absences
	for ctx.Err() == nil {
		live := n.liveAddresses()
		if registered == len(live) || !n.findable() {
			pause(ctx, jitter(membersEvery))
			continue
		}
		rows, err := n.register(ctx)
		if err != nil {
			n.log.Debug("not registered yet", zap.Error(err))
			pause(ctx, jitter(registerBackoff))
			continue
		}
		registered = len(rows)
		n.prune(ctx, absent.stale(boottime.Now(), rows, live), live)
		pause(ctx, jitter(membersEvery))
	}
	return nil
}

// findable tells whether this node is one of those by which others are found: the first
// few of its data centre. A row of each of hundreds would be read by all of them at each
// start, and tell no more.
func (n *Node) findable() bool {
	before := 0
	for _, p := range n.gossip.Live() {
		if p.DataCentre == n.settings.DataCentre && p.Address < n.settings.IP {
			before++
		}
	}
	return before < findableNodes
}

// liveAddresses are the nodes that are live, this one included.
func (n *Node) liveAddresses() map[string]bool {
	live := map[string]bool{n.settings.IP: true}
	for _, p := range n.gossip.Live() {
		live[p.Address] = true
	}
	return live
}

// register reads the rows of all nodes and adds this one's if it is not there.
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

// prune removes rows of nodes that are gone. The live node with the lowest address does
// it, so that not all try at once; where views differ, the condition lets one succeed.
func (n *Node) prune(ctx context.Context, stale []platform.Row, live map[string]bool) {
	for address := range live {
		if address < n.settings.IP {
			return
		}
	}
	for _, row := range stale {
		ctx, cancel := context.WithTimeout(ctx, registerTimeout)
		_, err := n.store.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Table: tableNodes, Key: row.Key, Version: row.Version}},
			Writes:     []platform.Write{{Table: tableNodes, Key: row.Key, Delete: true}},
		})
		cancel()
		n.log.Info("row of a lost node removed", zap.String("node", row.Key), zap.Error(err))
	}
}

// absences remembers since when registered nodes have not been live.
type absences map[string]time.Duration

// stale returns the rows of nodes that have been absent for pruneAfter.
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
