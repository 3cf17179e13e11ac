package quarantine_test

import (
	"testing"
	"time"

	"github.com/crocusreel/crocusreel/quarantine"
)

// BenchmarkQuietRequest measures what a request with four shared parts costs while no part is suspected:
// two assessments and one survival.
func BenchmarkQuietRequest(b *testing.B) {
	now := time.Hour
	t := quarantine.New(func() time.Duration { now += time.Millisecond; return now })
	request := parts{1, 2, 3, 4}
	for b.Loop() {
		t.Assess(request, false)
		t.Assess(request, false)
		t.RecordSurvival(request)
	}
}

// BenchmarkNews measures what the parts add to each datagram while no part is suspected.
func BenchmarkNews(b *testing.B) {
	now := time.Hour
	t := quarantine.New(func() time.Duration { return now })
	for b.Loop() {
		t.Report()
	}
}
