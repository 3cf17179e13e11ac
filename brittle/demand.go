package brittle

import "time"

const (
	// demandBuckets is the number of buckets of demandBucket in which requests are counted. Demand
	// is the rate over all of them, or over the last shortBuckets if that is higher and these hold at
	// least minShortCount requests.
	demandBuckets = 20
	demandBucket  = 100 * time.Millisecond
	shortBuckets  = 5
	minShortCount = 4
)

// Demand counts the requests for a service that one node receives. The zero value has counted none.
// It is not safe for concurrent use.
type Demand struct {
	counts [demandBuckets]int
	bucket int64
}

// Record counts a request.
func (d *Demand) Record(now time.Duration) {
	d.advance(now)
	d.counts[d.bucket%demandBuckets]++
}

// advance clears the buckets that have left the window.
func (d *Demand) advance(now time.Duration) {
	current := int64(now / demandBucket)
	for d.bucket = max(d.bucket, current-demandBuckets); d.bucket < current; {
		d.bucket++
		d.counts[d.bucket%demandBuckets] = 0
	}
}

// PerSecond returns the rate of requests.
func (d *Demand) PerSecond(now time.Duration) float64 {
	d.advance(now)
	short, long := 0, 0
	for i := range int64(demandBuckets) {
		n := d.counts[(d.bucket-i+demandBuckets)%demandBuckets]
		long += n
		if i < shortBuckets {
			short += n
		}
	}
	rate := float64(long) / (demandBuckets * demandBucket).Seconds()
	if short >= minShortCount {
		rate = max(rate, float64(short)/(shortBuckets*demandBucket).Seconds())
	}
	return rate
}

// Utilization estimates the utilization of endpoints that run slots requests at a time in total, each
// for workTime, if all of the given number of nodes receive as many requests as this one.
func (d *Demand) Utilization(now time.Duration, nodes, slots int, workTime time.Duration) float64 {
	return d.PerSecond(now) * float64(max(nodes, 1)) * workTime.Seconds() / float64(max(slots, 1))
}
