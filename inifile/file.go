package inifile

import (
	"os"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Key is a key of a section with its value and its place. The file may differ from that of the
// section, if the sections of two files were merged.
type Key struct {
	Name  string
	Value string
	File  string
	Line  int
}

// Section is a section of an INI file. The header "[host h1]" has Kind "host" and Name "h1".
type Section struct {
	File string
	Line int
	Kind string
	Name string
	Keys []Key
}

// Header returns the text of the section's header, without the brackets.
func (s *Section) Header() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

// Problem returns a problem at a key of the section. With an empty key, or one that the
// section does not have, it points at the section header; for a repeated key, at the last
// occurrence.
func (s *Section) Problem(key, message, remedy string) Problem {
	file, line := s.File, s.Line
	for _, k := range s.Keys {
		if k.Name == key {
			file, line = k.File, k.Line
		}
	}
	return Problem{File: file, Line: line, Section: s.Header(), Key: key, Message: message, Remedy: remedy}
}

// Get returns the value of a key and whether the key is present. For a repeated key it
// returns the first value.
func (s *Section) Get(name string) (string, bool) {
	for _, k := range s.Keys {
		if k.Name == name {
			return k.Value, true
		}
	}
	return "", false
}

// Load reads an INI file. Repeated sections and keys are returned as problems; the error is
// non-nil if the file cannot be read or parsed.
func Load(path string) ([]*Section, Problems, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Errorf("cannot read %s: %v; check the path and its permissions", path, err)
	}
	return Parse(path, text)
}

// Parse reads the text of an INI file. Problems refer to the file by name.
func Parse(name string, text []byte) ([]*Section, Problems, error) {
	// Repeated sections and keys are kept, so that checkDuplicates can report them.
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
	lines := findLines(string(text))
	var sections []*Section
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		sections = append(sections, convertSection(name, s, lines))
	}
	return sections, checkDuplicates(sections), nil
}

// sectionLines is the line of a section header with those of its keys.
type sectionLines struct {
	headerLine int
	keyLines   map[string][]int
}

// findLines finds the line numbers of headers and keys, which the INI library does not
// report. A header or key that is repeated has several, in the order of the file.
func findLines(text string) map[string][]*sectionLines {
	out := map[string][]*sectionLines{}
	current := &sectionLines{keyLines: map[string][]int{}}
	out[ini.DefaultSection] = []*sectionLines{current}
	for i, l := range strings.Split(text, "\n") {
		l = strings.TrimSpace(l)
		switch {
		case strings.HasPrefix(l, "[") && strings.HasSuffix(l, "]"):
			current = &sectionLines{headerLine: i + 1, keyLines: map[string][]int{}}
			header := strings.TrimSpace(l[1 : len(l)-1])
			out[header] = append(out[header], current)
		case l == "" || l[0] == ';' || l[0] == '#':
		default:
			if k, _, ok := strings.Cut(l, "="); ok {
				k = strings.TrimSpace(k)
				current.keyLines[k] = append(current.keyLines[k], i+1)
			}
		}
	}
	return out
}

// convertSection converts a section of the INI library and takes its line numbers from
// lines. It removes them from there, so that a later section with the same header gets its
// own.
func convertSection(file string, s *ini.Section, lines map[string][]*sectionLines) *Section {
	kind, name, _ := strings.Cut(strings.TrimSpace(s.Name()), " ")
	out := &Section{File: file, Kind: kind, Name: strings.TrimSpace(name)}
	pos := &sectionLines{}
	if positions := lines[s.Name()]; len(positions) > 0 {
		pos = positions[0]
		lines[s.Name()] = positions[1:]
	}
	out.Line = pos.headerLine
	for _, k := range s.Keys() {
		for i, v := range k.ValueWithShadows() {
			key := Key{Name: k.Name(), Value: v, File: file}
			if numbers := pos.keyLines[k.Name()]; i < len(numbers) {
				key.Line = numbers[i]
			}
			out.Keys = append(out.Keys, key)
		}
	}
	return out
}

// checkDuplicates reports repeated sections, and repeated keys within a section.
func checkDuplicates(sections []*Section) Problems {
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
