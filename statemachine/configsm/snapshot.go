package configsm

import (
	"slices"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

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
