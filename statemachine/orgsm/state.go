package orgsm

import (
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// org is the state of one organisation.
type org struct {
	name         string
	hasLimits    bool // limits are known and the bucket has been filled initially
	limits       structs.Limits
	bucket       bucket
	programs     map[string]*program
	openPrograms int // number of programs in state ProgramOpen
	calls        map[string]*call
	// releases maps each pending release, with its Seq set to 0, to its Seq.
	releases   map[structs.Release]uint64
	releaseSeq uint64
	// watchers holds the channels that wake waiting queries. It is not replicated.
	watchers map[string]chan struct{}
}

func newOrg(name string) *org {
	return &org{
		name:     name,
		programs: map[string]*program{},
		calls:    map[string]*call{},
		releases: map[structs.Release]uint64{},
		watchers: map[string]chan struct{}{},
	}
}

// program is the stored form of a program with its turns.
type program struct {
	Record   structs.Program `msgpack:"p"`
	Implicit bool            `msgpack:"i,omitempty"`
	Children []string        `msgpack:"c,omitempty"`
	Turns    []structs.Turn  `msgpack:"t,omitempty"` // turn n has index n-1
	EndedAt  time.Duration   `msgpack:"e,omitempty"`
	// LostAttempt tells that an attempt was taken over before it reported its targets.
	LostAttempt bool `msgpack:"l,omitempty"`
}

// runningTurn returns the turn in progress, or nil.
func (p *program) runningTurn() *structs.Turn {
	if n := len(p.Turns); n > 0 && p.Turns[n-1].State == structs.TurnRunning {
		return &p.Turns[n-1]
	}
	return nil
}

// call is the stored form of a non-repeatable call.
type call struct {
	Record  structs.Call  `msgpack:"c"`
	EndedAt time.Duration `msgpack:"e,omitempty"`
}

// updateLimits refills the bucket up to log time now and then adopts l if its revision is
// newer than that of the current limits. The first call fills the bucket.
func (o *org) updateLimits(l structs.Limits, now time.Duration) {
	if !o.hasLimits {
		o.hasLimits = true
		o.limits = l
		o.bucket = bucket{Level: o.rateLimit().burst, RefilledAt: now}
		return
	}
	o.bucket = o.bucket.refilled(o.rateLimit(), now)
	if l.Revision > o.limits.Revision {
		o.limits = l
		o.bucket = o.bucket.capped(o.rateLimit())
	}
}

func (o *org) rateLimit() rateLimit { return newRateLimit(o.limits.Rate, o.limits.Burst) }

// debit takes one request from the bucket, or returns an error if it holds less.
func (o *org) debit() *errs.Error {
	if wait := o.bucket.wait(o.rateLimit()); wait > 0 {
		return rateLimited(o.name, wait)
	}
	o.bucket.Level -= nanoRequests
	return nil
}

func rateLimited(orgName string, wait time.Duration) *errs.Error {
	return errs.New(errs.RateLimited, "send fewer requests or ask the operator for a higher rate",
		"organisation %s is over its rate", orgName).WithRetryAfter(wait)
}

// program returns a program of this organisation, or an error if it has none with this id.
func (o *org) program(id string) (*program, *errs.Error) {
	if p := o.programs[id]; p != nil {
		return p, nil
	}
	return nil, unknownProgram(id)
}

func unknownProgram(id string) *errs.Error {
	return errs.New(errs.UnknownProgram, "open a program first", "program %q does not exist", id)
}

// root returns the program that holds p's budget, or nil if its record has been deleted.
func (o *org) root(p *program) *program { return o.programs[p.Record.Root] }

// markActive sets the time of last activity of a program and its ancestors, so that a
// parent that waits for its sub-agents does not expire.
func (o *org) markActive(p *program, now time.Duration) {
	for p != nil {
		p.Record.LastActive = now
		p = o.programs[p.Record.Parent]
	}
}

// recordWithBudget returns a copy of p's record with the budget of its root.
func (o *org) recordWithBudget(p *program) structs.Program {
	rec := p.Record
	if root := o.root(p); root != nil && root != p {
		rec.Budget, rec.Spent, rec.Reserved = root.Record.Budget, root.Record.Spent, root.Record.Reserved
	}
	return rec
}

// notify wakes the queries that wait for the turn or call with this key.
func (o *org) notify(key string) {
	if ch := o.watchers[key]; ch != nil {
		close(ch)
		delete(o.watchers, key)
	}
}
