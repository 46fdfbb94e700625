package declare

import (
	"encoding/json"
	"sort"

	"github.com/figlb/figlb/structs"
)

// Action tells what happens to an object.
type Action string

// Actions.
const (
	ActionAdd    Action = "add"
	ActionChange Action = "change"
	ActionRemove Action = "remove"
)

// Change is one difference between two declarations.
type Change struct {
	Action Action        `json:"action"`
	Kind   structs.Kind  `json:"kind"`
	Name   string        `json:"name"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is a changed field of an object.
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
// nil declaration is empty.
func Diff(from, to *structs.Declaration) []Change {
	a, b := objects(from), objects(to)
	var out []Change
	for id, old := range a {
		fresh, ok := b[id]
		switch {
		case !ok:
			out = append(out, Change{Action: ActionRemove, Kind: id.kind, Name: id.name})
		default:
			if fs := diffFields(old, fresh); len(fs) > 0 {
				out = append(out, Change{Action: ActionChange, Kind: id.kind, Name: id.name, Fields: fs})
			}
		}
	}
	for id := range b {
		if _, ok := a[id]; !ok {
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

// objects maps each declared object to its fields.
func objects(d *structs.Declaration) map[objectID]map[string]any {
	out := map[objectID]map[string]any{}
	if d == nil {
		return out
	}
	if d.Site.Name != "" {
		out[objectID{structs.KindSite, "site"}] = fields(d.Site)
	}
	addAll(out, structs.KindZone, d.Zones, func(z structs.Zone) string { return z.Name })
	addAll(out, structs.KindHost, d.Hosts, func(h structs.Host) string { return h.Name })
	addAll(out, structs.KindOrganisation, d.Organisations, func(o structs.Organisation) string { return o.Name })
	addAll(out, structs.KindModel, d.Models, func(m structs.Model) string { return m.Name })
	addAll(out, structs.KindService, d.Services, func(s structs.Service) string { return s.Name })
	addAll(out, structs.KindTarget, d.Targets, func(t structs.Target) string { return t.Name })
	return out
}

func addAll[T any](out map[objectID]map[string]any, kind structs.Kind, items []T, name func(T) string) {
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

func diffFields(old, fresh map[string]any) []FieldChange {
	names := map[string]bool{}
	for k := range old {
		names[k] = true
	}
	for k := range fresh {
		names[k] = true
	}
	var out []FieldChange
	for k := range names {
		if old[k] != fresh[k] {
			out = append(out, FieldChange{Field: k, Old: old[k], New: fresh[k]})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Field < out[j].Field })
	return out
}
