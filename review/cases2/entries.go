package main

import (
	"fmt"
	"time"
)

// usualTraffic is the time of traffic before the disruption, observed the time after the bound of the rule in
// which its breaks are counted, and slack the time that a request may have been under way.
const (
	usualTraffic = 3 * time.Second
	observed     = 6 * time.Second
	slack        = time.Second
)

// unreadableEntry: another writer leaves an entry of the list whose bytes cannot be read; a target leaves
// afterwards.
func unreadableEntry(s *site) (int, error) {
	callers := s.startLookups()
	time.Sleep(usualTraffic)
	if troubled() {
		s.list.addForeign("\x80\x04\x95{\"id\":\"x-1\"")
		s.rec.line("the list has an entry whose bytes cannot be read")
		time.Sleep(time.Second)
	}
	return s.drainBusiest(callers)
}

// drainBusiest lists the busiest target as draining and counts what it runs after drainBound. The list shows the
// change at once.
func (s *site) drainBusiest(callers *lookups) (int, error) {
	leaving := s.busiest()
	s.list.drain(leaving.ID)
	shown := time.Now()
	s.rec.line("the list shows %s as draining", leaving.ID)
	time.Sleep(drainBound + slack + observed)
	callers.end()
	n := s.runsAfter(shown.Add(drainBound+slack), leaving)
	s.rec.line("%s has run %d requests later than %s after the list showed it as draining", leaving.ID, n, drainBound+slack)
	return n, s.checkServed()
}

// checkServed fails if the targets have run nearly nothing, as nothing could be told from that.
func (s *site) checkServed() error {
	if n := len(s.log.All()); n < 100 {
		return fmt.Errorf("only %d requests have run", n)
	}
	return nil
}

// foreignEntry: another writer leaves entries without a zone, slots and version for the targets of the plain
// service; a zone is evacuated.
func foreignEntry(s *site) (int, error) {
	for _, t := range s.targets {
		if troubled() {
			s.list.addForeign(fmt.Sprintf(`{"id":%q,"service":%q,"address":%q,"state":"ready"}`, t.ID, t.Service, t.Address()))
			s.rec.line("the list has a second entry for %s, without zone, slots, version and cold-remaining-ms", t.ID)
		}
	}
	callers := s.startLookups()
	time.Sleep(usualTraffic)
	zone := s.busiest().Zone
	acked, err := s.orderEvacuation(zone)
	if err != nil {
		callers.end()
		return 0, err
	}
	s.rec.line("evacuation of %s acknowledged", zone)
	time.Sleep(evacuation + slack + observed)
	callers.end()
	n := s.runsAfter(acked.Add(evacuation+slack), s.inZone(zone)...)
	s.rec.line("the targets in %s have run %d requests later than %s after the acknowledgement", zone, n, evacuation+slack)
	return n, s.checkServed()
}
