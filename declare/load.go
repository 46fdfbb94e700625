package declare

import (
	"sort"

	"github.com/figlb/figlb/inifile"
	"github.com/figlb/figlb/structs"
)

// Load reads and checks a base file and an overlay. The error is inifile.Problems if the
// files could be read and parsed.
func Load(basePath, overlayPath string) (*structs.Declaration, error) {
	base, ps, err := inifile.Load(basePath)
	if err != nil {
		return nil, err
	}
	overlay, overlayProblems, err := inifile.Load(overlayPath)
	if err != nil {
		return nil, err
	}
	ps = append(ps, overlayProblems...)
	return build(base, overlay, ps)
}

// Parse does the same as Load with files that are already in memory. Problems refer to the
// files by the given names.
func Parse(baseName string, base []byte, overlayName string, overlay []byte) (*structs.Declaration, error) {
	b, ps, err := inifile.Parse(baseName, base)
	if err != nil {
		return nil, err
	}
	o, overlayProblems, err := inifile.Parse(overlayName, overlay)
	if err != nil {
		return nil, err
	}
	return build(b, o, append(ps, overlayProblems...))
}

func build(base, overlay []*inifile.Section, ps inifile.Problems) (*structs.Declaration, error) {
	ps = append(ps, checkBaseKinds(base)...)
	d := &decoder{problems: ps}
	for _, s := range merge(base, overlay) {
		d.decode(s)
	}
	d.check()
	if err := d.problems.Err(); err != nil {
		return nil, err
	}
	d.sort()
	return &d.decl, nil
}

// overlayKinds are the section kinds that are specific to one site and therefore allowed
// only in the overlay.
var overlayKinds = map[string]bool{"site": true, "zone": true, "host": true, "target": true}

// checkBaseKinds reports the sections of the base file that belong in an overlay.
func checkBaseKinds(base []*inifile.Section) inifile.Problems {
	var ps inifile.Problems
	for _, s := range base {
		if overlayKinds[s.Kind] {
			ps = append(ps, s.Problem("", "section is specific to one site", "move it to the site's overlay"))
		}
	}
	return ps
}

// merge returns the sections of both files. In a section that is in both, the overlay's
// keys override those of the base.
func merge(base, overlay []*inifile.Section) []*inifile.Section {
	out := append([]*inifile.Section(nil), base...)
	index := map[string]int{}
	for i, s := range out {
		index[s.Header()] = i
	}
	for _, o := range overlay {
		i, ok := index[o.Header()]
		if !ok {
			out = append(out, o)
			continue
		}
		out[i] = overrideKeys(out[i], o)
	}
	return out
}

// overrideKeys returns the base section with the keys of the overlay's section in place of
// its own. The result has the file and line of the overlay's section; its keys keep those of
// their own files.
func overrideKeys(base, overlay *inifile.Section) *inifile.Section {
	merged := &inifile.Section{File: overlay.File, Line: overlay.Line, Kind: base.Kind, Name: base.Name}
	for _, k := range base.Keys {
		if _, ok := overlay.Get(k.Name); !ok {
			merged.Keys = append(merged.Keys, k)
		}
	}
	merged.Keys = append(merged.Keys, overlay.Keys...)
	return merged
}

// sort orders the objects of each kind by name.
func (d *decoder) sort() {
	declaration := &d.decl
	sort.Slice(declaration.Zones, func(i, j int) bool { return declaration.Zones[i].Name < declaration.Zones[j].Name })
	sort.Slice(declaration.Hosts, func(i, j int) bool { return declaration.Hosts[i].Name < declaration.Hosts[j].Name })
	sort.Slice(declaration.Organisations, func(i, j int) bool { return declaration.Organisations[i].Name < declaration.Organisations[j].Name })
	sort.Slice(declaration.Models, func(i, j int) bool { return declaration.Models[i].Name < declaration.Models[j].Name })
	sort.Slice(declaration.Services, func(i, j int) bool { return declaration.Services[i].Name < declaration.Services[j].Name })
	sort.Slice(declaration.Targets, func(i, j int) bool { return declaration.Targets[i].Name < declaration.Targets[j].Name })
}
