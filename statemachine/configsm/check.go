package configsm

import (
	"strconv"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

func utoa(n uint64) string { return strconv.FormatUint(n, 10) }

// check refuses declarations that would leave dangling references. Package declare
// checks more, and names files and lines; this is the last defence against a client
// that does not use it.
func check(d *structs.Declaration) *errs.Error {
	names := map[objectID]bool{}
	for _, id := range idsOf(d) {
		if id.name == "" {
			return invalid("a %s has no name", id.kind)
		}
		if names[id] {
			return invalid("%s %q is declared twice", id.kind, id.name)
		}
		names[id] = true
	}
	return checkReferences(d, names)
}

func invalid(format string, args ...any) *errs.Error {
	return errs.New(errs.InvalidDeclaration, "correct the declaration and send it again", format, args...)
}

func idsOf(d *structs.Declaration) []objectID {
	var out []objectID
	for _, v := range d.Zones {
		out = append(out, objectID{structs.KindZone, v.Name})
	}
	for _, v := range d.Hosts {
		out = append(out, objectID{structs.KindHost, v.Name})
	}
	for _, v := range d.Organisations {
		out = append(out, objectID{structs.KindOrganisation, v.Name})
	}
	for _, v := range d.Models {
		out = append(out, objectID{structs.KindModel, v.Name})
	}
	for _, v := range d.Services {
		out = append(out, objectID{structs.KindService, v.Name})
	}
	for _, v := range d.Targets {
		out = append(out, objectID{structs.KindTarget, v.Name})
	}
	return out
}

func checkReferences(d *structs.Declaration, names map[objectID]bool) *errs.Error {
	for _, h := range d.Hosts {
		if !names[objectID{structs.KindZone, h.Zone}] {
			return invalid("host %q is in zone %q, which is not declared", h.Name, h.Zone)
		}
	}
	for _, v := range d.Services {
		if v.IsModel() && !names[objectID{structs.KindModel, v.Model}] {
			return invalid("service %q uses model %q, which is not declared", v.Name, v.Model)
		}
	}
	for _, t := range d.Targets {
		if err := checkTarget(&t, names); err != nil {
			return err
		}
	}
	return nil
}

func checkTarget(t *structs.Target, names map[objectID]bool) *errs.Error {
	if !names[objectID{structs.KindHost, t.Host}] {
		return invalid("target %q is on host %q, which is not declared", t.Name, t.Host)
	}
	if (t.Model == "") == (t.Service == "") {
		return invalid("target %q needs either a model or a service", t.Name)
	}
	if t.Model != "" && !names[objectID{structs.KindModel, t.Model}] {
		return invalid("target %q serves model %q, which is not declared", t.Name, t.Model)
	}
	if t.Service != "" && !names[objectID{structs.KindService, t.Service}] {
		return invalid("target %q serves service %q, which is not declared", t.Name, t.Service)
	}
	return nil
}
