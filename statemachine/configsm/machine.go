package configsm

import (
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/statemachine/reqlog"
	"github.com/figlb/figlb/structs"
)

// Reply is the reply to a command, encoded by Apply. If Err is set, the command was rejected.
type Reply struct {
	Err *errs.Error         `msgpack:"x,omitempty"`
	OK  structs.ConfigReply `msgpack:"o"`
}

// Machine is the state machine of group 0. It is safe for concurrent use.
type Machine struct {
	mu    sync.RWMutex
	state state
	// commandMu serialises Apply, Snapshot and Restore. It is locked before mu.
	commandMu sync.Mutex
	requests  *reqlog.Log
}

// state is the replicated state except the request log.
type state struct {
	revision uint64
	// deltaFrom is the oldest revision from which a complete delta can be computed. The
	// tombstones of this and earlier revisions may have been pruned.
	deltaFrom    uint64
	objects      map[objectID]structs.Object
	history      []structs.RevisionInfo // the last historyLength changes, oldest first
	declarations []storedDeclaration    // the last historyLength declarations, oldest first
	issuer       issuer
	orders       []structs.EngineOrder // oldest first
	// drainOrders is the number of executed drain commands by drain name, those included that changed
	// nothing.
	drainOrders map[string]uint64
}

// objectID identifies an object.
type objectID struct {
	kind structs.Kind
	name string
}

// New returns an empty machine at revision 0.
func New() *Machine {
	return &Machine{state: newState(), requests: reqlog.New()}
}

func newState() state {
	return state{objects: map[objectID]structs.Object{}, drainOrders: map[string]uint64{}}
}

// Apply implements replica.StateMachine. The command is a structs.ConfigCommand, the
// reply a Reply, both as msgpack.
func (m *Machine) Apply(_ uint64, logTime time.Duration, cmd []byte) []byte {
	var c structs.ConfigCommand
	if err := msgpack.Unmarshal(cmd, &c); err != nil {
		return reqlog.Encode(Reply{Err: errs.New(errs.BadRequest, "upgrade the sender", "command: %v", err)})
	}
	m.commandMu.Lock()
	defer m.commandMu.Unlock()
	if first, ok := m.requests.Get(c.RequestID); ok {
		return first
	}
	out := reqlog.Encode(m.apply(&c, logTime))
	m.requests.Put(c.RequestID, out)
	return out
}

func (m *Machine) apply(c *structs.ConfigCommand, now time.Duration) Reply {
	if c.Restore != nil {
		return m.loadSnapshot(c.Restore, now)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.apply(c, now)
}

// apply executes a command and prunes tombstones if it started a new revision.
func (s *state) apply(c *structs.ConfigCommand, now time.Duration) Reply {
	before := s.revision
	fencing, err := s.execute(c, now)
	if s.revision != before {
		s.pruneTombstones()
	}
	if err != nil {
		return Reply{Err: err}
	}
	return Reply{OK: structs.ConfigReply{Revision: s.revision, Fencing: fencing}}
}

// execute runs the handler of a command. It returns a fencing number only for AcquireIssuer.
func (s *state) execute(c *structs.ConfigCommand, now time.Duration) (fencing uint64, err *errs.Error) {
	switch {
	case c.Apply != nil:
		return 0, s.applyDeclaration(c, c.Apply)
	case c.Rollback != nil:
		return 0, s.rollback(c, c.Rollback)
	case c.GrantKey != nil:
		return 0, s.grantKey(c, c.GrantKey)
	case c.RevokeKey != nil:
		return 0, s.revokeKey(c, c.RevokeKey)
	case c.SetDrain != nil:
		return 0, s.setDrain(c, c.SetDrain)
	case c.AddFingerprint != nil:
		return 0, s.addFingerprint(c, c.AddFingerprint)
	case c.LiftFingerprint != nil:
		return 0, s.liftFingerprint(c, c.LiftFingerprint)
	case c.AcquireIssuer != nil:
		return s.acquireIssuer(c.AcquireIssuer, now)
	case c.SubmitOrder != nil:
		return 0, s.submitOrder(c.SubmitOrder)
	case c.UpdateOrder != nil:
		return 0, s.updateOrder(c.UpdateOrder)
	}
	return 0, errs.New(errs.BadRequest, "upgrade this member", "the command is empty or unknown")
}
