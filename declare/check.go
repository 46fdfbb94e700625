package declare

import (
	"fmt"
	"net"
	"strings"

	"github.com/figlb/figlb/inifile"
	"github.com/figlb/figlb/structs"
)

// reservedPrefixes are the path prefixes that entry processes serve themselves; no plain
// service may use them.
var reservedPrefixes = []string{"/v1", "/healthz", "/readyz", "/metrics"}

// check validates the decoded declaration as a whole: references between objects,
// uniqueness, and combinations of keys.
func (d *decoder) check() {
	d.checkSite()
	d.checkHosts()
	d.checkServices()
	d.checkTargets()
}

// reportAt reports a problem at a key of the section with the given header; an empty key
// stands for the section itself.
func (d *decoder) reportAt(header, key, message, remedy string) {
	d.report(d.sections[header].Problem(key, message, remedy))
}

// checkReference reports whether an object of this kind and name is declared, and records
// a problem if it is not. An empty name returns false without a problem, because decoding
// has already reported the missing key.
func (d *decoder) checkReference(header, key string, kind structs.Kind, name string) bool {
	if name == "" {
		return false // reported as missing
	}
	if _, ok := d.sections[string(kind)+" "+name]; ok {
		return true
	}
	d.reportAt(header, key, fmt.Sprintf("%s %q is not declared", kind, name), fmt.Sprintf("add [%s %s] or correct the name", kind, name))
	return false
}

func (d *decoder) checkSite() {
	if len(d.sites) == 0 {
		d.report(inifile.Problem{File: "overlay", Section: "site", Message: "section is missing", Remedy: "add [site] with a name"})
		return
	}
	site := d.sites[0]
	if site.Name != "" {
		d.report(site.Problem("", "section has a name", "write [site] and a key name"))
	}
	if n := d.decl.Site.Name; n != "" && !validName.MatchString(n) {
		d.report(site.Problem("name", fmt.Sprintf("name %q is not valid", n), "use lower-case letters, digits, dots and hyphens"))
	}
	if len(d.decl.Zones) == 0 {
		d.report(site.Problem("", "the site has no availability zone", "add a [zone NAME] section"))
	}
}

func (d *decoder) checkHosts() {
	for _, h := range d.decl.Hosts {
		d.checkReference("host "+h.Name, "zone", structs.KindZone, h.Zone)
	}
}

func (d *decoder) checkServices() {
	prefixes := map[string]string{}
	for i := range d.decl.Services {
		s := &d.decl.Services[i]
		header := "service " + s.Name
		switch {
		case s.IsModel() && s.Prefix != "":
			d.reportAt(header, "prefix", "a service has a model or a prefix, not both", "remove one of the two keys")
		case s.IsModel():
			d.checkModelService(header, s)
		case s.Prefix == "":
			d.reportAt(header, "", "the service has neither model nor prefix", "add model = NAME or prefix = /PATH")
		default:
			d.checkPlainService(header, s)
			if other, ok := prefixes[s.Prefix]; ok {
				d.reportAt(header, "prefix", fmt.Sprintf("prefix %s is used by service %s too", s.Prefix, other), "choose another prefix")
			}
			prefixes[s.Prefix] = s.Name
		}
	}
}

func (d *decoder) checkModelService(header string, s *structs.Service) {
	d.checkReference(header, "model", structs.KindModel, s.Model)
	for _, k := range []string{"repeatable", "open", "status_path"} {
		if _, ok := d.sections[header].Get(k); ok {
			d.reportAt(header, k, "key is for plain services only", "remove it")
		}
	}
	for _, m := range d.decl.Models {
		if m.Name == s.Model && s.MaxOutputTokens > m.ContextTokens {
			d.reportAt(header, "max_output_tokens", fmt.Sprintf("%d exceeds the model's context of %d tokens", s.MaxOutputTokens, m.ContextTokens), "lower it")
		}
	}
}

