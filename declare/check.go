package declare

import (
	"fmt"
	"net"
	"strings"

	"github.com/figlb/figlb/inifile"
	"github.com/figlb/figlb/structs"
)

// reservedPrefixes are paths that entries serve themselves.
var reservedPrefixes = []string{"/v1", "/healthz", "/readyz", "/metrics"}

// check looks at the declaration as a whole.
func (d *decoder) check() {
	d.checkSite()
	d.checkHosts()
	d.checkServices()
	d.checkTargets()
}

func (d *decoder) problem(header, key, message, remedy string) {
	d.report(d.places[header].Problem(key, message, remedy))
}

// reference reports a name that is not declared.
func (d *decoder) reference(header, key string, kind structs.Kind, name string) bool {
	if name == "" {
		return false // reported as missing
	}
	if _, ok := d.places[string(kind)+" "+name]; ok {
		return true
	}
	d.problem(header, key, fmt.Sprintf("%s %q is not declared", kind, name), fmt.Sprintf("add [%s %s] or correct the name", kind, name))
	return false
}

func (d *decoder) checkSite() {
	if len(d.sites) == 0 {
		d.report(inifile.Problem{File: "overlay", Section: "site", Message: "section is missing", Remedy: "add [site] with a name"})
		return
	}
	if n := d.decl.Site.Name; n != "" && !validName.MatchString(n) {
		d.problem("site", "name", fmt.Sprintf("name %q is not valid", n), "use lower-case letters, digits, dots and hyphens")
	}
	if len(d.decl.Zones) == 0 {
		d.problem("site", "", "the site has no availability zone", "add a [zone NAME] section")
	}
}

func (d *decoder) checkHosts() {
	for _, h := range d.decl.Hosts {
		d.reference("host "+h.Name, "zone", structs.KindZone, h.Zone)
	}
}

func (d *decoder) checkServices() {
	prefixes := map[string]string{}
	for i := range d.decl.Services {
		s := &d.decl.Services[i]
		header := "service " + s.Name
		switch {
		case s.IsModel() && s.Prefix != "":
			d.problem(header, "prefix", "a service has a model or a prefix, not both", "remove one of the two keys")
		case s.IsModel():
			d.checkModelService(header, s)
		case s.Prefix == "":
			d.problem(header, "", "the service has neither model nor prefix", "add model = NAME or prefix = /PATH")
		default:
			d.checkPlainService(header, s)
			if other, ok := prefixes[s.Prefix]; ok {
				d.problem(header, "prefix", fmt.Sprintf("prefix %s is used by service %s too", s.Prefix, other), "choose another prefix")
			}
			prefixes[s.Prefix] = s.Name
		}
	}
}

func (d *decoder) checkModelService(header string, s *structs.Service) {
	d.reference(header, "model", structs.KindModel, s.Model)
	for _, k := range []string{"repeatable", "open", "status_path"} {
		if _, ok := d.places[header].Get(k); ok {
			d.problem(header, k, "key is for plain services only", "remove it")
		}
	}
	for _, m := range d.decl.Models {
		if m.Name == s.Model && s.MaxOutputTokens > m.ContextTokens {
			d.problem(header, "max_output_tokens", fmt.Sprintf("%d exceeds the model's context of %d tokens", s.MaxOutputTokens, m.ContextTokens), "lower it")
		}
	}
}

func (d *decoder) checkPlainService(header string, s *structs.Service) {
	for _, k := range []string{"class", "max_output_tokens", "deadline"} {
		if _, ok := d.places[header].Get(k); ok {
			d.problem(header, k, "key is for model services only", "remove it")
		}
	}
	if !strings.HasPrefix(s.Prefix, "/") || strings.HasSuffix(s.Prefix, "/") || strings.ContainsAny(s.Prefix, "?#% ") {
		d.problem(header, "prefix", fmt.Sprintf("prefix %q is not valid", s.Prefix), "write a path such as /orders, without a slash at its end")
	}
	for _, r := range reservedPrefixes {
		if s.Prefix == r || strings.HasPrefix(s.Prefix, r+"/") {
			d.problem(header, "prefix", "prefix "+s.Prefix+" is served by figlb itself", "choose a path outside "+r)
		}
	}
	if s.Open && !s.Repeatable {
		d.problem(header, "open", "a route open to all has no organisation to keep call records for", "set repeatable = true or open = false")
	}
	if s.StatusPath != "" && !strings.Contains(s.StatusPath, "{key}") {
		d.problem(header, "status_path", "path does not contain {key}", "write for example /orders/status/{key}")
	}
}

func (d *decoder) checkTargets() {
	addresses := map[string]string{}
	for _, t := range d.decl.Targets {
		header := "target " + t.Name
		d.reference(header, "host", structs.KindHost, t.Host)
		d.checkTargetPool(header, t)
		d.checkTargetAddress(header, t.Address)
		if other, ok := addresses[t.Address]; ok && t.Address != "" {
			d.problem(header, "address", fmt.Sprintf("address %s is used by target %s too", t.Address, other), "give each target its own address")
		}
		addresses[t.Address] = t.Name
		if t.ColdSlots > t.Slots {
			d.problem(header, "cold_slots", fmt.Sprintf("%d exceeds slots (%d)", t.ColdSlots, t.Slots), "lower cold_slots or raise slots")
		}
	}
}

func (d *decoder) checkTargetPool(header string, t structs.Target) {
	switch {
	case t.Model != "" && t.Service != "":
		d.problem(header, "service", "a target serves a model or a service, not both", "remove one of the two keys")
	case t.Model != "":
		d.reference(header, "model", structs.KindModel, t.Model)
	case t.Service != "":
		d.checkTargetService(header, t.Service)
	default:
		d.problem(header, "", "the target serves nothing", "add model = NAME or service = NAME")
	}
}

func (d *decoder) checkTargetService(header, name string) {
	if !d.reference(header, "service", structs.KindService, name) {
		return
	}
	for i := range d.decl.Services {
		if s := &d.decl.Services[i]; s.Name == name && s.IsModel() {
			d.problem(header, "service", fmt.Sprintf("service %q is a model service", name), "write model = "+s.Model)
		}
	}
}

func (d *decoder) checkTargetAddress(header, addr string) {
	if addr == "" {
		return // reported as missing
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil || port == "0" {
		d.problem(header, "address", fmt.Sprintf("%q is not ip:port", addr), "use an IP number and a port, for example 127.0.0.1:9001")
	}
}

// Warnings returns what is allowed but probably not meant. A service without a target is
// allowed, because its hardware may arrive later.
func Warnings(d *structs.Declaration) []string {
	pools := map[string]bool{}
	for _, t := range d.Targets {
		pools[t.Pool()] = true
	}
	var out []string
	for i := range d.Services {
		if s := &d.Services[i]; !pools[s.Pool()] {
			out = append(out, fmt.Sprintf("service %s has no target yet: its callers get no_target", s.Name))
		}
	}
	return out
}
