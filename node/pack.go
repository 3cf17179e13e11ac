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
	// wholeBytes is how much of whole tables a node sends within wholesWindow, of which the
	// last may exceed it: less than half of what a small VM's link carries.
	wholeBytes   = 128 << 10
	wholesWindow = 150 * time.Millisecond
)

var errBusy = eris.New("other nodes are being told everything")

// pacer bounds the whole tables that are sent.
type pacer struct {
	mu    sync.Mutex
	began time.Duration
	sent  int
}

// take tells whether one more of so many bytes may be sent.
func (p *pacer) take(now time.Duration, size int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now-p.began >= wholesWindow {
		p.began, p.sent = now, 0
	}
	if p.sent >= wholeBytes {
		return false
	}
	p.sent += size
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
	if p.row != known.RowVersion {
		p.row, p.data = known.RowVersion, deflate(known.Raw)
	}
	return p.data
}

// writers and readers are kept for the next message: each holds some hundred kilobytes.
var (
	writers = sync.Pool{New: func() any {
		w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
		if err != nil {
			panic(err) // the level is a constant
		}
		return w
	}}
	readers = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

func deflate(data []byte) []byte {
	var packed bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&packed)
	_, _ = w.Write(data) // a buffer takes everything
	_ = w.Close()
	return packed.Bytes()
}

// maxInflated bounds what a packed message may grow to, in bytes.
const maxInflated = 8 * peer.MaxMessageBytes

func inflate(packed []byte) ([]byte, error) {
	r := readers.Get().(io.ReadCloser)
	defer readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, eris.Wrap(err, "inflate")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxInflated))
	return data, eris.Wrap(err, "inflate")
}

func packRows(rows []*exchangev1.Row) []byte {
	data, err := proto.Marshal(&exchangev1.RowList{Rows: rows})
	if err != nil {
		panic(err) // rows are texts and bytes, which have an encoding
	}
	return deflate(data)
}

func unpackRows(packed []byte) ([]*exchangev1.Row, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	data, err := inflate(packed)
	if err != nil {
		return nil, err
	}
	var list exchangev1.RowList
	if err := proto.Unmarshal(data, &list); err != nil {
		return nil, eris.Wrap(err, "decode rows")
	}
	return list.GetRows(), nil
}

// wholeListing returns the table that an answer holds: the packed one, brought up to date.
func wholeListing(resp *exchangev1.SnapshotResponse) (platform.Listing, error) {
	listing := platform.Listing{Version: resp.GetEndpointsVersion()}
	rows, err := unpackRows(resp.GetEndpointsPacked())
	if err != nil {
		return listing, err
	}
	newer := make(map[string]bool, len(resp.GetEndpoints()))
	for _, row := range resp.GetEndpoints() {
		newer[row.GetKey()] = true
		if !row.GetDeleted() {
			listing.Rows = append(listing.Rows, readRow(row))
		}
	}
	for _, row := range rows {
		if !newer[row.GetKey()] {
			listing.Rows = append(listing.Rows, readRow(row))
		}
	}
	return listing, nil
}

// changedRows returns the changes that an answer holds.
func changedRows(resp *exchangev1.SnapshotResponse) (platform.Listing, error) {
	listing := platform.Listing{Version: resp.GetEndpointsVersion()}
	packed, err := unpackRows(resp.GetEndpointsPacked())
	for _, row := range append(packed, resp.GetEndpoints()...) {
		listing.Rows = append(listing.Rows, readRow(row))
	}
	return listing, err
}

func readRow(row *exchangev1.Row) platform.Row {
	return platform.Row{Key: row.GetKey(), Value: row.GetData(), Version: row.GetVersion(), Deleted: row.GetDeleted()}
}
