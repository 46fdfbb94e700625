package site

import "encoding/json"

// Host and key of the clients' requests.
const (
	PublicHost = "shop.example"
	Tenant     = "granite"
	Key        = "3fexd9dnn2ctnfzs989a"
)

// Route is a route of a configuration, in the format of the operator API.
type Route struct {
	Name         string  `json:"name"`
	Host         string  `json:"host"`
	Prefix       string  `json:"path-prefix"`
	Kind         string  `json:"kind"`
	TimeoutMS    int     `json:"timeout-ms"`
	TargetMS     int     `json:"target-latency-ms"`
	Priority     int     `json:"priority"`
	Service      string  `json:"service"`
	MaxAttempts  int     `json:"max-attempts"`
	KeepsHistory bool    `json:"keeps-history"`
	RetentionS   float64 `json:"retention-s"`
	Public       bool    `json:"public"`
	Sticky       bool    `json:"sticky"`
	Resumable    bool    `json:"resumable"`
	GapMS        int     `json:"target-gap-ms,omitempty"`
}

// Config returns a configuration with a service "orders" of plain replicas, a service "lm" of
// model replicas and one tenant.
func Config(version int, routes ...Route) []byte {
	for i := range routes {
		routes[i].Host = PublicHost
	}
	body, err := json.Marshal(map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{
			{"name": "lm", "health-path": "/healthz", "max-connections": 610, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0,
				"engine": map[string]any{"slots": 128, "kv-capacity": 1368310, "kv-bytes": 18432, "link-mbps": 1100000.0, "moves": true,
					"backups": true, "chunk-tokens": 16, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle_s": 5.0,
					"models": []map[string]any{{"name": "m"}}}},
			{"name": "orders", "health-path": "/healthz", "max-connections": 96, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": Tenant, "api-keys": []string{Key}, "priority": 1, "rate-per-s": 400, "burst": 400}},
	})
	if err != nil {
		panic(err) // the maps hold only values that can be encoded
	}
	return body
}
