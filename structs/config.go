package structs

import "time"

// Kind names a kind of configuration object.
type Kind string

// Kinds of configuration objects. KindKey, KindDrain and KindFingerprint are changed by
// operator commands; the others come from declarations.
const (
	KindSite         Kind = "site"
	KindZone         Kind = "zone"
	KindHost         Kind = "host"
	KindOrganisation Kind = "organisation"
	KindModel        Kind = "model"
	KindService      Kind = "service"
	KindTarget       Kind = "target"
	KindKey          Kind = "key"
	KindDrain        Kind = "drain"
	KindFingerprint  Kind = "fingerprint"
)

// Site is the deployment that a declaration describes.
type Site struct {
	Name string `msgpack:"n" json:"name"`
}

// Zone is an availability zone.
type Zone struct {
	Name string `msgpack:"n" json:"name"`
}

// Host runs targets in one availability zone.
type Host struct {
	Name string `msgpack:"n" json:"name"`
	Zone string `msgpack:"z" json:"zone"`
}

// Organisation is a customer and the limits that apply to it across all entries.
type Organisation struct {
	Name string `msgpack:"n" json:"name"`
	// Rate is in requests per second, Burst in requests.
	Rate  float64 `msgpack:"r" json:"rate"`
	Burst int     `msgpack:"b" json:"burst"`
	// Weight is the organisation's fair-share weight relative to the other organisations.
	Weight int `msgpack:"w" json:"weight"`
	// BudgetTokens and MaxTurns are both the defaults and the upper limits for the
	// organisation's programs.
	BudgetTokens int64 `msgpack:"t" json:"budget_tokens"`
	MaxTurns     int   `msgpack:"m" json:"max_turns"`
}

// Model is a model that engines load and serve.
type Model struct {
	Name          string `msgpack:"n" json:"name"`
	ContextTokens int    `msgpack:"c" json:"context_tokens"`
}

// Class is the latency class of a model service.
type Class string

// Latency classes.
const (
	ClassInteractive Class = "interactive"
	ClassBatch       Class = "batch"
	ClassLookup      Class = "lookup"
)

// Service is what callers ask for: a model service by its name, or a plain service
// by its path prefix.
type Service struct {
	Name string `msgpack:"n" json:"name"`
	// Model is set for model services.
	Model string `msgpack:"m,omitempty" json:"model,omitempty"`
	// Class and MaxOutputTokens apply to model services.
	Class           Class `msgpack:"c,omitempty" json:"class,omitempty"`
	MaxOutputTokens int   `msgpack:"o,omitempty" json:"max_output_tokens,omitempty"`
	// Deadline is the time within which a program of this service should end; 0 means none.
	Deadline time.Duration `msgpack:"d,omitempty" json:"deadline,omitempty"`
	// Prefix is set for plain services, for example "/orders".
	Prefix string `msgpack:"p,omitempty" json:"prefix,omitempty"`
	// Repeatable reports whether a call may be retried when its outcome is unknown.
	Repeatable bool `msgpack:"r,omitempty" json:"repeatable,omitempty"`
	// Open reports whether the service accepts calls without a key.
	Open bool `msgpack:"a,omitempty" json:"open,omitempty"`
	// Timeout bounds one call to a target.
	Timeout time.Duration `msgpack:"t,omitempty" json:"timeout,omitempty"`
	// StatusPath, if set, is a path on the target that returns the outcome of a call;
	// "{key}" is replaced by the call's idempotency key.
	StatusPath string `msgpack:"s,omitempty" json:"status_path,omitempty"`
}

// IsModel reports whether the service is served by model engines.
func (s *Service) IsModel() bool { return s.Model != "" }

// Pool returns the scheduling pool that serves s.
func (s *Service) Pool() string {
	if s.IsModel() {
		return ModelPool(s.Model)
	}
	return ServicePool(s.Name)
}

// ModelPool returns the name of the pool of targets that serve a model.
func ModelPool(model string) string { return "model/" + model }

// ServicePool returns the name of the pool of targets that serve a plain service.
func ServicePool(service string) string { return "service/" + service }

