package sched

import "github.com/figlb/figlb/structs"

// Shedding ranks of requests; the highest rank is shed first.
const (
	rankInProgress = iota
	rankNew
	rankBatchInProgress
	rankBatchNew
	shedRankCount
)

// shareTolerance allows for rounding errors when an organisation's part of the queue, relative to
// its share, is compared with 1. The mean of these ratios is exactly 1, so at least one is not
// below 1; without the tolerance, rounding errors could make all of them appear to be below.
const shareTolerance = 1e-9

// shedRank returns the shedding rank of a request.
func shedRank(r *Request) int {
	rank := rankInProgress
	if r.Class == structs.ClassBatch {
		rank = rankBatchInProgress
	}
	if !r.InProgress() {
		rank++
	}
	return rank
}

// victim returns the request to shed from a queue that is too long. Only organisations that
// are at or above their share of the queue lose requests, so that a flood of requests from one
// organisation does not cause requests of others to be refused. Among these organisations, the
// one with the request of the highest shedding rank is chosen (batch before other classes, and
// new programs before those in progress), then the one furthest above its share. Within it, the
// request of that rank with the latest due time is shed.
func (q *Queue) victim() *Request {
	total := 0.0
	for _, o := range q.orgs {
		if o.queued() > 0 {
			total += o.weight
		}
	}
	var worst *Org
	worstRank, worstRatio := 0, 0.0
	for _, o := range q.orgs {
		n := o.queued()
		if n == 0 {
			continue
		}
		ratio := float64(n) / (float64(q.size) * o.weight / total)
		rank := o.highestRank()
		if ratio < 1-shareTolerance {
			continue
		}
		preferred := worst == nil || rank > worstRank ||
			rank == worstRank && (ratio > worstRatio || ratio == worstRatio && o.Name < worst.Name)
		if preferred {
			worst, worstRank, worstRatio = o, rank, ratio
		}
	}
	return q.lastDue(worst, worstRank)
}

// highestRank returns the highest shedding rank of the organisation's waiting requests.
func (o *Org) highestRank() int {
	for rank := shedRankCount - 1; rank > 0; rank-- {
		if o.queuedByRank[rank] > 0 {
			return rank
		}
	}
	return 0
}

// lastDue returns the request of o with the given shedding rank that has the latest due time.
func (q *Queue) lastDue(o *Org, rank int) *Request {
	var last *Request
	consider := func(r *Request) {
		if shedRank(r) != rank {
			return
		}
		if last == nil || last.Before(r) {
			last = r
		}
	}
	for _, h := range o.waiting {
		for _, r := range h {
			consider(r)
		}
	}
	for r := range q.parked {
		if r.Org == o.Name {
			consider(r)
		}
	}
	return last
}
