package orgsm

import (
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// loadSnapshot executes a command that loads a snapshot of another site into an empty group.
// The times of the snapshot are shifted to the log time of this site, so that buckets and
// expiry continue where they stopped.
func (m *Machine) loadSnapshot(r *structs.Restore, now time.Duration) structs.OrgReply {
	if !m.empty() {
		return errorReply(errs.New(errs.BadRequest, "load the snapshot into a new site", "the group holds programs or calls already"))
	}
	if err := m.restore(r.Snapshot); err != nil {
		return errorReply(errs.New(errs.BadRequest, "check the snapshot file", "%v", err))
	}
	shift := now - m.lastLogTime
	m.lastLogTime = now
	for i := range m.shards {
		m.shards[i].mu.Lock()
		for _, o := range m.shards[i].orgs {
			o.shiftTimes(shift)
		}
		m.shards[i].mu.Unlock()
	}
	return structs.OrgReply{}
}

// empty reports whether the group has neither programs nor calls.
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

// shiftTimes adds shift to all log times of the organisation.
func (o *org) shiftTimes(shift time.Duration) {
	o.bucket.RefilledAt += shift
	for _, p := range o.programs {
		p.Record.OpenedAt += shift
		p.Record.LastActive += shift
		p.EndedAt += shift
	}
	for _, k := range o.calls {
		k.Record.BegunAt += shift
		k.EndedAt += shift
	}
}
