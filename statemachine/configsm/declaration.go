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

// declared is an accepted declaration. It is kept apart from the history, so that many
// key changes do not push out the declarations one may want to return to.
type declared struct {
	Info structs.RevisionInfo `msgpack:"i"`
	// Data is the deflated msgpack form: 200 declarations of 2,800 targets would take
	// about 100 MB otherwise.
	Data []byte `msgpack:"d"`
}

func (s *state) apply(c *structs.ConfigCommand, a *structs.ApplyConfig) *errs.Error {
	if err := s.checkPlannedFrom(a.PlannedFrom); err != nil {
		return err
	}
	if err := check(&a.Declaration); err != nil {
		return err
	}
	return s.declare(c, "apply", a.Note, &a.Declaration)
}

func (s *state) rollback(c *structs.ConfigCommand, r *structs.RollbackConfig) *errs.Error {
	if err := s.checkPlannedFrom(r.PlannedFrom); err != nil {
		return err
	}
	d, err := s.declaration(r.To)
	if err != nil {
		return err
	}
	return s.declare(c, "rollback", "to revision "+utoa(r.To), d)
}

func (s *state) checkPlannedFrom(rev uint64) *errs.Error {
	if rev == s.revision {
		return nil
	}
	return errs.New(errs.RevisionConflict, "plan again from revision "+utoa(s.revision)+" and send the new plan",
		"the change was planned from revision %d, but the current revision is %d", rev, s.revision)
}

// declare makes d the declaration of a new revision.
func (s *state) declare(c *structs.ConfigCommand, op, note string, d *structs.Declaration) *errs.Error {
	data, err := deflate(reqlog.Encode(d))
	if err != nil {
		return errs.From(err)
	}
	s.advance(c, op, note)
	s.history[len(s.history)-1].HasDeclaration = true
	s.declared = append(s.declared, declared{Info: s.history[len(s.history)-1], Data: data})
	if len(s.declared) > historyLength {
		s.declared = slices.Clone(s.declared[len(s.declared)-historyLength:])
	}
	s.replaceDeclared(objectsOf(d))
	return nil
}

// replaceDeclared stores the declared objects and removes those no longer declared.
// Keys, drains and fingerprints stay.
func (s *state) replaceDeclared(objects map[objectID]any) {
	for id, value := range objects {
		s.put(id.kind, id.name, value)
	}
	for id, old := range s.objects {
		if _, ok := objects[id]; !ok && !old.Deleted && isDeclaredKind(id.kind) {
			s.remove(id.kind, id.name)
		}
	}
}

func isDeclaredKind(k structs.Kind) bool {
	switch k {
	case structs.KindKey, structs.KindDrain, structs.KindFingerprint:
		return false
	}
	return true
}

func objectsOf(d *structs.Declaration) map[objectID]any {
	out := map[objectID]any{}
	if d.Site.Name != "" {
		out[objectID{structs.KindSite, d.Site.Name}] = d.Site
	}
	addAll(out, structs.KindZone, d.Zones, func(v structs.Zone) string { return v.Name })
	addAll(out, structs.KindHost, d.Hosts, func(v structs.Host) string { return v.Name })
	addAll(out, structs.KindOrganisation, d.Organisations, func(v structs.Organisation) string { return v.Name })
	addAll(out, structs.KindModel, d.Models, func(v structs.Model) string { return v.Name })
	addAll(out, structs.KindService, d.Services, func(v structs.Service) string { return v.Name })
	addAll(out, structs.KindTarget, d.Targets, func(v structs.Target) string { return v.Name })
	return out
}

func addAll[T any](out map[objectID]any, kind structs.Kind, list []T, name func(T) string) {
	for _, v := range list {
		out[objectID{kind, name(v)}] = v
	}
}

// declaration returns the declaration of a revision that has one.
func (s *state) declaration(rev uint64) (*structs.Declaration, *errs.Error) {
	for _, d := range s.declared {
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
