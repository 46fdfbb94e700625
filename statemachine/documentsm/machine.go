package documentsm

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Command is one command of the replicated log. Exactly one field is set.
type Command struct {
	Put  *Put        `msgpack:"p,omitempty"`
	Zone *ZoneChange `msgpack:"z,omitempty"`
	// Crashes is ignored by builds that keep crash records in the leader's memory.
	Crashes *CrashReport `msgpack:"c,omitempty"`
	// Retire and Bodies are sent only once all members have reported that they understand them.
	Retire *Retirement   `msgpack:"rt,omitempty"`
	Bodies *BodiesChange `msgpack:"bo,omitempty"`
	// RolloutStart and RolloutStep are proposed only while all members know roll-outs.
	RolloutStart *RolloutStart `msgpack:"rs,omitempty"`
	RolloutStep  *RolloutStep  `msgpack:"rp,omitempty"`
}

// Put replaces the document if its version is higher than the stored one.
type Put struct {
	Version uint64 `msgpack:"v"`
	Body    []byte `msgpack:"b"`
}

// ZoneChange takes an availability zone out of service or puts it back into service.
type ZoneChange struct {
	Zone string `msgpack:"z"`
	Out  bool   `msgpack:"o"`
	// Order is the number of the order among the executed orders for its zone. The change is not made
	// if another order has been executed under this number. 0 is an order without a number, which is
	// always executed.
	Order uint64 `msgpack:"n,omitempty"`
}

// Reply is the reply to a command. Version is the document's version after the command.
type Reply struct {
	Version uint64 `msgpack:"v"`
	// Changed is set if the command changed the state.
	Changed bool `msgpack:"c"`
	// Overtaken is set if a ZoneChange or RolloutStart was not executed because its zone or service has had
	// another order since.
	Overtaken bool `msgpack:"o,omitempty"`
	// Conflict is set if a RolloutStart was not executed because another roll-out is in progress.
	Conflict bool `msgpack:"f,omitempty"`
}

// State is the replicated state. Out holds the availability zones that are out of service.
type State struct {
	Version uint64          `msgpack:"v"`
	Body    []byte          `msgpack:"b"`
	Out     map[string]bool `msgpack:"o"`
	// ZoneRevision is the number of changes of Out, by which hosts recognise a newer set of zones.
	ZoneRevision uint64 `msgpack:"m"`
	// ZoneOrders is the number of executed orders by availability zone, those included that changed
	// nothing.
	ZoneOrders map[string]uint64 `msgpack:"n"`
	// Crashes counts the target crashes by digest of the request after which they came.
	Crashes map[uint64]CrashRecord `msgpack:"k,omitempty"`
	// CrashReports holds the id of the last report of each host, so that a repeated report counts once.
	CrashReports map[string]uint64 `msgpack:"kr,omitempty"`
	// CrashRevision is the number of changes of Crashes.
	CrashRevision uint64 `msgpack:"kv,omitempty"`
	// Retired holds the retirements of store hosts by name. Callers of Get must not modify it.
	Retired map[string]Retirement `msgpack:"rt,omitempty"`
	// Bodies is the state of the storage of turns on store hosts.
	Bodies BodiesState `msgpack:"bo,omitempty"`
	// Rollouts holds the latest roll-out of each service that has had one.
	Rollouts map[string]Rollout `msgpack:"r,omitempty"`
}

// Machine implements replica.StateMachine.
type Machine struct {
	mu    sync.RWMutex
	state State
}

// New returns an empty machine.
func New() *Machine {
	return &Machine{state: State{Out: map[string]bool{}, ZoneOrders: map[string]uint64{}}}
}

// Apply executes an encoded command and returns the encoded Reply, or nil if the command cannot be
// decoded.
func (m *Machine) Apply(_ uint64, logTime time.Duration, cmd []byte) []byte {
	var c Command
	if err := msgpack.Unmarshal(cmd, &c); err != nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var reply Reply
	switch {
	case c.Put != nil && c.Put.Version > m.state.Version:
		m.state.Version, m.state.Body = c.Put.Version, c.Put.Body
		reply.Changed = true
	case c.Zone != nil:
		reply.Changed, reply.Overtaken = m.changeZone(c.Zone)
	case c.Crashes != nil:
		reply.Changed = m.countCrashes(logTime, c.Crashes)
	case c.Retire != nil:
		reply.Changed = m.retire(c.Retire)
	case c.Bodies != nil:
		reply.Changed = m.changeBodies(c.Bodies)
	case c.RolloutStart != nil:
		reply.Changed, reply.Conflict, reply.Overtaken = m.startRollout(logTime, c.RolloutStart)
	case c.RolloutStep != nil:
		reply.Changed = m.stepRollout(logTime, c.RolloutStep)
	}
	reply.Version = m.state.Version
	out, err := msgpack.Marshal(reply)
	if err != nil {
		return nil
	}
	return out
}

// changeZone executes an order for an availability zone. An order whose number has been used by
// another one is not executed: it was sent before that one was acknowledged. If it asks for the present
// state, it may be a repetition, and nothing has to be refused.
func (m *Machine) changeZone(z *ZoneChange) (changed, overtaken bool) {
	differs := m.state.Out[z.Zone] != z.Out
	if z.Order != 0 && z.Order != m.state.NextZoneOrder(z.Zone) {
		return false, differs
	}
	m.state.ZoneOrders = maps.Clone(m.state.ZoneOrders)
	m.state.ZoneOrders[z.Zone]++
	if differs {
		m.setZoneOut(z)
	}
	return differs, false
}

// setZoneOut changes the state of a zone. It replaces the map instead of modifying it, because callers
// of Get share it.
func (m *Machine) setZoneOut(z *ZoneChange) {
	out := maps.Clone(m.state.Out)
	delete(out, z.Zone)
	if z.Out {
		out[z.Zone] = true
	}
	m.state.Out = out
	m.state.ZoneRevision++
}

// Get returns the state. Callers must not modify its body or map.
func (m *Machine) Get() State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state
}

// ZonesOut returns the availability zones that are out of service, sorted.
func (s *State) ZonesOut() []string { return slices.Sorted(maps.Keys(s.Out)) }

// NextZoneOrder returns the number of the next order for an availability zone.
func (s *State) NextZoneOrder(zone string) uint64 { return s.ZoneOrders[zone] + 1 }

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	s := m.Get()
	out, err := msgpack.Marshal(&s)
	return out, errors.Wrap(err, "encode the document")
}

// Restore replaces the state by a snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	var s State
	if err := msgpack.Unmarshal(snapshot, &s); err != nil {
		return errors.Wrap(err, "decode the document")
	}
	if s.Out == nil {
		s.Out = map[string]bool{}
	}
	if s.ZoneOrders == nil {
		s.ZoneOrders = map[string]uint64{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	return nil
}
