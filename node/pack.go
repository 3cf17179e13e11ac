package node

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/knowledge"
	"github.com/crocusreel/crocusreel/peer"
	"github.com/crocusreel/crocusreel/platform"
)

// A node that starts needs the whole table of endpoints. Thousands of rows are half a
// megabyte, and after a loss of power hundreds of nodes ask for them at once: the few that
// have them first would send for twenty seconds over their links, each answer would come
// later than its asker waits, and nobody would serve. So the table is packed, once for all
// who ask, a node answers a few of them at a time, and those whom it turns away find others,
// of which there are several times more with each round.

const (
	// wholesAtOnce is the number of whole tables that a node sends within wholesWindow: a
	// packed table of thousands of endpoints takes some 40 ms of a small VM's link.
	wholesAtOnce = 4
	wholesWindow = 150 * time.Millisecond
)

var errBusy = eris.New("other nodes are being told everything")

// pacer bounds the whole tables that are sent.
type pacer struct {
	mu    sync.Mutex
	began time.Duration
	sent  int
}

// take tells whether one more may be sent.
func (p *pacer) take(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now-p.began >= wholesWindow {
		p.began, p.sent = now, 0
	}
	if p.sent >= wholesAtOnce {
		return false
	}
	p.sent++
	return true
}

// packedConfiguration is the configuration as it is sent to other nodes.
type packedConfiguration struct {
	mu   sync.Mutex
	row  int64
	data []byte
}

func (p *packedConfiguration) of(known knowledge.Snapshot) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.row != known.Row {
		p.row, p.data = known.Row, deflate(known.Raw)
	}
	return p.data
}

func deflate(data []byte) []byte {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	_, _ = w.Write(data) // a buffer takes everything
	_ = w.Close()
	return packed.Bytes()
}

// maxInflated bounds what a packed message may grow to, in bytes.
const maxInflated = 8 * peer.MaxMessageBytes

func inflate(packed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxInflated))
	return data, eris.Wrap(err, "inflate")
}

// wholeListing returns the table that an answer holds: the packed one, brought up to date.
func wholeListing(resp *exchangev1.SnapshotResponse) (platform.Listing, error) {
	listing := platform.Listing{Version: resp.GetEndpointsVersion()}
	data, err := inflate(resp.GetEndpointsPacked())
	if err != nil {
		return listing, err
	}
	var list exchangev1.RowList
	if err := proto.Unmarshal(data, &list); err != nil {
		return listing, eris.Wrap(err, "decode endpoints")
	}
	newer := make(map[string]bool, len(resp.GetEndpoints()))
	for _, row := range resp.GetEndpoints() {
		newer[row.GetKey()] = true
		if !row.GetDeleted() {
			listing.Rows = append(listing.Rows, readRow(row))
		}
	}
	for _, row := range list.GetRows() {
		if !newer[row.GetKey()] {
			listing.Rows = append(listing.Rows, readRow(row))
		}
	}
	return listing, nil
}

func readRow(row *exchangev1.Row) platform.Row {
	return platform.Row{Key: row.GetKey(), Value: row.GetData(), Version: row.GetVersion(), Deleted: row.GetDeleted()}
}
