package rollout

import (
	"math"
	"time"
)

// Histogram counts times in buckets whose bounds grow by bucketRatio.
type Histogram map[uint8]uint32

const (
	bucketRatio = 1.2
	// firstBucketMs is the upper bound of bucket 0 and lastBucket the number of the last one, which
	// begins at 11 s.
	firstBucketMs = 0.5
	lastBucket    = 56
)

// bucketOf returns the bucket of a time.
func bucketOf(d time.Duration) uint8 {
	ms := float64(d.Microseconds()) / 1000
	if ms <= firstBucketMs {
		return 0
	}
	return uint8(min(math.Ceil(math.Log(ms/firstBucketMs)/math.Log(bucketRatio)), lastBucket))
}

// Add counts a time.
func (h *Histogram) Add(d time.Duration) {
	if *h == nil {
		*h = Histogram{}
	}
	(*h)[bucketOf(d)]++
}

// total returns the number of counted times.
func (h Histogram) total() (n int) {
	for _, c := range h {
		n += int(c)
	}
	return n
}

// quantile returns the lowest bucket up to which at least the part q of the times lie.
func (h Histogram) quantile(q float64) int {
	rest := q * float64(h.total())
	for b := 0; b <= lastBucket; b++ {
		rest -= float64(h[uint8(b)])
		if rest <= 0 {
			return b
		}
	}
	return lastBucket
}

// from returns the number of times in a bucket and those above it.
func (h Histogram) from(bucket int) (n int) {
	for b, c := range h {
		if int(b) >= bucket {
			n += int(c)
		}
	}
	return n
}

// merge adds sign times the counts of o. Counts do not fall below 0.
func (h *Histogram) merge(o Histogram, sign int) {
	if *h == nil && len(o) > 0 {
		*h = Histogram{}
	}
	for b, c := range o {
		(*h)[b] = combine((*h)[b], c, sign)
	}
}

func combine(a, b uint32, sign int) uint32 {
	if sign >= 0 {
		return a + b
	}
	return a - min(a, b)
}

// Counts sums up requests. Requests that were refused as not run are not counted.
type Counts struct {
	Requests uint32 `msgpack:"n"` // that have ended
	// Bad counts failures: error statuses, invalid responses, broken streams and connections.
	Bad uint32 `msgpack:"b,omitempty"`
	// First holds the times to the first event of streams, or to the complete response of other
	// requests. Pace holds the mean times between the events of streams.
	First Histogram `msgpack:"f,omitempty"`
	Pace  Histogram `msgpack:"p,omitempty"`
	// ColdFirst and ColdPace hold the times of cold targets.
	ColdFirst Histogram `msgpack:"cf,omitempty"`
	ColdPace  Histogram `msgpack:"cp,omitempty"`
}

// Merge adds the counts of o.
func (c *Counts) Merge(o *Counts) { c.merge(o, 1) }

func (c *Counts) merge(o *Counts, sign int) {
	c.Requests = combine(c.Requests, o.Requests, sign)
	c.Bad = combine(c.Bad, o.Bad, sign)
	c.First.merge(o.First, sign)
	c.Pace.merge(o.Pace, sign)
	c.ColdFirst.merge(o.ColdFirst, sign)
	c.ColdPace.merge(o.ColdPace, sign)
}

// RouteCounts holds the counts of one route of a service.
type RouteCounts struct {
	Old Counts
	New map[string]*Counts // by target
}

// Evidence holds the counts of a service by route.
type Evidence map[string]*RouteCounts

// Add adds counts of a target of the new version, or of the old version if target is empty.
func (e Evidence) Add(route, target string, c *Counts) { e.add(route, target, c, 1) }

func (e Evidence) add(route, target string, c *Counts, sign int) {
	r := e[route]
	if r == nil {
		r = &RouteCounts{New: map[string]*Counts{}}
		e[route] = r
	}
	if target == "" {
		r.Old.merge(c, sign)
		return
	}
	if r.New[target] == nil {
		r.New[target] = &Counts{}
	}
	r.New[target].merge(c, sign)
}

// merge adds sign times the counts of o.
func (e Evidence) merge(o Evidence, sign int) {
	for route, r := range o {
		e.add(route, "", &r.Old, sign)
		for target, c := range r.New {
			e.add(route, target, c, sign)
		}
	}
}

// Since returns the difference to earlier sums.
func (e Evidence) Since(earlier Evidence) Evidence {
	out := Evidence{}
	out.merge(e, 1)
	out.merge(earlier, -1)
	return out
}

// New returns the number of requests that the new version has ended.
func (e Evidence) New() (n int) {
	for _, r := range e {
		for _, c := range r.New {
			n += int(c.Requests)
		}
	}
	return n
}
