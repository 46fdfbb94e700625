package configsm

import (
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// setDrain starts or ends the drain of an availability zone, host or target. Repeating the
// command changes nothing. The drain of an object that is no longer declared may be ended,
// but not started.
//
// A command whose number has been used by another one was sent before that one was acknowledged. It
// fails, unless it asks for the present state and may be a repetition.
func (s *state) setDrain(c *structs.ConfigCommand, d *structs.SetDrain) *errs.Error {
	scope, name := d.Drain.Scope, d.Drain.Name
	switch scope {
	case structs.KindZone, structs.KindHost, structs.KindTarget:
	default:
		return errs.New(errs.BadRequest, "drain a zone, host or target", "%q cannot be drained", scope)
	}
	drainName := structs.DrainName(scope, name)
	_, drained := s.lookup(structs.KindDrain, drainName)
	overtaken := d.Order != 0 && d.Order != s.nextDrainOrder(drainName)
	if overtaken && drained == d.On {
		return nil
	}
	if overtaken {
		return errs.New(errs.RevisionConflict, "check what is drained and repeat the command",
			"command %d for %s was overtaken by another one", d.Order, drainName)
	}
	if drained == d.On {
		s.drainOrders[drainName]++
		return nil
	}
	if !d.On {
		s.drainOrders[drainName]++
		s.startRevision(c, "drain.off", drainName)
		s.remove(structs.KindDrain, drainName)
		return nil
	}
	if _, ok := s.lookup(scope, name); !ok {
		return errs.New(errs.NotFound, "check the name in the configuration", "%s %q does not exist", scope, name)
	}
	s.drainOrders[drainName]++
	s.startRevision(c, "drain.on", drainName)
	s.put(structs.KindDrain, drainName, d.Drain)
	return nil
}

func (s *state) nextDrainOrder(drainName string) uint64 { return s.drainOrders[drainName] + 1 }
