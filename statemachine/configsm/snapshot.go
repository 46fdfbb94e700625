package configsm

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/statemachine/reqlog"
	"github.com/figlb/figlb/structs"
)

// snapshot is the encoded form of a machine. Its lists are in a deterministic order.
type snapshot struct {
	Revision     uint64                 `msgpack:"r"`
	DeltaFrom    uint64                 `msgpack:"f"`
	Objects      []structs.Object       `msgpack:"o"`
	History      []structs.RevisionInfo `msgpack:"h"`
	Declarations []storedDeclaration    `msgpack:"d"`
	Issuer       issuer                 `msgpack:"i"`
	Orders       []structs.EngineOrder  `msgpack:"e"`
	Requests     []reqlog.Entry         `msgpack:"q"`
	DrainOrders  []drainOrderCount      `msgpack:"n,omitempty"`
}

// drainOrderCount is the number of executed drain commands for one object.
type drainOrderCount struct {
	Drain string `msgpack:"d"`
	Count uint64 `msgpack:"c"`
}

// Snapshot implements replica.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.commandMu.Lock()
	defer m.commandMu.Unlock()
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &m.state
	out := snapshot{
		Revision: s.revision, DeltaFrom: s.deltaFrom, History: s.history, Declarations: s.declarations,
		Issuer: s.issuer, Orders: s.orders, Requests: m.requests.Export(),
	}
	for _, o := range s.objects {
		out.Objects = append(out.Objects, o)
	}
	slices.SortFunc(out.Objects, compareByRevision)
	for _, name := range slices.Sorted(maps.Keys(s.drainOrders)) {
		out.DrainOrders = append(out.DrainOrders, drainOrderCount{Drain: name, Count: s.drainOrders[name]})
	}
	return reqlog.Encode(out), nil
}

// Restore implements replica.StateMachine.
func (m *Machine) Restore(data []byte) error {
	m.commandMu.Lock()
	defer m.commandMu.Unlock()
	return m.restore(data)
}

func (m *Machine) restore(data []byte) error {
	var in snapshot
	if err := msgpack.Unmarshal(data, &in); err != nil {
		return errors.Wrap(err, "decode snapshot of the configuration group")
	}
	s := newState()
	s.revision, s.deltaFrom = in.Revision, in.DeltaFrom
	s.history, s.declarations = in.History, in.Declarations
	s.issuer, s.orders = in.Issuer, in.Orders
	for _, o := range in.Objects {
		s.objects[objectID{o.Kind, o.Name}] = o
	}
	for _, d := range in.DrainOrders {
		s.drainOrders[d.Drain] = d.Count
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.requests.Import(in.Requests)
	return nil
}

// loadSnapshot executes a command that loads a snapshot of another site into a site without
// a configuration. The terms and log times of the other site have no meaning in this site,
// so only the fencing number of the issuer is kept.
func (m *Machine) loadSnapshot(r *structs.Restore, now time.Duration) Reply {
	if m.Revision() != 0 {
		return Reply{Err: errs.New(errs.BadRequest, "load the snapshot into a new site",
			"the configuration has revision %d already", m.Revision())}
	}
	if err := m.restore(r.Snapshot); err != nil {
		return Reply{Err: errs.New(errs.BadRequest, "check the snapshot file", "%v", err)}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.issuer = issuer{Fencing: m.state.issuer.Fencing, Renewed: now}
	return Reply{OK: structs.ConfigReply{Revision: m.state.revision}}
}
