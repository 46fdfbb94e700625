package orgsm

import (
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// restoreEmpty loads a snapshot of another site as a command. Its times are moved to the
// log time of this site, so that buckets and expiry go on where they stopped.
func (m *Machine) restoreEmpty(r *structs.Restore, now time.Duration) structs.OrgReply {
	if !m.empty() {
		return refuse(errs.New(errs.BadRequest, "load the snapshot into a new site", "the group holds programs or calls already"))
	}
	if err := m.restore(r.Snapshot); err != nil {
		return refuse(errs.New(errs.BadRequest, "check the snapshot file", "%v", err))
	}
	shift := now - m.last
	m.last = now
	for i := range m.shards {
		m.shards[i].mu.Lock()
		for _, o := range m.shards[i].orgs {
			o.move(shift)
		}
		m.shards[i].mu.Unlock()
	}
	return structs.OrgReply{}
}

func (m *Machine) empty() bool {
	for i := range m.shards {
		for _, o := range m.shards[i].orgs {
			if len(o.programs) > 0 || len(o.calls) > 0 {
				return false
			}
		}
	}
	return true
}

// move adds shift to all log times.
func (o *org) move(shift time.Duration) {
	o.bucket.At += shift
	for _, p := range o.programs {
		p.Rec.OpenedAt += shift
		p.Rec.LastActive += shift
		p.EndedAt += shift
	}
	for _, k := range o.calls {
		k.Rec.BegunAt += shift
		k.EndedAt += shift
	}
}
