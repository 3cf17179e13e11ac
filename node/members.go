package node

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/crocusreel/crocusreel/platform"
)

// tableNodes is the store's table of this system's nodes, keyed by IP.
const tableNodes = "nodes"

// member is a node's row. It is written at the start only: who lives is known from
// datagrams, and the row merely lets a new node find the others.
type member struct {
	DataCentre string `json:"data_centre"`
}

const (
	registerTimeout = time.Second
	// registerBackoff is the pause after a failed registration.
	registerBackoff = 300 * time.Millisecond
)

// join makes this node known and learns of the others, from the store and from the
// seeds, either of which may be out of reach.
func (n *Node) join(ctx context.Context) error {
	for _, seed := range n.settings.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			n.gossip.Add(host)
		}
	}
	for ctx.Err() == nil {
		err := n.register(ctx)
		if err == nil {
			<-ctx.Done()
			return nil
		}
		n.log.Debug("not registered yet", zap.Error(err))
		pause(ctx, jitter(registerBackoff))
	}
	return nil
}

func (n *Node) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	listing, err := n.store.List(ctx, tableNodes)
	if err != nil {
		return err
	}
	known := false
	for _, row := range listing.Rows {
		known = known || row.Key == n.settings.IP
		n.gossip.Add(row.Key)
	}
	n.log.Info("nodes listed", zap.Int("count", len(listing.Rows)), zap.Bool("registered", known))
	if known {
		return nil
	}
	data, err := json.Marshal(member{DataCentre: n.settings.DataCentre})
	if err != nil {
		return err
	}
	_, err = n.store.Commit(ctx, platform.Txn{
		Writes: []platform.Write{{Table: tableNodes, Key: n.settings.IP, Value: data}},
	})
	return err
}
