package configsm

import (
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

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
	if old, ok := s.fingerprint(f.Digest); ok && old.ExpiresAt >= out.ExpiresAt {
		return nil
	}
	s.advance(c, "fingerprint.add", "digest "+f.Digest)
	s.put(structs.KindFingerprint, f.Digest, out)
	return nil
}

func (s *state) fingerprint(digest string) (structs.Fingerprint, bool) {
	var f structs.Fingerprint
	o, ok := s.live(structs.KindFingerprint, digest)
	if ok {
		decode(o, &f)
	}
	return f, ok
}

func (s *state) liftFingerprint(c *structs.ConfigCommand, l *structs.LiftFingerprint) *errs.Error {
	if _, ok := s.live(structs.KindFingerprint, l.Digest); !ok {
		return errs.New(errs.NotFound, "check the digest in the list of fingerprints", "digest %q is not quarantined", l.Digest)
	}
	s.advance(c, "fingerprint.lift", "digest "+l.Digest)
	s.remove(structs.KindFingerprint, l.Digest)
	return nil
}