// Target is a replica of a model engine or of a plain service.
type Target struct {
	Name    string `msgpack:"n" json:"name"`
	Host    string `msgpack:"h" json:"host"`
	Address string `msgpack:"a" json:"address"` // ip:port
	// Exactly one of Model and Service is set.
	Model   string `msgpack:"m,omitempty" json:"model,omitempty"`
	Service string `msgpack:"s,omitempty" json:"service,omitempty"`
	// Software is the version of the software that the target runs. An answer that breaks off is
	// continued only at targets with the same one. Either all targets of a model name it, or none.
	Software string `msgpack:"w,omitempty" json:"software,omitempty"`
	// Slots is the number of concurrent requests when the target is warm, ColdSlots the
	// number during its cold start.
	Slots     int `msgpack:"l" json:"slots"`
	ColdSlots int `msgpack:"c" json:"cold_slots"`
	// ChecksFencing reports whether the target rejects orders with an outdated fencing number.
	ChecksFencing bool `msgpack:"f,omitempty" json:"checks_fencing,omitempty"`
}

// Pool returns the scheduling pool that t belongs to.
func (t *Target) Pool() string {
	if t.Model != "" {
		return ModelPool(t.Model)
	}
	return ServicePool(t.Service)
}

// Key is the record of a caller's key. Only the hash of the key is stored.
type Key struct {
	ID           string `msgpack:"i" json:"id"`
	Hash         string `msgpack:"h" json:"-"` // SHA-256 of the key, hexadecimal
	Organisation string `msgpack:"o" json:"organisation"`
	Revoked      bool   `msgpack:"r,omitempty" json:"revoked"`
}

// Drain takes a zone, host or target out of service. It is named "zone/NAME",
// "host/NAME" or "target/NAME".
type Drain struct {
	Scope Kind   `msgpack:"s" json:"scope"`
	Name  string `msgpack:"n" json:"name"`
}

// DrainName returns the object name of the drain of a zone, host or target.
func DrainName(scope Kind, name string) string { return string(scope) + "/" + name }

// Fingerprint quarantines the requests with a given digest because they crash targets.
type Fingerprint struct {
	Digest string `msgpack:"d" json:"digest"`
	// ExpiresAt is wall-clock time, Unix seconds.
	ExpiresAt int64 `msgpack:"e" json:"expires_at"`
}

// Declaration is a validated base file merged with one site's overlay.
type Declaration struct {
	Site          Site           `msgpack:"s" json:"site"`
	Zones         []Zone         `msgpack:"z" json:"zones"`
	Hosts         []Host         `msgpack:"h" json:"hosts"`
	Organisations []Organisation `msgpack:"o" json:"organisations"`
	Models        []Model        `msgpack:"m" json:"models"`
	Services      []Service      `msgpack:"v" json:"services"`
	Targets       []Target       `msgpack:"t" json:"targets"`
}

// Object is a configuration object in the form sent to entries and schedulers.
type Object struct {
	Kind    Kind   `msgpack:"k" json:"kind"`
	Name    string `msgpack:"n" json:"name"`
	ModRev  uint64 `msgpack:"r" json:"revision"` // revision of the last change
	Deleted bool   `msgpack:"x,omitempty" json:"deleted,omitempty"`
	Data    []byte `msgpack:"d,omitempty" json:"-"` // msgpack of the typed object
}

// RevisionInfo describes one accepted change.
type RevisionInfo struct {
	Revision uint64 `msgpack:"r" json:"revision"`
	Op       string `msgpack:"o" json:"op"`
	Author   string `msgpack:"a" json:"author"`
	Note     string `msgpack:"n" json:"note"`
	// AcceptedAt is the wall-clock time at the leader in Unix seconds. It is only displayed;
	// no decision depends on it.
	AcceptedAt int64 `msgpack:"t" json:"accepted_at"`
	// HasDeclaration reports whether the revision's declaration is stored, so that a rollback
	// to it is possible.
	HasDeclaration bool `msgpack:"d" json:"has_declaration"`
}
