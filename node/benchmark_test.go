package node_test

import (
	"fmt"
	"testing"

	"github.com/crocusreel/crocusreel/exchange/exchangev1"
	"github.com/crocusreel/crocusreel/node"
	"github.com/crocusreel/crocusreel/platform"
)

// benchEndpoints is the number of endpoints in the benchmarked table.
const benchEndpoints = 3000

func benchRow(i int, version int64) platform.Row {
	return platform.Row{
		Table: platform.TableEndpoints, Key: fmt.Sprintf("i-%010x", i*7919), Version: version,
		Value: fmt.Appendf(nil, `{"service":"kade8a","address":"10.1.%d.%d:8662","zone":"hala-a","version":"v1","batch_size":24,`+
			`"phase":"ready","cold_remaining_ms":0,"sequence":%d,"born":17864327380%02d}`, i/250, i%250, version, i%100),
	}
}

func benchTable() *node.EndpointTable {
	var l platform.Listing
	for i := range benchEndpoints {
		l.Rows = append(l.Rows, benchRow(i, 1))
	}
	l.Version = 1
	var e node.EndpointTable
	node.Replace(&e, l, 1)
	return &e
}

// BenchmarkChange measures applying an answer of the store with ten changed rows and making the
// response for a follower.
func BenchmarkChange(b *testing.B) {
	e := benchTable()
	version := int64(1)
	b.ReportAllocs()
	for b.Loop() {
		version++
		l := platform.Listing{Version: version}
		for i := range 10 {
			l.Rows = append(l.Rows, benchRow(int(version)*10%benchEndpoints+i, version))
		}
		node.Update(e, l, 1)
		node.FillResponse(e, &exchangev1.SnapshotResponse{}, platform.Revision{Version: version - 1})
	}
}

// BenchmarkFullTable measures making the response for a starting node.
func BenchmarkFullTable(b *testing.B) {
	e := benchTable()
	b.ReportAllocs()
	for b.Loop() {
		node.FillResponse(e, &exchangev1.SnapshotResponse{}, platform.Revision{})
	}
}

// BenchmarkUnpack measures decoding such a response, and reports its packed size.
func BenchmarkUnpack(b *testing.B) {
	resp := &exchangev1.SnapshotResponse{}
	node.FillResponse(benchTable(), resp, platform.Revision{})
	b.ReportAllocs()
	for b.Loop() {
		if l, err := node.FullListing(resp); err != nil || len(l.Rows) != benchEndpoints {
			b.Fatal(len(l.Rows), err)
		}
	}
	b.ReportMetric(float64(len(resp.GetEndpointsPacked())), "bytes")
}

// BenchmarkReadEndpoint measures decoding one entry.
func BenchmarkReadEndpoint(b *testing.B) {
	row := benchRow(1, 1)
	b.ReportAllocs()
	for b.Loop() {
		platform.ReadEndpoint(row.Key, row.Value)
	}
}
