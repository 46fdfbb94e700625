package main

import (
	"syscall"
	"time"
)

// movedList: the settings name another address of the list, which SIGHUP tells; the old one ends.
func movedList(s *site) (int, error) {
	callers := s.startLookups()
	time.Sleep(usualTraffic)
	if troubled() {
		old := s.list
		moved, err := startList()
		if err != nil {
			callers.end()
			return 0, err
		}
		moved.set(s.targets)
		s.list = moved
		for _, h := range append(append([]*host{}, s.controllers...), s.gateways...) {
			h.settings.List = moved.address()
			h.settings.Bootstrap = false
			if err := s.writeSettings(h); err != nil {
				callers.end()
				return 0, err
			}
			h.signal(syscall.SIGHUP)
		}
		s.rec.line("the settings name another address of the list; SIGHUP sent to all processes")
		time.Sleep(contact)
		old.close()
		s.rec.line("the old address of the list is closed")
		time.Sleep(contact)
	}
	return s.drainBusiest(callers)
}
