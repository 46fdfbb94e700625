package entry

import (
	"crypto/subtle"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/structs"
)

// snapshot is one revision of the configuration. It is immutable once published.
type snapshot struct {
	revision uint64
	objects  map[objectID]structs.Object

	orgs         map[string]*structs.Organisation
	models       map[string]*structs.Model
	services     map[string]*structs.Service
	plain        []*structs.Service // longest prefix first
	targets      map[string]*structs.Target
	keys         map[string]*structs.Key // by hash
	keysByID     map[string]*structs.Key
	fingerprints map[string]*structs.Fingerprint
	// live holds the incarnations of live entries.
	live []string
}

type objectID struct {
	kind structs.Kind
	name string
}

// next returns the snapshot that a confirm reply describes.
func (s *snapshot) next(r *structs.ConfirmReply) (*snapshot, error) {
	n := newSnapshot()
	n.revision = r.Revision
	n.live = r.Live
	if !r.Full {
		for id, o := range s.objects {
			n.objects[id] = o
		}
	}
	for _, o := range r.Objects {
		id := objectID{o.Kind, o.Name}
		if o.Deleted {
			delete(n.objects, id)
			continue
		}
		n.objects[id] = o
	}
	return n, n.index()
}

// withLive returns s with another list of live entries.
func (s *snapshot) withLive(live []string) *snapshot {
	n := *s
	n.live = live
	return &n
}

func newSnapshot() *snapshot {
	return &snapshot{
		objects:      map[objectID]structs.Object{},
		orgs:         map[string]*structs.Organisation{},
		models:       map[string]*structs.Model{},
		services:     map[string]*structs.Service{},
		targets:      map[string]*structs.Target{},
		keys:         map[string]*structs.Key{},
		keysByID:     map[string]*structs.Key{},
		fingerprints: map[string]*structs.Fingerprint{},
	}
}

// index decodes all objects.
func (s *snapshot) index() error {
	for _, o := range s.objects {
		if err := s.add(o); err != nil {
			return errors.Wrapf(err, "object %s %q of revision %d", o.Kind, o.Name, o.ModRev)
		}
	}
	sort.Slice(s.plain, func(i, j int) bool { return len(s.plain[i].Prefix) > len(s.plain[j].Prefix) })
	return nil
}

func (s *snapshot) add(o structs.Object) error {
	switch o.Kind {
	case structs.KindOrganisation:
		return decodeInto(o, s.orgs)
	case structs.KindModel:
		return decodeInto(o, s.models)
	case structs.KindTarget:
		return decodeInto(o, s.targets)
	case structs.KindFingerprint:
		return decodeInto(o, s.fingerprints)
	case structs.KindService:
		if err := decodeInto(o, s.services); err != nil {
			return err
		}
		if sv := s.services[o.Name]; !sv.IsModel() {
			s.plain = append(s.plain, sv)
		}
		return nil
	case structs.KindKey:
		if err := decodeInto(o, s.keysByID); err != nil {
			return err
		}
		k := s.keysByID[o.Name]
		s.keys[k.Hash] = k
		return nil
	}
	return nil // entries do not use the other kinds
}

func decodeInto[T any](o structs.Object, m map[string]*T) error {
	v := new(T)
	if err := msgpack.Unmarshal(o.Data, v); err != nil {
		return err
	}
	m[o.Name] = v
	return nil
}

// key returns the key with a hash. The map lookup is by a SHA-256, so its timing tells
// nothing about stored keys; the comparison of the whole hash takes constant time.
func (s *snapshot) key(hash string) *structs.Key {
	k := s.keys[hash]
	if k == nil || subtle.ConstantTimeCompare([]byte(k.Hash), []byte(hash)) != 1 {
		return nil
	}
	return k
}

// revoked reports whether a key that was valid before is valid no more.
func (s *snapshot) revoked(keyID string) bool {
	k := s.keysByID[keyID]
	return k == nil || k.Revoked
}

// plainService returns the plain service with the longest prefix of path.
func (s *snapshot) plainService(path string) *structs.Service {
	for _, sv := range s.plain {
		if hasPathPrefix(path, sv.Prefix) {
			return sv
		}
	}
	return nil
}

// hasPathPrefix reports whether prefix covers path at a segment border.
func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}

// quarantined reports whether requests with a digest are refused now.
func (s *snapshot) quarantined(digest string, now time.Time) (*structs.Fingerprint, bool) {
	f := s.fingerprints[digest]
	return f, f != nil && f.ExpiresAt > now.Unix()
}

// limits returns the limits of an organisation at this revision.
func (s *snapshot) limits(o *structs.Organisation) structs.Limits {
	return structs.Limits{
		Revision:     s.revision,
		Rate:         o.Rate,
		Burst:        o.Burst,
		BudgetTokens: o.BudgetTokens,
		MaxTurns:     o.MaxTurns,
	}
}

// addresses returns the addresses of all targets.
func (s *snapshot) addresses() map[string]bool {
	out := map[string]bool{}
	for _, t := range s.targets {
		out[t.Address] = true
	}
	return out
}

// modelServices returns the sorted names of the model services.
func (s *snapshot) modelServices() []string {
	var out []string
	for name, sv := range s.services {
		if sv.IsModel() {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}
