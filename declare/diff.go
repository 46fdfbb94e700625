package declare

import (
	"encoding/json"
	"sort"

	"github.com/figlb/figlb/structs"
)

// Action is the kind of change made to an object.
type Action string

// Actions of a Change.
const (
	ActionAdd    Action = "add"
	ActionChange Action = "change"
	ActionRemove Action = "remove"
)

// Change is an object that was added, changed or removed between two declarations.
type Change struct {
	Action Action        `json:"action"`
	Kind   structs.Kind  `json:"kind"`
	Name   string        `json:"name"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is a changed field of an object, with its old and new value as decoded from
// JSON. A value is nil where the object's JSON omits the field.
type FieldChange struct {
	Field string `json:"field"`
	Old   any    `json:"old"`
	New   any    `json:"new"`
}

type objectID struct {
	kind structs.Kind
	name string
}

// Diff returns the changes from one declaration to another, ordered by kind and name. A
// nil declaration counts as empty.
func Diff(from, to *structs.Declaration) []Change {
	before, after := objects(from), objects(to)
	var out []Change
	for id, old := range before {
		updated, ok := after[id]
		switch {
		case !ok:
			out = append(out, Change{Action: ActionRemove, Kind: id.kind, Name: id.name})
		default:
			if fs := diffFields(old, updated); len(fs) > 0 {
				out = append(out, Change{Action: ActionChange, Kind: id.kind, Name: id.name, Fields: fs})
			}
		}
	}
	for id := range after {
		if _, ok := before[id]; !ok {
			out = append(out, Change{Action: ActionAdd, Kind: id.kind, Name: id.name})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Kind != out[j].Kind {
			return out[i].Kind < out[j].Kind
		}
		return out[i].Name < out[j].Name
	})
	return out
}

// objects returns the fields of each declared object, by kind and name.
func objects(d *structs.Declaration) map[objectID]map[string]any {
	out := map[objectID]map[string]any{}
	if d == nil {
		return out
	}
	if d.Site.Name != "" {
		out[objectID{structs.KindSite, "site"}] = fields(d.Site)
	}
	addObjects(out, structs.KindZone, d.Zones, func(z structs.Zone) string { return z.Name })
	addObjects(out, structs.KindHost, d.Hosts, func(h structs.Host) string { return h.Name })
	addObjects(out, structs.KindOrganisation, d.Organisations, func(o structs.Organisation) string { return o.Name })
	addObjects(out, structs.KindModel, d.Models, func(m structs.Model) string { return m.Name })
	addObjects(out, structs.KindService, d.Services, func(s structs.Service) string { return s.Name })
	addObjects(out, structs.KindTarget, d.Targets, func(t structs.Target) string { return t.Name })
	return out
}

func addObjects[T any](out map[objectID]map[string]any, kind structs.Kind, items []T, name func(T) string) {
	for _, it := range items {
		out[objectID{kind, name(it)}] = fields(it)
	}
}

// fields returns an object's fields under their JSON names.
func fields(v any) map[string]any {
	out := map[string]any{}
	text, err := json.Marshal(v)
	if err != nil {
		return out
	}
	_ = json.Unmarshal(text, &out)
	return out
}

func diffFields(old, updated map[string]any) []FieldChange {
	names := map[string]bool{}
	for k := range old {
		names[k] = true
	}
	for k := range updated {
		names[k] = true
	}
	var out []FieldChange
	for k := range names {
		if old[k] != updated[k] {
			out = append(out, FieldChange{Field: k, Old: old[k], New: updated[k]})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Field < out[j].Field })
	return out
}
