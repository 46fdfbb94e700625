package routing

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind determines whether the requests of a route may be repeated.
type Kind int

// Kinds of routes.
const (
	Idempotent Kind = iota + 1
	NonIdempotent
	Streaming
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	case Streaming:
		return "streaming"
	}
	return "unknown"
}

// WeightedService is a service with its weight on a route. It gets the route's requests in
// proportion to the weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Kind     Kind
	Services []WeightedService
	// Timeout bounds the time until the response to a request is complete.
	Timeout time.Duration
	// LatencyTarget is the desired time to the complete response, on streams to the first event.
	LatencyTarget time.Duration
	Priority      int // 0 is the highest
	// MaxAttempts is the number of targets that may run one request.
	MaxAttempts  int
	KeepsHistory bool // the ledger keeps input and output of turns, so that they can be continued
	// Retention is how long the ledger keeps a turn, so that it can be continued.
	Retention time.Duration
	Public    bool // requests need no key
	Sticky    bool // requests with the same affinity key prefer the same target; streams always do
	Resumable bool // a stream may be resumed on another target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Service is a set of interchangeable targets.
type Service struct {
	Name                  string
	HealthPath            string
	MaxConnections        int     // connections that one target accepts from all gateways together
	ColdRequestsPerSecond float64 // requests per second that a cold target tolerates; 0: no limit
	Generative            bool    // targets are model engines
	TokensPerEvent        int     // tokens per event of a stream
}

// Organisation is an organisation with its API keys and its rate limit.
type Organisation struct {
	Name     string
	Keys     []string
	Priority *int    // takes precedence over the route's
	Rate     float64 // requests per second over all hosts; 0: no limit
	Burst    float64 // capacity of the token bucket of Rate, at least 1
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the complete configuration.
type Table struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits

	byHost   map[string][]*Route // longest prefix first
	services map[string]*Service
	byKey    map[string]*Organisation
	byName   map[string]*Organisation
}

// Build validates the table and builds its indexes. It must be called before any look-up.
func (t *Table) Build() error {
	if err := t.validate(); err != nil {
		return err
	}
	t.services = map[string]*Service{}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	t.byHost = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, rs := range t.byHost {
		sort.Slice(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	t.byKey, t.byName = map[string]*Organisation{}, map[string]*Organisation{}
	for i := range t.Organisations {
		o := &t.Organisations[i]
		t.byName[o.Name] = o
		for _, k := range o.Keys {
			t.byKey[k] = o
		}
	}
	return nil
}

// Match returns the route of the host with the longest matching path prefix, nil if there is
// none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostName returns the lower-case host name of a Host header without the port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Service returns a service by its name, nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Organisation returns an organisation by its name, nil if there is none.
func (t *Table) Organisation(name string) *Organisation { return t.byName[name] }

// KeyOwner returns the organisation that owns a key, nil if there is none.
func (t *Table) KeyOwner(key string) *Organisation { return t.byKey[key] }

// Uses reports whether the route may send requests to a service.
func (r *Route) Uses(service string) bool {
	for _, w := range r.Services {
		if w.Service == service && w.Weight > 0 {
			return true
		}
	}
	return false
}

// PickService chooses a service of the route by weight. Requests with the same key get the same
// service, so that a program stays with one service as long as the weights don't change.
func (r *Route) PickService(key string) string {
	total := 0.0
	for _, w := range r.Services {
		total += w.Weight
	}
	const buckets = 1 << 20
	point := float64(xxhash.Sum64String(key)%buckets) / buckets * total
	for _, w := range r.Services {
		point -= w.Weight
		if point < 0 {
			return w.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}
