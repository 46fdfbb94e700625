package orgsm

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/statemachine/reqlog"
	"github.com/figlb/figlb/structs"
)

// shardCount is the number of shards of the state, each with its own lock.
const shardCount = 16

// Machine is the state machine of one organisation group. It is safe for concurrent use.
type Machine struct {
	shards [shardCount]shard
	// commandMu serialises Apply, Snapshot and Restore. It is locked before any shard.
	commandMu   sync.Mutex
	requests    *reqlog.Log
	lastLogTime time.Duration // highest log time seen
}

// shard holds the organisations whose names hash to it.
type shard struct {
	mu   sync.RWMutex
	orgs map[string]*org
}

// New returns an empty machine.
func New() *Machine {
	m := &Machine{requests: reqlog.New()}
	for i := range m.shards {
		m.shards[i].orgs = map[string]*org{}
	}
	return m
}

func (m *Machine) shard(orgName string) *shard {
	return &m.shards[xxhash.Sum64String(orgName)%shardCount]
}

// Apply implements replica.StateMachine. The command is a structs.OrgCommand, the reply a
// structs.OrgReply, both as msgpack.
func (m *Machine) Apply(_ uint64, logTime time.Duration, cmd []byte) []byte {
	var c structs.OrgCommand
	if err := msgpack.Unmarshal(cmd, &c); err != nil {
		return reqlog.Encode(errorReply(errs.New(errs.BadRequest, "upgrade the sender", "command: %v", err)))
	}
	m.commandMu.Lock()
	defer m.commandMu.Unlock()
	if first, ok := m.requests.Get(c.RequestID); ok {
		return m.replay(&c, first)
	}
	m.lastLogTime = max(m.lastLogTime, logTime)
	reply := m.execute(&c, logTime)
	out := reqlog.Encode(reply)
	m.requests.Put(c.RequestID, compactReply(reply, out))
	return out
}

func (m *Machine) execute(c *structs.OrgCommand, now time.Duration) structs.OrgReply {
	if c.Expire != nil {
		m.expireAll(c.Expire, now)
		return structs.OrgReply{}
	}
	if c.Restore != nil {
		return m.loadSnapshot(c.Restore, now)
	}
	s := m.shard(c.Org)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.orgs[c.Org]
	if o == nil {
		o = newOrg(c.Org)
		s.orgs[c.Org] = o
	}
	return o.apply(c, now)
}

func (o *org) apply(c *structs.OrgCommand, now time.Duration) structs.OrgReply {
	switch {
	case c.OpenProgram != nil:
		return o.openProgram(c.OpenProgram, now)
	case c.EndProgram != nil:
		return o.endProgram(c.EndProgram, now)
	case c.BeginTurn != nil:
		return o.beginTurn(c.BeginTurn, now)
	case c.FinishTurn != nil:
		return o.finishTurn(c.FinishTurn, now)
	case c.BeginCall != nil:
		return o.beginCall(c.BeginCall, now)
	case c.FinishCall != nil:
		return o.finishCall(c.FinishCall, now)
	case c.ResolveCall != nil:
		return o.resolveCall(c.ResolveCall, now)
	case c.ConfirmReleases != nil:
		return o.confirmReleases(c.ConfirmReleases)
	case c.Debit != nil:
		o.updateLimits(c.Debit.Limits, now)
		return errorReply(o.debit())
	}
	return errorReply(errs.New(errs.BadRequest, "upgrade this member", "the command is empty or unknown"))
}

// errorReply returns a reply that carries err. A nil err means success.
func errorReply(err *errs.Error) structs.OrgReply { return structs.OrgReply{Err: err} }

func (m *Machine) expireAll(c *structs.Expire, now time.Duration) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		for _, o := range s.orgs {
			o.expire(c, now) // independent of the other organisations, so the order does not matter
		}
		s.mu.Unlock()
	}
}
