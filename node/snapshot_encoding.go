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

// A starting node needs the full table of endpoints. Thousands of rows are half a megabyte, and
// after a power failure hundreds of nodes request them at once: the few nodes that have the table
// first would need twenty seconds to send it over their links, every answer would arrive after its
// requester's timeout, and no node would become ready. Therefore the table is packed once for all
// requesters, a node sends it to a few at a time, and rejected requesters retry at other nodes that
// have it, whose number multiplies with each round.

const (
	// tableBytesPerWindow is the number of bytes of full tables that a node sends per tableWindow;
	// the last table may exceed it. This is less than half the capacity of a small VM's link.
	tableBytesPerWindow = 128 << 10
	tableWindow         = 150 * time.Millisecond
)

var errBusy = eris.New("other nodes are being told everything")

// tableLimiter limits the rate at which full tables are sent.
type tableLimiter struct {
	mu          sync.Mutex
	windowStart time.Duration
	sentBytes   int
}

// allow reports whether one more table of the given size in bytes may be sent, and counts its bytes
// if so.
func (p *tableLimiter) allow(now time.Duration, size int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now-p.windowStart >= tableWindow {
		p.windowStart, p.sentBytes = now, 0
	}
	if p.sentBytes >= tableBytesPerWindow {
		return false
	}
	p.sentBytes += size
	return true
}

// packedConfiguration caches the configuration as it is sent to other nodes.
type packedConfiguration struct {
	mu       sync.Mutex
	revision platform.Revision
	data     []byte
}

func (p *packedConfiguration) get(known knowledge.Snapshot) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.revision != known.Revision {
		p.revision, p.data = known.Revision, deflate(known.Raw)
	}
	return p.data
}

// deflaters and inflaters are pooled because each holds some hundred kilobytes.
var (
	deflaters = sync.Pool{New: func() any {
		w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
		if err != nil {
			panic(err) // the level is a valid constant
		}
		return w
	}}
	inflaters = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

func deflate(data []byte) []byte {
	var packed bytes.Buffer
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&packed)
	_, _ = w.Write(data) // bytes.Buffer returns no errors
	_ = w.Close()
	return packed.Bytes()
}

// maxInflatedBytes bounds the size of a decompressed message, in bytes.
const maxInflatedBytes = 8 * peer.MaxMessageBytes

func inflate(packed []byte) ([]byte, error) {
	r := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, eris.Wrap(err, "inflate")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxInflatedBytes))
	return data, eris.Wrap(err, "inflate")
}

func packRows(rows []*exchangev1.Row) []byte {
	data, err := proto.Marshal(&exchangev1.RowList{Rows: rows})
	if err != nil {
		panic(err) // keys are valid UTF-8 and values are bytes, which always encode
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
		return nil, eris.Wrap(err, "decode packed rows")
	}
	return list.GetRows(), nil
}

// fullListing returns the full table that an answer contains: the packed rows, updated by the
// unpacked ones, which are newer.
func fullListing(resp *exchangev1.SnapshotResponse) (platform.Listing, error) {
	listing := platform.Listing{Era: resp.GetEndpointsEra(), Version: resp.GetEndpointsVersion()}
	rows, err := unpackRows(resp.GetEndpointsPacked())
	if err != nil {
		return listing, err
	}
	newer := make(map[string]bool, len(resp.GetEndpoints()))
	for _, row := range resp.GetEndpoints() {
		newer[row.GetKey()] = true
		if !row.GetDeleted() {
			listing.Rows = append(listing.Rows, readRow(row, listing.Era))
		}
	}
	for _, row := range rows {
		if !newer[row.GetKey()] {
			listing.Rows = append(listing.Rows, readRow(row, listing.Era))
		}
	}
	return listing, nil
}

// changedRows returns the changes that an answer contains.
func changedRows(resp *exchangev1.SnapshotResponse) (platform.Listing, error) {
	listing := platform.Listing{Era: resp.GetEndpointsEra(), Version: resp.GetEndpointsVersion()}
	packed, err := unpackRows(resp.GetEndpointsPacked())
	for _, row := range append(packed, resp.GetEndpoints()...) {
		listing.Rows = append(listing.Rows, readRow(row, listing.Era))
	}
	return listing, err
}

func readRow(row *exchangev1.Row, era int64) platform.Row {
	return platform.Row{Key: row.GetKey(), Value: row.GetData(), Version: row.GetVersion(), Era: era, Deleted: row.GetDeleted()}
}
