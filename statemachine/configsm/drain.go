package configsm

import (
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// setDrain takes a zone, host or target out or brings it back. Repeating it changes
// nothing. Bringing back something that is no longer declared is allowed.
func (s *state) setDrain(c *structs.ConfigCommand, d *structs.SetDrain) *errs.Error {
	scope, name := d.Drain.Scope, d.Drain.Name
	switch scope {
	case structs.KindZone, structs.KindHost, structs.KindTarget:
	default:
		return errs.New(errs.BadRequest, "drain a zone, host or target", "%q cannot be drained", scope)
	}
	object := structs.DrainName(scope, name)
	_, drained := s.live(structs.KindDrain, object)
	if drained == d.On {
		return nil
	}
	if !d.On {
		s.advance(c, "drain.off", object)
		s.remove(structs.KindDrain, object)
		return nil
	}
	if _, ok := s.live(scope, name); !ok {
		return errs.New(errs.NotFound, "check the name in the configuration", "%s %q does not exist", scope, name)
	}
	s.advance(c, "drain.on", object)
	s.put(structs.KindDrain, object, d.Drain)
	return nil
}
