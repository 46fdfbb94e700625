package configsm

import (
	"strconv"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

func utoa(n uint64) string { return strconv.FormatUint(n, 10) }

// checkDeclaration rejects declarations with missing or duplicate names or with dangling
// references. Package declare checks more and reports files and lines; this check protects
// the state from clients that do not use that package.
func checkDeclaration(d *structs.Declaration) *errs.Error {
	declared := map[objectID]bool{}
	for _, id := range objectIDsOf(d) {
		if id.name == "" {
			return invalidDeclaration("a %s has no name", id.kind)
		}
		if declared[id] {
			return invalidDeclaration("%s %q is declared twice", id.kind, id.name)
		}
		declared[id] = true
	}
	return checkReferences(d, declared)
}

func invalidDeclaration(format string, args ...any) *errs.Error {
	return errs.New(errs.InvalidDeclaration, "correct the declaration and send it again", format, args...)
}

// objectIDsOf returns the ids of all objects of a declaration except its site.
func objectIDsOf(d *structs.Declaration) []objectID {
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

func checkReferences(d *structs.Declaration, declared map[objectID]bool) *errs.Error {
	for _, h := range d.Hosts {
		if !declared[objectID{structs.KindZone, h.Zone}] {
			return invalidDeclaration("host %q is in zone %q, which is not declared", h.Name, h.Zone)
		}
	}
	for _, v := range d.Services {
		if v.IsModel() && !declared[objectID{structs.KindModel, v.Model}] {
			return invalidDeclaration("service %q uses model %q, which is not declared", v.Name, v.Model)
		}
	}
	for _, t := range d.Targets {
		if err := checkTarget(&t, declared); err != nil {
			return err
		}
	}
	return checkSoftware(d.Targets)
}

// checkSoftware checks that of the targets of a model either all name their software version, or none.
func checkSoftware(targets []structs.Target) *errs.Error {
	first := map[string]*structs.Target{} // by model
	for i := range targets {
		t := &targets[i]
		if first[t.Model] == nil {
			first[t.Model] = t
		}
		if other := first[t.Model]; t.Model != "" && (t.Software == "") != (other.Software == "") {
			return invalidDeclaration("one of the targets %q and %q of model %q names its software version, the other does not", t.Name, other.Name, t.Model)
		}
	}
	return nil
}

func checkTarget(t *structs.Target, declared map[objectID]bool) *errs.Error {
	if !declared[objectID{structs.KindHost, t.Host}] {
		return invalidDeclaration("target %q is on host %q, which is not declared", t.Name, t.Host)
	}
	if (t.Model == "") == (t.Service == "") {
		return invalidDeclaration("target %q needs either a model or a service", t.Name)
	}
	if t.Model != "" && !declared[objectID{structs.KindModel, t.Model}] {
		return invalidDeclaration("target %q serves model %q, which is not declared", t.Name, t.Model)
	}
	if t.Service != "" && !declared[objectID{structs.KindService, t.Service}] {
		return invalidDeclaration("target %q serves service %q, which is not declared", t.Name, t.Service)
	}
	return nil
}
