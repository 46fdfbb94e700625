package inifile

import (
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Rate is a frequency in events per second, written "20/s", "90/m" or "600/h".
type Rate float64

// Decode sets the fields of out, a pointer to a struct, from a section. A field's `ini`
// tag names its key, with options after commas: "required", "min=N" (numbers and
// durations, the latter in the syntax of time.ParseDuration) and "oneof=a|b". Fields
// without the tag are left alone. Supported types are string, int, int64, float64, bool,
// time.Duration, Rate and []string (comma-separated).
func Decode(s *Section, out any) Problems {
	v := reflect.ValueOf(out).Elem()
	var ps Problems
	known := map[string]bool{}
	for i := range v.NumField() {
		tag, ok := v.Type().Field(i).Tag.Lookup("ini")
		if !ok {
			continue
		}
		spec := parseTag(tag)
		known[spec.name] = true
		text, set := s.Get(spec.name)
		if !set {
			if spec.required {
				ps = append(ps, s.Problem(spec.name, "key is missing", "add it"))
			}
			continue
		}
		if msg, remedy := assign(v.Field(i), text, spec); msg != "" {
			ps = append(ps, s.Problem(spec.name, msg, remedy))
		}
	}
	for _, k := range s.Keys {
		if !known[k.Name] {
			ps = append(ps, s.Problem(k.Name, "key is unknown", "known keys: "+strings.Join(sortedKeys(known), ", ")))
		}
	}
	return ps
}

// fieldSpec is a parsed `ini` tag.
type fieldSpec struct {
	name     string
	required bool
	min      string   // "": no lower bound
	oneOf    []string // empty: any value
}

func parseTag(tag string) fieldSpec {
	parts := strings.Split(tag, ",")
	spec := fieldSpec{name: parts[0]}
	for _, p := range parts[1:] {
		switch {
		case p == "required":
			spec.required = true
		case strings.HasPrefix(p, "min="):
			spec.min = strings.TrimPrefix(p, "min=")
		case strings.HasPrefix(p, "oneof="):
			spec.oneOf = strings.Split(strings.TrimPrefix(p, "oneof="), "|")
		}
	}
	return spec
}

// assign parses text and stores it in the field f. If text is not a valid value, it returns
// the message and the remedy of the problem; otherwise both are empty.
func assign(f reflect.Value, text string, spec fieldSpec) (string, string) {
	switch f.Interface().(type) {
	case string:
		return assignString(f, text, spec)
	case time.Duration:
		return assignDuration(f, text, spec)
	case Rate:
		return assignRate(f, text, spec)
	case bool:
		return assignBool(f, text)
	case []string:
		f.Set(reflect.ValueOf(splitList(text)))
		return "", ""
	}
	return assignNumber(f, text, spec)
}

func assignString(f reflect.Value, text string, spec fieldSpec) (string, string) {
	if text == "" {
		return "value is empty", "give a value or remove the key"
	}
	if len(spec.oneOf) > 0 && !contains(spec.oneOf, text) {
		return fmt.Sprintf("value %q is unknown", text), "use one of " + strings.Join(spec.oneOf, ", ")
	}
	f.SetString(text)
	return "", ""
}

func assignDuration(f reflect.Value, text string, spec fieldSpec) (string, string) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Sprintf("%q is not a duration", text), "write a number with a unit, for example 500ms, 10s or 1h"
	}
	minimum, _ := time.ParseDuration(spec.min)
	if spec.min != "" && d < minimum {
		return fmt.Sprintf("%s is too short", text), "use at least " + spec.min
	}
	f.SetInt(int64(d))
	return "", ""
}

// rateUnits maps the unit of a rate to its length in seconds.
var rateUnits = map[string]float64{"s": 1, "m": 60, "h": 3600}

func assignRate(f reflect.Value, text string, spec fieldSpec) (string, string) {
	const remedy = "write a number and a unit, for example 20/s, 90/m or 600/h"
	num, unit, ok := strings.Cut(text, "/")
	n, err := strconv.ParseFloat(strings.TrimSpace(num), 64)
	unitSeconds := rateUnits[strings.TrimSpace(unit)]
	if !ok || err != nil || unitSeconds == 0 {
		return fmt.Sprintf("%q is not a rate", text), remedy
	}
	// !(n > 0) also rejects NaN, which n <= 0 would let pass.
	if !(n > 0) || n > 1e9 {
		return fmt.Sprintf("rate %s is impossible", text), "use a positive rate"
	}
	f.SetFloat(n / unitSeconds)
	return "", ""
}

func assignBool(f reflect.Value, text string) (string, string) {
	switch text {
	case "true", "yes", "on":
		f.SetBool(true)
	case "false", "no", "off":
		f.SetBool(false)
	default:
		return fmt.Sprintf("%q is not a boolean", text), "use true or false"
	}
	return "", ""
}

func assignNumber(f reflect.Value, text string, spec fieldSpec) (string, string) {
	n, err := strconv.ParseFloat(text, 64)
	integer := f.Kind() == reflect.Int || f.Kind() == reflect.Int64
	if err != nil || (integer && n != float64(int64(n))) {
		return fmt.Sprintf("%q is not a valid number for this key", text), "write a plain number without a unit"
	}
	minimum, _ := strconv.ParseFloat(spec.min, 64)
	if spec.min != "" && n < minimum {
		return fmt.Sprintf("%s is too small", text), "use at least " + spec.min
	}
	if integer {
		f.SetInt(int64(n))
		return "", ""
	}
	f.SetFloat(n)
	return "", ""
}

func splitList(text string) []string {
	var out []string
	for _, p := range strings.Split(text, ",") {
		if p = strings.TrimSpace(p); p != "" {
			out = append(out, p)
		}
	}
	return out
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func sortedKeys(m map[string]bool) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
