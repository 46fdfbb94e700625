package orgsm

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/statemachine/reqlog"
	"github.com/figlb/figlb/structs"
)

// snapshot is the encoded form of a machine. All its lists are sorted.
type snapshot struct {
	Orgs     []orgSnapshot  `msgpack:"o"`
	Requests []reqlog.Entry `msgpack:"r"`
	// LastLogTime is the highest log time seen.
	LastLogTime time.Duration `msgpack:"t"`
}

type orgSnapshot struct {
	Name      string            `msgpack:"n"`
	HasLimits bool              `msgpack:"s"`
	Limits    structs.Limits    `msgpack:"l"`
	Bucket    bucket            `msgpack:"b"`
	Programs  []*program        `msgpack:"p"`
	Calls     []*call           `msgpack:"c"`
	Releases  []structs.Release `msgpack:"e"`
	// ReleaseSeq is the number of the release queued last.
	ReleaseSeq uint64 `msgpack:"q"`
}

// Snapshot implements replica.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.commandMu.Lock()
	defer m.commandMu.Unlock()
	out := snapshot{Requests: m.requests.Export(), LastLogTime: m.lastLogTime}
	for i := range m.shards {
		m.shards[i].mu.RLock()
		defer m.shards[i].mu.RUnlock()
		for _, o := range m.shards[i].orgs {
			out.Orgs = append(out.Orgs, o.snapshot())
		}
	}
	slices.SortFunc(out.Orgs, func(a, b orgSnapshot) int { return cmp.Compare(a.Name, b.Name) })
	return reqlog.Encode(out), nil
}

func (o *org) snapshot() orgSnapshot {
	s := orgSnapshot{Name: o.name, HasLimits: o.hasLimits, Limits: o.limits, Bucket: o.bucket, ReleaseSeq: o.releaseSeq}
	for _, id := range sortedKeys(o.programs) {
		s.Programs = append(s.Programs, o.programs[id])
	}
	for _, key := range sortedKeys(o.calls) {
		s.Calls = append(s.Calls, o.calls[key])
	}
	for r, seq := range o.releases {
		r.Seq = seq
		s.Releases = append(s.Releases, r)
	}
	slices.SortFunc(s.Releases, compareReleaseIDs)
	return s
}

func compareReleaseIDs(a, b structs.Release) int {
	return cmp.Or(cmp.Compare(a.Program, b.Program), cmp.Compare(a.Target, b.Target))
}

func compareOrgReleases(a, b OrgRelease) int {
	return cmp.Or(cmp.Compare(a.Org, b.Org), compareReleaseIDs(a.Release, b.Release))
}

// Restore implements replica.StateMachine. It wakes all waiting queries.
func (m *Machine) Restore(data []byte) error {
	m.commandMu.Lock()
	defer m.commandMu.Unlock()
	return m.restore(data)
}

func (m *Machine) restore(data []byte) error {
	var in snapshot
	if err := msgpack.Unmarshal(data, &in); err != nil {
		return errors.Wrap(err, "decode snapshot of an organisation group")
	}
	m.clear()
	for _, s := range in.Orgs {
		o := restoreOrg(s)
		sh := m.shard(s.Name)
		sh.mu.Lock()
		sh.orgs[s.Name] = o
		sh.mu.Unlock()
	}
	m.requests.Import(in.Requests)
	m.lastLogTime = in.LastLogTime
	return nil
}

// clear wakes all waiting queries and removes all organisations.
func (m *Machine) clear() {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		for _, o := range s.orgs {
			for _, key := range sortedKeys(o.watchers) {
				o.notify(key)
			}
		}
		s.orgs = map[string]*org{}
		s.mu.Unlock()
	}
}

func restoreOrg(s orgSnapshot) *org {
	o := newOrg(s.Name)
	o.releaseSeq = s.ReleaseSeq
	o.hasLimits, o.limits, o.bucket = s.HasLimits, s.Limits, s.Bucket
	for _, p := range s.Programs {
		o.programs[p.Record.ID] = p
		if p.Record.State == structs.ProgramOpen {
			o.openPrograms++
		}
	}
	for _, k := range s.Calls {
		o.calls[k.Record.Key] = k
	}
	for _, r := range s.Releases {
		o.releases[structs.Release{Program: r.Program, Target: r.Target}] = r.Seq
	}
	return o
}
