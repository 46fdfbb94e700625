package inifile

import (
	"os"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Key is one key of a section.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is a section of a file. The header "[host h1]" has Kind "host" and Name "h1".
type Section struct {
	File string
	Line int
	Kind string
	Name string
	Keys []Key
}

// Header returns the text of the section's header.
func (s *Section) Header() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

// Problem returns a problem at a key of the section; an empty key means the section.
func (s *Section) Problem(key, message, remedy string) Problem {
	line := s.Line
	for _, k := range s.Keys {
		if k.Name == key {
			line = k.Line
		}
	}
	return Problem{File: s.File, Line: line, Section: s.Header(), Key: key, Message: message, Remedy: remedy}
}

// Get returns the value of a key.
func (s *Section) Get(name string) (string, bool) {
	for _, k := range s.Keys {
		if k.Name == name {
			return k.Value, true
		}
	}
	return "", false
}

// Load reads a file. Repeated sections and keys are returned as problems; the error is
// for files that cannot be read or parsed.
func Load(path string) ([]*Section, Problems, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Errorf("cannot read %s: %v; check the path and its permissions", path, err)
	}
	return Parse(path, text)
}

// Parse reads the text of a file; name is used in problems.
func Parse(name string, text []byte) ([]*Section, Problems, error) {
	opts := ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreInlineComment:        true,
		KeyValueDelimiters:         "=",
	}
	f, err := ini.LoadSources(opts, text)
	if err != nil {
		return nil, nil, errors.Errorf("%s: %v; write [section] headers and key = value lines", name, err)
	}
	lines := locate(string(text))
	var sections []*Section
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		sections = append(sections, convert(name, s, lines))
	}
	return sections, check(sections), nil
}

// place is the line of a section header with those of its keys.
type place struct {
	line int
	keys map[string][]int
}

// locate finds the lines of headers and keys, which the INI library does not tell.
func locate(text string) map[string][]*place {
	out := map[string][]*place{}
	cur := &place{keys: map[string][]int{}}
	out[ini.DefaultSection] = []*place{cur}
	for i, l := range strings.Split(text, "\n") {
		l = strings.TrimSpace(l)
		switch {
		case strings.HasPrefix(l, "[") && strings.HasSuffix(l, "]"):
			cur = &place{line: i + 1, keys: map[string][]int{}}
			header := strings.TrimSpace(l[1 : len(l)-1])
			out[header] = append(out[header], cur)
		case l == "" || l[0] == ';' || l[0] == '#':
		default:
			if k, _, ok := strings.Cut(l, "="); ok {
				k = strings.TrimSpace(k)
				cur.keys[k] = append(cur.keys[k], i+1)
			}
		}
	}
	return out
}

func convert(file string, s *ini.Section, lines map[string][]*place) *Section {
	kind, name, _ := strings.Cut(strings.TrimSpace(s.Name()), " ")
	out := &Section{File: file, Kind: kind, Name: strings.TrimSpace(name)}
	at := &place{}
	if ps := lines[s.Name()]; len(ps) > 0 {
		at = ps[0]
		lines[s.Name()] = ps[1:]
	}
	out.Line = at.line
	for _, k := range s.Keys() {
		for i, v := range k.ValueWithShadows() {
			key := Key{Name: k.Name(), Value: v}
			if ls := at.keys[k.Name()]; i < len(ls) {
				key.Line = ls[i]
			}
			out.Keys = append(out.Keys, key)
		}
	}
	return out
}

func check(sections []*Section) Problems {
	var ps Problems
	seen := map[string]bool{}
	for _, s := range sections {
		if seen[s.Header()] {
			ps = append(ps, s.Problem("", "section is repeated", "merge it with the first one"))
		}
		seen[s.Header()] = true
		keys := map[string]bool{}
		for _, k := range s.Keys {
			if keys[k.Name] {
				ps = append(ps, Problem{File: s.File, Line: k.Line, Section: s.Header(), Key: k.Name,
					Message: "key is repeated", Remedy: "keep one of the values"})
			}
			keys[k.Name] = true
		}
	}
	return ps
}