func (d *decoder) checkPlainService(header string, s *structs.Service) {
	for _, k := range []string{"class", "max_output_tokens", "deadline"} {
		if _, ok := d.sections[header].Get(k); ok {
			d.reportAt(header, k, "key is for model services only", "remove it")
		}
	}
	if !strings.HasPrefix(s.Prefix, "/") || strings.HasSuffix(s.Prefix, "/") || strings.ContainsAny(s.Prefix, "?#% ") {
		d.reportAt(header, "prefix", fmt.Sprintf("prefix %q is not valid", s.Prefix), "write a path such as /orders, without a trailing slash")
	}
	for _, r := range reservedPrefixes {
		if s.Prefix == r || strings.HasPrefix(s.Prefix, r+"/") {
			d.reportAt(header, "prefix", "prefix "+s.Prefix+" is served by figlb itself", "choose a path outside "+r)
		}
	}
	if s.Open && !s.Repeatable {
		d.reportAt(header, "open", "a route that is open to all has no organisation under which call records could be kept", "set repeatable = true or open = false")
	}
	if s.StatusPath != "" && !strings.Contains(s.StatusPath, "{key}") {
		d.reportAt(header, "status_path", "path does not contain {key}", "write for example /orders/status/{key}")
	}
}

func (d *decoder) checkTargets() {
	addresses := map[string]string{}
	d.checkSoftware()
	for _, t := range d.decl.Targets {
		header := "target " + t.Name
		d.checkReference(header, "host", structs.KindHost, t.Host)
		d.checkTargetPool(header, t)
		d.checkTargetAddress(header, t.Address)
		if other, ok := addresses[t.Address]; ok && t.Address != "" {
			d.reportAt(header, "address", fmt.Sprintf("address %s is used by target %s too", t.Address, other), "give each target its own address")
		}
		addresses[t.Address] = t.Name
		if t.ColdSlots > t.Slots {
			d.reportAt(header, "cold_slots", fmt.Sprintf("%d exceeds slots (%d)", t.ColdSlots, t.Slots), "lower cold_slots or raise slots")
		}
	}
}

// checkSoftware reports targets that name no software version while others of their model do.
func (d *decoder) checkSoftware() {
	named := map[string]string{} // target with a software version, by model
	for _, t := range d.decl.Targets {
		if t.Software != "" {
			named[t.Model] = t.Name
		}
	}
	for _, t := range d.decl.Targets {
		switch other := named[t.Model]; {
		case t.Model == "" && t.Software != "":
			d.reportAt("target "+t.Name, "software", "only targets of a model have a software version", "remove the key")
		case t.Model != "" && t.Software == "" && other != "":
			d.reportAt("target "+t.Name, "software", fmt.Sprintf("key is missing, but target %s of the same model has it", other),
				"add it to all targets of the model, or to none")
		}
	}
}

func (d *decoder) checkTargetPool(header string, t structs.Target) {
	switch {
	case t.Model != "" && t.Service != "":
		d.reportAt(header, "service", "a target serves a model or a service, not both", "remove one of the two keys")
	case t.Model != "":
		d.checkReference(header, "model", structs.KindModel, t.Model)
	case t.Service != "":
		d.checkTargetService(header, t.Service)
	default:
		d.reportAt(header, "", "the target has neither model nor service", "add model = NAME or service = NAME")
	}
}

func (d *decoder) checkTargetService(header, name string) {
	if !d.checkReference(header, "service", structs.KindService, name) {
		return
	}
	for i := range d.decl.Services {
		if s := &d.decl.Services[i]; s.Name == name && s.IsModel() {
			d.reportAt(header, "service", fmt.Sprintf("service %q is a model service", name), "write model = "+s.Model)
		}
	}
}

func (d *decoder) checkTargetAddress(header, addr string) {
	if addr == "" {
		return // reported as missing
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil || port == "0" {
		d.reportAt(header, "address", fmt.Sprintf("%q is not ip:port", addr), "use an IP address and a port, for example 127.0.0.1:9001")
	}
}

// Warnings returns a message for each part of a valid declaration that is probably a
// mistake. A service without a target is valid, because its hardware may arrive later.
func Warnings(d *structs.Declaration) []string {
	pools := map[string]bool{}
	for _, t := range d.Targets {
		pools[t.Pool()] = true
	}
	var out []string
	for i := range d.Services {
		if s := &d.Services[i]; !pools[s.Pool()] {
			out = append(out, fmt.Sprintf("service %s has no target yet: its callers receive the error no_target", s.Name))
		}
	}
	return out
}
