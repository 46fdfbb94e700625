package dispatch

import (
	"time"

	"github.com/figlb/figlb/structs"
)

// touchEntry records the time of a call from an entry and returns the entry's state.
func (s *scheduler) touchEntry(now time.Duration, entry string) *entryState {
	e := s.entries[entry]
	if e == nil {
		e = &entryState{}
		s.entries[entry] = e
	}
	e.lastSeen = now
	return e
}

// report updates the slots that an entry has in use. Slots that the scheduler does not
// know were assigned in an earlier term. They are adopted if the report describes them,
// and count against the targets' limits from then on; otherwise the reply lists them as
// unknown.
func (s *scheduler) report(rep *structs.ReportSlots) (*structs.ReportReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if err := s.ensureLeading(now); err != nil {
		return nil, err
	}
	s.syncConfig(now)
	reply := &structs.ReportReply{Term: s.term}
	listed := make(map[string]bool, len(rep.Slots))
	for _, info := range rep.Slots {
		listed[info.Slot] = true
		if !s.confirmSlot(now, rep.Entry, info) {
			reply.Unknown = append(reply.Unknown, info.Slot)
		}
	}
	// An entry with unknown slots does not count as having reported. If assignments began
	// now, the unknown slots would not count against the targets' limits.
	if e := s.touchEntry(now, rep.Entry); len(reply.Unknown) == 0 {
		e.reported = true
	}
	s.freeUnreported(now, rep.Entry, listed)
	s.assignQueued(now)
	return reply, nil
}

// confirmSlot records that a slot is in use. If the slot is unknown, confirmSlot adopts it,
// unless its target is not in the pool. It returns false if the slot is unknown and info
// does not describe it.
func (s *scheduler) confirmSlot(now time.Duration, entry string, info structs.SlotInfo) bool {
	if slot := s.pool.Slot(info.Slot); slot != nil {
		slot.OrphanedAt = 0
		s.slotStates[info.Slot].missedReports = 0
		return true
	}
	if _, ok := s.releasedAt[info.Slot]; ok {
		return true
	}
	if info.Target == "" {
		return false
	}
	if s.pool.Adopt(now, entry, info) {
		s.slotStates[info.Slot] = &slotState{}
	}
	return true
}

// freeUnreported frees those slots of an entry that maxMissedReports consecutive reports
// have not listed. The slots in listed are in the current report.
func (s *scheduler) freeUnreported(now time.Duration, entry string, listed map[string]bool) {
	for id, state := range s.slotStates {
		slot := s.pool.Slot(id)
		if slot == nil || slot.Entry != entry || listed[id] || now-slot.AssignedAt < reportGrace {
			continue
		}
		state.missedReports++
		if state.missedReports >= maxMissedReports {
			s.freeSlot(now, id)
		}
	}
}

// orphanSilentEntries marks the slots of entries that have made no call for entryTimeout
// as orphaned, and forgets these entries.
func (s *scheduler) orphanSilentEntries(now time.Duration) {
	for id, e := range s.entries {
		if now-e.lastSeen < entryTimeout {
			continue
		}
		s.pool.MarkOrphans(now, id)
		delete(s.entries, id)
	}
}
