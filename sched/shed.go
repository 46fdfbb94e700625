package sched

import "github.com/figlb/figlb/structs"

// Shedding ranks, from the last to be shed to the first.
const (
	rankInProgress = iota
	rankNew
	rankBatchInProgress
	rankBatchNew
	shedRanks
)

// shareTolerance absorbs rounding: the organisations' mean excess is exactly 1.
const shareTolerance = 1e-9

// shedRank returns the rank of a request.
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

// victim returns the request to shed from a queue that is too long. Only organisations
// above their share of the queue lose requests, so that one organisation's flood does
// not refuse the others. Among these, batch is shed first, then new programs, then the
// organisation furthest above its share; within it, the request due last.
func (q *Queue) victim(weights map[string]float64) *Request {
	total := 0.0
	for name, o := range q.orgs {
		if o.queued() > 0 {
			total += weights[name]
		}
	}
	var worst *Org
	worstRank, worstExcess := 0, 0.0
	for name, o := range q.orgs {
		n := o.queued()
		if n == 0 {
			continue
		}
		excess := float64(n) / (float64(q.size) * weights[name] / total)
		rank := o.topRank()
		if excess < 1-shareTolerance {
			continue
		}
		better := worst == nil || rank > worstRank ||
			rank == worstRank && (excess > worstExcess || excess == worstExcess && name < worst.Name)
		if better {
			worst, worstRank, worstExcess = o, rank, excess
		}
	}
	return q.lastOf(worst, worstRank)
}

func (o *Org) topRank() int {
	for rank := shedRanks - 1; rank > 0; rank-- {
		if o.ranks[rank] > 0 {
			return rank
		}
	}
	return 0
}

// lastOf returns the request of o with the given rank that is due last.
func (q *Queue) lastOf(o *Org, rank int) *Request {
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
