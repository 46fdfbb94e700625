package configsm

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/statemachine/reqlog"
	"github.com/figlb/figlb/structs"
)

// storedDeclaration is an accepted declaration. Declarations are kept apart from the
// history, so that many key changes do not evict the declarations an operator may want to
// roll back to.
type storedDeclaration struct {
	Info structs.RevisionInfo `msgpack:"i"`
	// Data is the msgpack form compressed with DEFLATE. Without compression, 200
	// declarations of 2,800 targets would take about 100 MB.
	Data []byte `msgpack:"d"`
}

func (s *state) applyDeclaration(c *structs.ConfigCommand, a *structs.ApplyConfig) *errs.Error {
	if err := s.checkPlannedFrom(a.PlannedFrom); err != nil {
		return err
	}
	if err := checkDeclaration(&a.Declaration); err != nil {
		return err
	}
	return s.storeDeclaration(c, "apply", a.Note, &a.Declaration)
}

func (s *state) rollback(c *structs.ConfigCommand, r *structs.RollbackConfig) *errs.Error {
	if err := s.checkPlannedFrom(r.PlannedFrom); err != nil {
		return err
	}
	d, err := s.declaration(r.To)
	if err != nil {
		return err
	}
	return s.storeDeclaration(c, "rollback", "to revision "+utoa(r.To), d)
}

// checkPlannedFrom rejects a change that was planned from a revision other than the current
// one.
func (s *state) checkPlannedFrom(rev uint64) *errs.Error {
	if rev == s.revision {
		return nil
	}
	return errs.New(errs.RevisionConflict, "plan again from revision "+utoa(s.revision)+" and send the new plan",
		"the change was planned from revision %d, but the current revision is %d", rev, s.revision)
}

// storeDeclaration starts a new revision with the declaration d. It keeps the last
// historyLength declarations.
func (s *state) storeDeclaration(c *structs.ConfigCommand, op, note string, d *structs.Declaration) *errs.Error {
	data, err := deflate(reqlog.Encode(d))
	if err != nil {
		return errs.From(err)
	}
	s.startRevision(c, op, note)
	s.history[len(s.history)-1].HasDeclaration = true
	s.declarations = append(s.declarations, storedDeclaration{Info: s.history[len(s.history)-1], Data: data})
	if len(s.declarations) > historyLength {
		s.declarations = slices.Clone(s.declarations[len(s.declarations)-historyLength:])
	}
	s.replaceDeclaredObjects(objectsOf(d))
	return nil
}

// replaceDeclaredObjects stores the declared objects and removes the objects that are no
// longer declared. Keys, drains and fingerprints are not declared, so they stay.
func (s *state) replaceDeclaredObjects(objects map[objectID]any) {
	for id, value := range objects {
		s.put(id.kind, id.name, value)
	}
	for id, old := range s.objects {
		if _, ok := objects[id]; !ok && !old.Deleted && isDeclaredKind(id.kind) {
			s.remove(id.kind, id.name)
		}
	}
}

// isDeclaredKind reports whether objects of kind k come from declarations.
func isDeclaredKind(k structs.Kind) bool {
	switch k {
	case structs.KindKey, structs.KindDrain, structs.KindFingerprint:
		return false
	}
	return true
}

// objectsOf returns the objects of a declaration by id.
func objectsOf(d *structs.Declaration) map[objectID]any {
	out := map[objectID]any{}
	if d.Site.Name != "" {
		out[objectID{structs.KindSite, d.Site.Name}] = d.Site
	}
	addObjects(out, structs.KindZone, d.Zones, func(v structs.Zone) string { return v.Name })
	addObjects(out, structs.KindHost, d.Hosts, func(v structs.Host) string { return v.Name })
	addObjects(out, structs.KindOrganisation, d.Organisations, func(v structs.Organisation) string { return v.Name })
	addObjects(out, structs.KindModel, d.Models, func(v structs.Model) string { return v.Name })
	addObjects(out, structs.KindService, d.Services, func(v structs.Service) string { return v.Name })
	addObjects(out, structs.KindTarget, d.Targets, func(v structs.Target) string { return v.Name })
	return out
}

func addObjects[T any](out map[objectID]any, kind structs.Kind, list []T, name func(T) string) {
	for _, v := range list {
		out[objectID{kind, name(v)}] = v
	}
}

// declaration returns the declaration stored with a revision, or an error if the revision
// has none or it is no longer kept.
func (s *state) declaration(rev uint64) (*structs.Declaration, *errs.Error) {
	for _, d := range s.declarations {
		if d.Info.Revision != rev {
			continue
		}
		out, err := decodeDeclaration(d.Data)
		if err != nil {
			return nil, errs.From(err)
		}
		return out, nil
	}
	return nil, errs.New(errs.NotFound, "choose a revision with a declaration from the history",
		"revision %d has no declaration that is still kept", rev)
}

func deflate(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "deflate declaration")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "deflate declaration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "deflate declaration")
	}
	return buf.Bytes(), nil
}

func decodeDeclaration(data []byte) (*structs.Declaration, error) {
	raw, err := io.ReadAll(flate.NewReader(bytes.NewReader(data)))
	if err != nil {
		return nil, errors.Wrap(err, "inflate declaration")
	}
	d := new(structs.Declaration)
	return d, errors.Wrap(msgpack.Unmarshal(raw, d), "decode declaration")
}
