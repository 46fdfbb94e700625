package configsm

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/figlb/figlb/statemachine/reqlog"
	"github.com/figlb/figlb/structs"
)

const (
	// historyLength is the maximum number of changes, and of declarations, that are kept.
	historyLength = 200
	// maxTombstones limits the number of tombstones kept for deltas. A poll from a revision
	// older than a pruned tombstone gets the whole configuration.
	maxTombstones = 4096
)

// startRevision starts a new revision and records it in the history.
func (s *state) startRevision(c *structs.ConfigCommand, op, note string) {
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

// put stores an object at the current revision, unless an equal object is stored already.
func (s *state) put(kind structs.Kind, name string, value any) {
	data := reqlog.Encode(value)
	id := objectID{kind, name}
	old, ok := s.objects[id]
	if ok && !old.Deleted && bytes.Equal(old.Data, data) {
		return
	}
	s.objects[id] = structs.Object{Kind: kind, Name: name, ModRev: s.revision, Data: data}
}

// remove replaces an object with a tombstone at the current revision.
func (s *state) remove(kind structs.Kind, name string) {
	s.objects[objectID{kind, name}] = structs.Object{Kind: kind, Name: name, ModRev: s.revision, Deleted: true}
}

// pruneTombstones deletes the older half of the tombstones if there are more than
// maxTombstones. It must run after a complete command: within a command, objects are removed
// in the iteration order of a map, so pruning then would not be deterministic.
func (s *state) pruneTombstones() {
	var tombstones []structs.Object
	for _, o := range s.objects {
		if o.Deleted {
			tombstones = append(tombstones, o)
		}
	}
	if len(tombstones) <= maxTombstones {
		return
	}
	slices.SortFunc(tombstones, compareByRevision)
	// Deleting half of them at once makes the sort rare.
	for _, o := range tombstones[:len(tombstones)/2] {
		delete(s.objects, objectID{o.Kind, o.Name})
		s.deltaFrom = max(s.deltaFrom, o.ModRev)
	}
}

// lookup returns an object; ok is false if it does not exist or has been deleted.
func (s *state) lookup(kind structs.Kind, name string) (structs.Object, bool) {
	o, ok := s.objects[objectID{kind, name}]
	return o, ok && !o.Deleted
}

func compareByRevision(a, b structs.Object) int {
	return cmp.Or(cmp.Compare(a.ModRev, b.ModRev), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}
