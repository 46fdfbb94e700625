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
	overlay, more, err := inifile.Load(overlayPath)
	if err != nil {
		return nil, err
	}
	ps = append(ps, more...)
	return build(base, overlay, ps)
}

// Parse is Load for texts in memory; the names are used in problems.
func Parse(baseName string, base []byte, overlayName string, overlay []byte) (*structs.Declaration, error) {
	b, ps, err := inifile.Parse(baseName, base)
	if err != nil {
		return nil, err
	}
	o, more, err := inifile.Parse(overlayName, overlay)
	if err != nil {
		return nil, err
	}
	return build(b, o, append(ps, more...))
}

func build(base, overlay []*inifile.Section, ps inifile.Problems) (*structs.Declaration, error) {
	ps = append(ps, misplaced(base)...)
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

// overlayKinds are the kinds that belong to one site.
var overlayKinds = map[string]bool{"site": true, "zone": true, "host": true, "target": true}

func misplaced(base []*inifile.Section) inifile.Problems {
	var ps inifile.Problems
	for _, s := range base {
		if overlayKinds[s.Kind] {
			ps = append(ps, s.Problem("", "section belongs to one site", "move it to the site's overlay"))
		}
	}
	return ps
}

// merge adds the overlay's sections to the base's; a section in both takes the overlay's
// value of each key that the overlay sets.
func merge(base, overlay []*inifile.Section) []*inifile.Section {
	out := append([]*inifile.Section(nil), base...)
	at := map[string]int{}
	for i, s := range out {
		at[s.Header()] = i
	}
	for _, o := range overlay {
		i, ok := at[o.Header()]
		if !ok {
			out = append(out, o)
			continue
		}
		out[i] = override(out[i], o)
	}
	return out
}

func override(base, o *inifile.Section) *inifile.Section {
	m := &inifile.Section{File: o.File, Line: o.Line, Kind: base.Kind, Name: base.Name}
	for _, k := range base.Keys {
		if _, ok := o.Get(k.Name); !ok {
			m.Keys = append(m.Keys, k)
		}
	}
	m.Keys = append(m.Keys, o.Keys...)
	return m
}

func (d *decoder) sort() {
	c := &d.decl
	sort.Slice(c.Zones, func(i, j int) bool { return c.Zones[i].Name < c.Zones[j].Name })
	sort.Slice(c.Hosts, func(i, j int) bool { return c.Hosts[i].Name < c.Hosts[j].Name })
	sort.Slice(c.Organisations, func(i, j int) bool { return c.Organisations[i].Name < c.Organisations[j].Name })
	sort.Slice(c.Models, func(i, j int) bool { return c.Models[i].Name < c.Models[j].Name })
	sort.Slice(c.Services, func(i, j int) bool { return c.Services[i].Name < c.Services[j].Name })
	sort.Slice(c.Targets, func(i, j int) bool { return c.Targets[i].Name < c.Targets[j].Name })
}
