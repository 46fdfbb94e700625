package orgsm

import (
	"slices"
	"strconv"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

func itoa(n int) string { return strconv.Itoa(n) }

// turnKey returns the key under which queries wait for a turn.
func turnKey(program string, n int) string { return "turn/" + program + "/" + itoa(n) }

// callKey returns the key under which queries wait for a call.
func callKey(key string) string { return "call/" + key }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func without(list []string, item string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == item })
}

// Program returns a program's record.
func (m *Machine) Program(orgName, id string) (*structs.Program, error) {
	s := m.shard(orgName)
	s.mu.RLock()
	defer s.mu.RUnlock()
	o := s.orgs[orgName]
	if o == nil || o.programs[id] == nil {
		return nil, unknownProgram(id)
	}
	rec := o.recordWithBudget(o.programs[id])
	return &rec, nil
}

// Turn returns a turn. If it is in progress, changed is closed when it is finished or
// abandoned or a snapshot is restored; otherwise changed is nil.
func (m *Machine) Turn(orgName, id string, n int) (t *structs.Turn, changed <-chan struct{}, err error) {
	s := m.shard(orgName)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.orgs[orgName]
	if o == nil || o.programs[id] == nil {
		return nil, nil, unknownProgram(id)
	}
	p := o.programs[id]
	if n < 1 || n > len(p.Turns) {
		return nil, nil, errs.New(errs.NotFound, "begin the turn first", "program %q has no turn %d", id, n)
	}
	turn := p.Turns[n-1]
	if turn.State == structs.TurnRunning {
		changed = o.watcher(turnKey(id, n))
	}
	return &turn, changed, nil
}

// Call returns a call. If it is in progress, changed is closed when its state changes or a
// snapshot is restored; otherwise changed is nil.
func (m *Machine) Call(orgName, key string) (c *structs.Call, changed <-chan struct{}, err error) {
	s := m.shard(orgName)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.orgs[orgName]
	if o == nil || o.calls[key] == nil {
		return nil, nil, unknownCall(key)
	}
	rec := o.calls[key].Record
	if rec.State == structs.CallRunning {
		changed = o.watcher(callKey(key))
	}
	return &rec, changed, nil
}

// watcher returns the channel that notify closes for a key.
func (o *org) watcher(key string) <-chan struct{} {
	if o.watchers[key] == nil {
		o.watchers[key] = make(chan struct{})
	}
	return o.watchers[key]
}

// CheckRateLimit checks a command against the rate limit before it is proposed. It returns an error
// if the organisation's bucket holds less than one request at log time now, and nil if the
// command must be proposed. Commands for which isRepeat is true are never refused here,
// because they may debit nothing; nor are commands with limits newer than those in the log.
func (m *Machine) CheckRateLimit(c *structs.OrgCommand, now time.Duration) *errs.Error {
	s := m.shard(c.Org)
	s.mu.RLock()
	defer s.mu.RUnlock()
	o := s.orgs[c.Org]
	if o == nil || !o.hasLimits || o.isRepeat(c) {
		return nil
	}
	limits := limitsOf(c)
	if limits == nil || limits.Revision > o.limits.Revision {
		return nil
	}
	if wait := o.bucket.refilled(o.rateLimit(), now).wait(o.rateLimit()); wait > 0 {
		return rateLimited(o.name, wait)
	}
	return nil
}

// limitsOf returns the limits of a command that debits the bucket, or nil.
func limitsOf(c *structs.OrgCommand) *structs.Limits {
	switch {
	case c.BeginTurn != nil:
		return &c.BeginTurn.Limits
	case c.BeginCall != nil:
		return &c.BeginCall.Limits
	case c.Debit != nil:
		return &c.Debit.Limits
	}
	return nil
}

// isRepeat reports whether c begins a numbered turn that has been begun before, or a call
// that has a record in a state other than CallNotRun.
func (o *org) isRepeat(c *structs.OrgCommand) bool {
	if b := c.BeginTurn; b != nil {
		p := o.programs[b.Program]
		return p != nil && b.Turn >= 1 && b.Turn <= len(p.Turns)
	}
	if b := c.BeginCall; b != nil {
		k := o.calls[b.Key]
		return k != nil && k.Record.State != structs.CallNotRun
	}
	return false
}

// OrgRelease is a pending release together with its organisation.
type OrgRelease struct {
	Org string
	structs.Release
}

// Releases returns at most limit pending releases, ordered by organisation, program and
// target.
func (m *Machine) Releases(limit int) []OrgRelease {
	var out []OrgRelease
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		for name, o := range s.orgs {
			for r, seq := range o.releases {
				r.Seq = seq
				out = append(out, OrgRelease{Org: name, Release: r})
			}
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(out, compareOrgReleases)
	return out[:min(limit, len(out))]
}
