package orgsm

import (
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// org is the state of one organisation.
type org struct {
	name     string
	seen     bool // limits are known and the bucket has been filled
	limits   structs.Limits
	bucket   bucket
	programs map[string]*program
	open     int // programs in state open
	calls    map[string]*call
	// releases holds the pending releases with Seq 0 as keys and their Seq as values.
	releases   map[structs.Release]uint64
	releaseSeq uint64
	// watch holds the channels of waiting queries. It is not replicated.
	watch map[string]chan struct{}
}

func newOrg(name string) *org {
	return &org{
		name:     name,
		programs: map[string]*program{},
		calls:    map[string]*call{},
		releases: map[structs.Release]uint64{},
		watch:    map[string]chan struct{}{},
	}
}

// program is a program with its turns.
type program struct {
	Rec      structs.Program `msgpack:"p"`
	Implicit bool            `msgpack:"i,omitempty"`
	Children []string        `msgpack:"c,omitempty"`
	Turns    []structs.Turn  `msgpack:"t,omitempty"` // turn n is at n-1
	EndedAt  time.Duration   `msgpack:"e,omitempty"`
	// LostAttempt tells that an attempt ended without naming the targets it ran on.
	LostAttempt bool `msgpack:"l,omitempty"`
}

// running returns the turn in progress, or nil.
func (p *program) running() *structs.Turn {
	if n := len(p.Turns); n > 0 && p.Turns[n-1].State == structs.TurnRunning {
		return &p.Turns[n-1]
	}
	return nil
}

// call is a non-repeatable call.
type call struct {
	Rec     structs.Call  `msgpack:"c"`
	EndedAt time.Duration `msgpack:"e,omitempty"`
}

// see adopts the limits if they are the newest and brings the bucket to now. The bucket
// is full when the organisation is first seen.
func (o *org) see(l structs.Limits, now time.Duration) {
	if !o.seen {
		o.seen = true
		o.limits = l
		o.bucket = bucket{Level: o.limit().burst, At: now}
		return
	}
	o.bucket = o.bucket.refilled(o.limit(), now)
	if l.Revision > o.limits.Revision {
		o.limits = l
		o.bucket = o.bucket.capped(o.limit())
	}
}

func (o *org) limit() limit { return newLimit(o.limits.Rate, o.limits.Burst) }

// debit takes one request from the bucket or refuses.
func (o *org) debit() *errs.Error {
	if wait := o.bucket.wait(o.limit()); wait > 0 {
		return rateLimited(o.name, wait)
	}
	o.bucket.Level -= nanoRequests
	return nil
}

func rateLimited(name string, wait time.Duration) *errs.Error {
	return errs.New(errs.RateLimited, "send fewer requests or ask the operator for a higher rate",
		"organisation %s is over its rate", name).WithRetryAfter(wait)
}

// program returns a program of this organisation.
func (o *org) program(id string) (*program, *errs.Error) {
	if p := o.programs[id]; p != nil {
		return p, nil
	}
	return nil, unknownProgram(id)
}

func unknownProgram(id string) *errs.Error {
	return errs.New(errs.UnknownProgram, "open a program first", "program %q does not exist", id)
}

// root returns the program that holds p's budget, nil if its record has been dropped.
func (o *org) root(p *program) *program { return o.programs[p.Rec.Root] }

// touch marks a program and its ancestors as active, so that a parent that waits for
// its sub-agents does not expire.
func (o *org) touch(p *program, now time.Duration) {
	for p != nil {
		p.Rec.LastActive = now
		p = o.programs[p.Rec.Parent]
	}
}

// view returns a copy of p's record with the budget of its root.
func (o *org) view(p *program) structs.Program {
	rec := p.Rec
	if root := o.root(p); root != nil && root != p {
		rec.Budget, rec.Spent, rec.Reserved = root.Rec.Budget, root.Rec.Spent, root.Rec.Reserved
	}
	return rec
}

// notify wakes the queries that wait for a record.
func (o *org) notify(key string) {
	if ch := o.watch[key]; ch != nil {
		close(ch)
		delete(o.watch, key)
	}
}
