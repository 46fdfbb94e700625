package configsm

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/figlb/figlb/statemachine/reqlog"
	"github.com/figlb/figlb/structs"
)

const (
	// historyLength is the number of changes, and of declarations, that are kept.
	historyLength = 200
	// maxTombstones bounds the deletions kept for deltas. A poll from before the oldest
	// one gets the whole configuration.
	maxTombstones = 4096
)

// advance starts a new revision and records it in the history.
func (s *state) advance(c *structs.ConfigCommand, op, note string) {
	s.revision++
	s.history = append(s.history, structs.RevisionInfo{
		Revision:   s.revision,
		Op:         op,
		Author:     c.Author,
		Note:       note,
		AcceptedAt: c.Now,
	})
	if len(s.history) > historyLength {
		s.history = slices.Clone(s.history[len(s.history)-historyLength:])
	}
}

// put stores an object at the current revision, if it differs from the stored one.
func (s *state) put(kind structs.Kind, name string, value any) {
	data := reqlog.Encode(value)
	id := objectID{kind, name}
	old, ok := s.objects[id]
	if ok && !old.Deleted && bytes.Equal(old.Data, data) {
		return
	}
	s.objects[id] = structs.Object{Kind: kind, Name: name, ModRev: s.revision, Data: data}
}

// remove replaces an object by a tombstone of the current revision.
func (s *state) remove(kind structs.Kind, name string) {
	s.objects[objectID{kind, name}] = structs.Object{Kind: kind, Name: name, ModRev: s.revision, Deleted: true}
}

// pruneTombstones forgets the oldest deletions. It runs after a command, because within
// one the deletions are made in the order of a map.
func (s *state) pruneTombstones() {
	var dead []structs.Object
	for _, o := range s.objects {
		if o.Deleted {
			dead = append(dead, o)
		}
	}
	if len(dead) <= maxTombstones {
		return
	}
	slices.SortFunc(dead, compareObjects)
	// Half of them go at once, so that the sorting is rare.
	for _, o := range dead[:len(dead)/2] {
		delete(s.objects, objectID{o.Kind, o.Name})
		s.deltaFrom = max(s.deltaFrom, o.ModRev)
	}
}

// live returns an object that is not deleted.
func (s *state) live(kind structs.Kind, name string) (structs.Object, bool) {
	o, ok := s.objects[objectID{kind, name}]
	return o, ok && !o.Deleted
}

func compareObjects(a, b structs.Object) int {
	return cmp.Or(cmp.Compare(a.ModRev, b.ModRev), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}
