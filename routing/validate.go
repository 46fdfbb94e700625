package routing

import (
	"strings"

	"github.com/figlb/figlb/errs"
)

// invalid returns an error for an invalid configuration.
func invalid(remedy, format string, args ...any) error {
	return errs.New(errs.InvalidDeclaration, remedy, format, args...)
}

// validate checks the table and converts the hosts of its routes to lower case.
func (t *Table) validate() error {
	if t.Version == 0 {
		return invalid("number versions from 1", "the configuration has no version")
	}
	serviceNames := map[string]bool{}
	for _, s := range t.Services {
		if s.Name == "" || serviceNames[s.Name] {
			return invalid("give each service a unique name", "service name %q is empty or not unique", s.Name)
		}
		serviceNames[s.Name] = true
	}
	hostPrefixes := map[string]bool{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.validate(serviceNames); err != nil {
			return err
		}
		r.Host = strings.ToLower(r.Host)
		hostPrefix := r.Host + r.Prefix
		if hostPrefixes[hostPrefix] {
			return invalid("remove one of the routes", "route %q: another route has host %q and prefix %q", r.Name, r.Host, r.Prefix)
		}
		hostPrefixes[hostPrefix] = true
	}
	return t.validateKeys()
}

func (r *Route) validate(serviceNames map[string]bool) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("give a host and a prefix that begins and ends with a slash", "route %q: host %q, prefix %q", r.Name, r.Host, r.Prefix)
	}
	if r.Kind < Idempotent || r.Kind > Streaming {
		return invalid("use one of the supported kinds", "route %q has an unknown kind", r.Name)
	}
	if r.Timeout <= 0 {
		return invalid("set a timeout above 0", "route %q has no timeout", r.Name)
	}
	total := 0.0
	for _, w := range r.Services {
		if !serviceNames[w.Service] {
			return invalid("declare the service or use another", "route %q names the unknown service %q", r.Name, w.Service)
		}
		if w.Weight < 0 {
			return invalid("use weights of at least 0", "route %q has a negative weight", r.Name)
		}
		total += w.Weight
	}
	if total <= 0 {
		return invalid("give a service of the route a weight above 0", "the weights of route %q add up to 0", r.Name)
	}
	return nil
}

// validateKeys checks that organisation names are unique and that no two organisations share a key.
func (t *Table) validateKeys() error {
	owner, names := map[string]string{}, map[string]bool{}
	for _, o := range t.Organisations {
		if o.Name == "" || names[o.Name] {
			return invalid("give each organisation a unique name", "organisation name %q is empty or not unique", o.Name)
		}
		names[o.Name] = true
		for _, k := range o.Keys {
			if other, taken := owner[k]; taken && other != o.Name {
				return invalid("use each key for one organisation only", "organisations %q and %q share a key", other, o.Name)
			}
			owner[k] = o.Name
		}
	}
	return nil
}
