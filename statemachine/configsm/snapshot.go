package configsm

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/statemachine/reqlog"
	"github.com/figlb/figlb/structs"
)

// snapshot is the encoded form of a machine. Its lists are in a fixed order.
type snapshot struct {
	Revision  uint64                 `msgpack:"r"`
	DeltaFrom uint64                 `msgpack:"f"`
	Objects   []structs.Object       `msgpack:"o"`
	History   []structs.RevisionInfo `msgpack:"h"`
	Declared  []declared             `msgpack:"d"`
	Issuer    issuer                 `msgpack:"i"`
	Orders    []structs.EngineOrder  `msgpack:"e"`
	Requests  []reqlog.Entry         `msgpack:"q"`
}

// Snapshot implements replica.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.commands.Lock()
	defer m.commands.Unlock()
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &m.state
	out := snapshot{
		Revision: s.revision, DeltaFrom: s.deltaFrom, History: s.history, Declared: s.declared,
		Issuer: s.issuer, Orders: s.orders, Requests: m.requests.Export(),
	}
	for _, o := range s.objects {
		out.Objects = append(out.Objects, o)
	}
	slices.SortFunc(out.Objects, compareObjects)
	return reqlog.Encode(out), nil
}

// Restore implements replica.StateMachine.
func (m *Machine) Restore(data []byte) error {
	m.commands.Lock()
	defer m.commands.Unlock()
	return m.restore(data)
}

func (m *Machine) restore(data []byte) error {
	var in snapshot
	if err := msgpack.Unmarshal(data, &in); err != nil {
		return errors.Wrap(err, "decode snapshot of the configuration group")
	}
	s := newState()
	s.revision, s.deltaFrom = in.Revision, in.DeltaFrom
	s.history, s.declared = in.History, in.Declared
	s.issuer, s.orders = in.Issuer, in.Orders
	for _, o := range in.Objects {
		s.objects[objectID{o.Kind, o.Name}] = o
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.requests.Import(in.Requests)
	return nil
}

// restoreEmpty loads a snapshot of another site as a command. Terms and log time of the
// other site mean nothing here, so the issuer keeps only its fencing number.
func (m *Machine) restoreEmpty(r *structs.Restore, now time.Duration) Reply {
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
