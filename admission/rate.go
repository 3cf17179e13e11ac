package admission

import "time"

const (
	// rateBuckets buckets of rateBucket are the window over which ended runs are counted. Long runs
	// take 4 to 8 s; a shorter window holds too few of them to tell a rate.
	rateBuckets = 12
	rateBucket  = 250 * time.Millisecond
	rateWindow  = rateBuckets * rateBucket
)

// rate counts the tokens of ended runs within a sliding window. The zero value has counted none.
type rate struct {
	tokens [rateBuckets]int
	bucket int64
}

// advance clears the buckets that have left the window. A clock that runs backwards changes nothing.
func (r *rate) advance(now time.Duration) {
	current := int64(now / rateBucket)
	for r.bucket = max(r.bucket, current-rateBuckets); r.bucket < current; {
		r.bucket++
		r.tokens[r.bucket%rateBuckets] = 0
	}
}

func (r *rate) record(now time.Duration, tokens int) {
	r.advance(now)
	r.tokens[r.bucket%rateBuckets] += max(tokens, 0)
}

// perSecond returns the rate in tokens per second.
func (r *rate) perSecond(now time.Duration) float64 {
	r.advance(now)
	sum := 0
	for _, n := range r.tokens {
		sum += n
	}
	return float64(sum) / rateWindow.Seconds()
}
