package dispatch

import (
	"time"

	"github.com/figlb/figlb/structs"
)

func (s *shard) seen(now time.Duration, entry string) *entryState {
	e := s.entries[entry]
	if e == nil {
		e = &entryState{}
		s.entries[entry] = e
	}
	e.seen = now
	return e
}

// report takes over the slots that an entry has in use. Unknown ones are of an earlier
// term; they count against limits from now on.
func (s *shard) report(rep *structs.ReportSlots) (*structs.ReportReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if err := s.ensureLeading(now); err != nil {
		return nil, err
	}
	s.syncConfig(now)
	reply := &structs.ReportReply{Term: s.term}
	named := make(map[string]bool, len(rep.Slots))
	for _, info := range rep.Slots {
		named[info.Slot] = true
		if !s.confirm(now, rep.Entry, info) {
			reply.Unknown = append(reply.Unknown, info.Slot)
		}
	}
	// An entry whose slots are not all known has not reported yet: they would be missing
	// from the account when assignments begin.
	if e := s.seen(now, rep.Entry); len(reply.Unknown) == 0 {
		e.reported = true
	}
	s.freeMissing(now, rep.Entry, named)
	s.pump(now)
	return reply, nil
}

// confirm takes note of a slot in use. It returns false if the slot is neither known nor
// described.
func (s *shard) confirm(now time.Duration, entry string, info structs.SlotInfo) bool {
	if slot := s.pool.Slot(info.Slot); slot != nil {
		slot.OrphanedAt = 0
		s.slots[info.Slot].missing = 0
		return true
	}
	if _, ok := s.released[info.Slot]; ok {
		return true
	}
	if info.Target == "" {
		return false
	}
	if s.pool.Adopt(now, entry, info) {
		s.slots[info.Slot] = &slotMeta{}
	}
	return true
}

// freeMissing frees the entry's slots that its reports no longer name.
func (s *shard) freeMissing(now time.Duration, entry string, named map[string]bool) {
	for id, m := range s.slots {
		slot := s.pool.Slot(id)
		if slot == nil || slot.Entry != entry || named[id] || now-slot.AssignedAt < reportGrace {
			continue
		}
		m.missing++
		if m.missing >= minMissing {
			s.drop(now, id)
		}
	}
}

// orphan marks the slots of entries that have not reported for entryTimeout.
func (s *shard) orphan(now time.Duration) {
	for id, e := range s.entries {
		if now-e.seen < entryTimeout {
			continue
		}
		s.pool.Orphan(now, id)
		delete(s.entries, id)
	}
}
