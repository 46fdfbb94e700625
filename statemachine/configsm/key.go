package configsm

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// grantKey adds a key. Granting the same key again changes nothing. A revoked key, or
// another key with the same secret, cannot be granted.
func (s *state) grantKey(c *structs.ConfigCommand, k *structs.Key) *errs.Error {
	if k.ID == "" || k.Hash == "" {
		return errs.New(errs.BadRequest, "send the key's id and SHA-256 hash", "the key is incomplete")
	}
	if _, ok := s.lookup(structs.KindOrganisation, k.Organisation); !ok {
		return errs.New(errs.NotFound, "declare the organisation first", "organisation %q does not exist", k.Organisation)
	}
	if old, ok := s.key(k.ID); ok {
		return checkRegrant(old, k)
	}
	if s.hashInUse(k.Hash) {
		return errs.New(errs.BadRequest, "generate a new key", "another key has the same secret")
	}
	s.startRevision(c, "key.grant", "key "+k.ID+" of "+k.Organisation)
	s.put(structs.KindKey, k.ID, structs.Key{ID: k.ID, Hash: k.Hash, Organisation: k.Organisation})
	return nil
}

// checkRegrant returns nil if k repeats the grant of the stored key old, and an error if old
// is revoked or differs from k.
func checkRegrant(old structs.Key, k *structs.Key) *errs.Error {
	if old.Revoked {
		return errs.New(errs.KeyRevoked, "grant a new key under a new id", "key %q has been revoked for ever", k.ID)
	}
	if old.Hash != k.Hash || old.Organisation != k.Organisation {
		return errs.New(errs.BadRequest, "grant it under a new id", "key id %q is in use", k.ID)
	}
	return nil
}

func (s *state) key(id string) (structs.Key, bool) {
	o, ok := s.lookup(structs.KindKey, id)
	if !ok {
		return structs.Key{}, false
	}
	return decodeKey(o), true
}

func decodeKey(o structs.Object) structs.Key {
	var k structs.Key
	decode(o, &k)
	return k
}

// decode decodes the data of a stored object. It panics on an error, because the data was
// encoded by this package.
func decode(o structs.Object, out any) {
	if err := msgpack.Unmarshal(o.Data, out); err != nil {
		panic("configsm: stored " + string(o.Kind) + " " + o.Name + ": " + err.Error())
	}
}

// hashInUse reports whether a key with this hash exists, revoked keys included.
func (s *state) hashInUse(hash string) bool {
	for id, o := range s.objects {
		if id.kind == structs.KindKey && !o.Deleted && decodeKey(o).Hash == hash {
			return true
		}
	}
	return false
}

// revokeKey revokes a key permanently. The key's object is kept, so that callers that use
// the key are told that it was revoked.
func (s *state) revokeKey(c *structs.ConfigCommand, r *structs.RevokeKey) *errs.Error {
	k, ok := s.key(r.ID)
	if !ok {
		return errs.New(errs.NotFound, "check the id in the list of keys", "key %q does not exist", r.ID)
	}
	if k.Revoked {
		return nil
	}
	k.Revoked = true
	s.startRevision(c, "key.revoke", "key "+k.ID+" of "+k.Organisation)
	s.put(structs.KindKey, k.ID, k)
	return nil
}
