package configsm

import (
	"time"

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

// quarantinePeriod is how long a fingerprint lasts if the command names no end.
const quarantinePeriod = time.Hour

// addFingerprint quarantines a digest. Adding it again moves the end, never back.
func (s *state) addFingerprint(c *structs.ConfigCommand, f *structs.Fingerprint) *errs.Error {
	if f.Digest == "" {
		return errs.New(errs.BadRequest, "send the digest of the request", "the fingerprint is incomplete")
	}
	out := *f
	if out.ExpiresAt == 0 {
		out.ExpiresAt = c.Now + int64(quarantinePeriod/time.Second)
	}
	s.advance(c, "fingerprint.add", "digest "+f.Digest)
	s.put(structs.KindFingerprint, f.Digest, out)
	return nil
}

func (s *state) liftFingerprint(c *structs.ConfigCommand, l *structs.LiftFingerprint) *errs.Error {
	if _, ok := s.live(structs.KindFingerprint, l.Digest); !ok {
		return errs.New(errs.NotFound, "check the digest in the list of fingerprints", "digest %q is not quarantined", l.Digest)
	}
	s.advance(c, "fingerprint.lift", "digest "+l.Digest)
	s.remove(structs.KindFingerprint, l.Digest)
	return nil
}
