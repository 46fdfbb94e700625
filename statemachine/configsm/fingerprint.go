package configsm

import (
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// defaultQuarantinePeriod is the lifetime of a fingerprint whose command sets no expiry.
const defaultQuarantinePeriod = time.Hour

// addFingerprint quarantines a digest. Adding it again may extend the quarantine but never
// shortens it.
func (s *state) addFingerprint(c *structs.ConfigCommand, f *structs.Fingerprint) *errs.Error {
	if f.Digest == "" {
		return errs.New(errs.BadRequest, "send the digest of the request", "the fingerprint is incomplete")
	}
	out := *f
	if out.ExpiresAt == 0 {
		out.ExpiresAt = c.Now + int64(defaultQuarantinePeriod/time.Second)
	}
	if old, ok := s.fingerprint(f.Digest); ok && old.ExpiresAt >= out.ExpiresAt {
		return nil
	}
	s.startRevision(c, "fingerprint.add", "digest "+f.Digest)
	s.put(structs.KindFingerprint, f.Digest, out)
	return nil
}

func (s *state) fingerprint(digest string) (structs.Fingerprint, bool) {
	var f structs.Fingerprint
	o, ok := s.lookup(structs.KindFingerprint, digest)
	if ok {
		decode(o, &f)
	}
	return f, ok
}

// liftFingerprint ends the quarantine of a digest.
func (s *state) liftFingerprint(c *structs.ConfigCommand, l *structs.LiftFingerprint) *errs.Error {
	if _, ok := s.lookup(structs.KindFingerprint, l.Digest); !ok {
		return errs.New(errs.NotFound, "check the digest in the list of fingerprints", "digest %q is not quarantined", l.Digest)
	}
	s.startRevision(c, "fingerprint.lift", "digest "+l.Digest)
	s.remove(structs.KindFingerprint, l.Digest)
	return nil
}
