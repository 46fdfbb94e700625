package configsm

import (
	"cmp"
	"slices"

	"github.com/figlb/figlb/structs"
)

// Revision returns the current revision.
func (m *Machine) Revision() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.revision
}

// Delta returns the current revision and the objects changed after revision since, ordered
// by revision and including tombstones of deleted objects. If since is the current
// revision, objects is empty. If since is 0, too old for a delta or newer than the current
// revision, full is true and objects holds the whole configuration without tombstones.
func (m *Machine) Delta(since uint64) (rev uint64, objects []structs.Object, full bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	rev = m.state.revision
	if since == rev {
		return rev, nil, false
	}
	full = since == 0 || since > rev || since < m.state.deltaFrom
	for _, o := range m.state.objects {
		if full && o.Deleted || !full && o.ModRev <= since {
			continue
		}
		objects = append(objects, o)
	}
	slices.SortFunc(objects, compareByRevision)
	return rev, objects, full
}

// Objects returns the current revision and the objects of the given kinds, ordered by kind
// and name. Without kinds it returns all objects.
func (m *Machine) Objects(kinds ...structs.Kind) (rev uint64, objects []structs.Object) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, o := range m.state.objects {
		if !o.Deleted && (len(kinds) == 0 || slices.Contains(kinds, o.Kind)) {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b structs.Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return m.state.revision, objects
}

// Object returns the object with this kind and name.
func (m *Machine) Object(kind structs.Kind, name string) (structs.Object, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.lookup(kind, name)
}

// History returns the changes that are kept, oldest first, together with older changes whose
// declaration is kept.
func (m *Machine) History() []structs.RevisionInfo {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := slices.Clone(m.state.history)
	oldest := uint64(0)
	if len(out) > 0 {
		oldest = out[0].Revision
	}
	for _, d := range m.state.declarations {
		if d.Info.Revision < oldest {
			out = append(out, d.Info)
		}
	}
	slices.SortFunc(out, func(a, b structs.RevisionInfo) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}

// Declaration returns the declaration stored with a revision.
func (m *Machine) Declaration(rev uint64) (*structs.Declaration, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	d, err := m.state.declaration(rev)
	if err != nil {
		return nil, err
	}
	return d, nil
}

// CurrentDeclaration returns the current declaration, or nil if none has been applied.
func (m *Machine) CurrentDeclaration() (*structs.Declaration, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if len(m.state.declarations) == 0 {
		return nil, nil
	}
	return decodeDeclaration(m.state.declarations[len(m.state.declarations)-1].Data)
}

// NextDrainOrder returns the number of the next drain command for the object with a drain name.
func (m *Machine) NextDrainOrder(drainName string) uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.nextDrainOrder(drainName)
}

// Orders returns the kept orders, oldest first.
func (m *Machine) Orders() []structs.EngineOrder {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Clone(m.state.orders)
}

// Target returns a declared target.
func (m *Machine) Target(name string) (structs.Target, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var t structs.Target
	o, ok := m.state.lookup(structs.KindTarget, name)
	if ok {
		decode(o, &t)
	}
	return t, ok
}

// EnginesOf returns the model engines that serve a service, ordered by name. If the service
// is no longer declared or has no model, it returns all model engines.
func (m *Machine) EnginesOf(service string) []structs.Target {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var v structs.Service
	if o, ok := m.state.lookup(structs.KindService, service); ok {
		decode(o, &v)
	}
	var out []structs.Target
	for id, o := range m.state.objects {
		if id.kind != structs.KindTarget || o.Deleted {
			continue
		}
		var t structs.Target
		decode(o, &t)
		if t.Model != "" && (v.Model == "" || t.Model == v.Model) {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b structs.Target) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// ExpiredFingerprints returns the digests whose quarantine has expired by now, a wall-clock
// time in Unix seconds.
func (m *Machine) ExpiredFingerprints(now int64) []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []string
	for id, o := range m.state.objects {
		if id.kind != structs.KindFingerprint || o.Deleted {
			continue
		}
		var f structs.Fingerprint
		decode(o, &f)
		if f.ExpiresAt <= now {
			out = append(out, f.Digest)
		}
	}
	slices.Sort(out)
	return out
}
