package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Effect tells when a changed value of a field of a settings file takes effect.
type Effect int

// The effects. A process that reads its settings once has fields of AtRestart only.
const (
	// AtRestart is the effect of what a process is built with: its identity, listeners, folders and limits.
	AtRestart Effect = iota
	// AtReload is the effect of what a running process takes over when it reads the file again.
	AtReload
	// AtCreation is the effect of what matters only at the first start of a site. Later values mean nothing.
	AtCreation
)

// Field is a field of a settings file that a process uses.
type Field struct {
	Name   string // section and key as in the file, with a dot between them
	Value  string // as logged; empty if the file states none
	Effect Effect
}

// Fields lists the fields of a decoded settings file, a struct whose fields have the key of the file in the given
// struct tag. Fields that effects does not name are AtRestart.
func Fields(file any, tag string, effects map[string]Effect) []Field {
	return appendFields(nil, "", reflect.ValueOf(file), tag, effects)
}

func appendFields(out []Field, section string, v reflect.Value, tag string, effects map[string]Effect) []Field {
	for i := range v.NumField() {
		key, _, _ := strings.Cut(v.Type().Field(i).Tag.Get(tag), ",")
		name := section + key
		if v.Field(i).Kind() == reflect.Struct {
			out = appendFields(out, name+".", v.Field(i), tag, effects)
			continue
		}
		f := Field{Name: name, Effect: effects[name]}
		if !isUnset(v.Field(i)) {
			f.Value = fmt.Sprint(v.Field(i).Interface())
		}
		out = append(out, f)
	}
	return out
}

// isUnset reports whether a value is the zero value, or a list without elements.
func isUnset(v reflect.Value) bool {
	return v.IsZero() || v.Kind() == reflect.Slice && v.Len() == 0
}

// Change is a field whose value differs between two readings of a settings file.
type Change struct {
	Field
	Before string
}

// Changes returns the fields that differ, in the order of the file.
func Changes(before, after []Field) []Change {
	values := make(map[string]string, len(before))
	for _, f := range before {
		values[f.Name] = f.Value
	}
	var out []Change
	for _, f := range after {
		if f.Value != values[f.Name] {
			out = append(out, Change{Field: f, Before: values[f.Name]})
		}
	}
	return out
}
