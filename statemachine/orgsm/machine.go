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

// shardCount is the number of separately locked parts of the state.
const shardCount = 16

// Machine is the state machine of one organisation group. It is safe for concurrent use.
type Machine struct {
	shards [shardCount]shard
	// commands is held by Apply, Snapshot and Restore, before the lock of a shard.
	commands sync.Mutex
	requests *reqlog.Log
	last     time.Duration // highest log time seen
}

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

func (m *Machine) shard(name string) *shard {
	return &m.shards[xxhash.Sum64String(name)%shardCount]
}

// Apply implements replica.StateMachine. The command is a structs.OrgCommand, the reply a
// structs.OrgReply, both as msgpack.
func (m *Machine) Apply(_ uint64, logTime time.Duration, cmd []byte) []byte {
	var c structs.OrgCommand
	if err := msgpack.Unmarshal(cmd, &c); err != nil {
		return reqlog.Encode(refuse(errs.New(errs.BadRequest, "upgrade the sender", "command: %v", err)))
	}
	m.commands.Lock()
	defer m.commands.Unlock()
	if first, ok := m.requests.Get(c.RequestID); ok {
		return m.replay(&c, first)
	}
	m.last = max(m.last, logTime)
	reply := m.execute(&c, logTime)
	out := reqlog.Encode(reply)
	m.requests.Put(c.RequestID, compact(reply, out))
	return out
}

func (m *Machine) execute(c *structs.OrgCommand, now time.Duration) structs.OrgReply {
	if c.Expire != nil {
		m.expireAll(c.Expire, now)
		return structs.OrgReply{}
	}
	if c.Restore != nil {
		return m.restoreEmpty(c.Restore, now)
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
	case c.Released != nil:
		return o.released(c.Released)
	case c.Debit != nil:
		o.see(c.Debit.Limits, now)
		return refuse(o.debit())
	}
	return refuse(errs.New(errs.BadRequest, "upgrade this member", "the command is empty or unknown"))
}

// refuse returns a reply with an error; nil means success.
func refuse(err *errs.Error) structs.OrgReply { return structs.OrgReply{Err: err} }

func (m *Machine) expireAll(c *structs.Expire, now time.Duration) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		for _, o := range s.orgs {
			o.expire(c, now) // organisations do not depend on each other
		}
		s.mu.Unlock()
	}
}
