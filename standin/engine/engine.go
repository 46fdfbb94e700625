package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/figlb/figlb/standin/server"
)

// Stats are the counters of an engine. They survive a crash.
type Stats struct {
	Requests        int   `json:"requests"` // chat completions
	PromptTokens    int64 `json:"prompt_tokens"`
	CachedTokens    int64 `json:"cached_tokens"`
	GeneratedTokens int64 `json:"generated_tokens"`
	// RecomputedTokens counts history tokens, which an engine had processed or generated
	// before, that were not in the cache.
	RecomputedTokens int64 `json:"recomputed_tokens"`
	Cancelled        int   `json:"cancelled"`
	Continued        int   `json:"continued"`
	MaxConcurrent    int   `json:"max_concurrent"`
	// ColdOverloads counts requests that arrived at a cold engine above its limit.
	ColdOverloads int `json:"cold_overloads"`
	Crashes       int `json:"crashes"`
	// StaleOrders counts orders with an old fencing number that were carried out.
	StaleOrders int      `json:"stale_orders"`
	Orders      []Order  `json:"orders"`
	Sessions    []string `json:"sessions"` // that hold KV cache
	KVUsed      int      `json:"kv_used"`
	server.Traffic
}

// Engine is a model engine that listens on one address.
type Engine struct {
	cfg    Config
	srv    *server.Server
	rec    *server.Recorder
	faults *server.Faults
	events *eventLog
	wake   chan struct{}
	stop   chan struct{}
	done   chan struct{}
	load   loadHistory

	mu        sync.Mutex
	nextJob   uint64
	queue     waiting
	running   []*job
	cache     *kvCache
	stats     Stats
	coldUntil time.Time
	coldSlots int
	down      bool
	fencing   uint64
}

// Start starts an engine that listens on addr, ip:port.
func Start(addr string, cfg Config) (*Engine, error) {
	e := &Engine{
		cfg:    cfg,
		rec:    server.NewRecorder(),
		faults: server.NewFaults(chatPath),
		events: newEventLog(cfg.EventLag, cfg.EventLoss),
		wake:   make(chan struct{}, 1),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	e.reset()
	srv, err := server.Start(addr, e.rec.Wrap(e.routes()))
	if err != nil {
		return nil, err
	}
	e.srv = srv
	go e.run()
	go e.sampleLoad()
	return e, nil
}

// Addr returns the engine's address, ip:port.
func (e *Engine) Addr() string { return e.srv.Addr() }

// URL returns the engine's base URL.
func (e *Engine) URL() string { return e.srv.URL() }

// Faults returns the injected faults.
func (e *Engine) Faults() *server.Faults { return e.faults }

// Close stops the engine.
func (e *Engine) Close() {
	e.srv.Close()
	close(e.stop)
	<-e.done
}

// reset puts the engine into the state after a start: empty, and cold for a while.
func (e *Engine) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetJobs()
	e.cache = newCache(e.cfg.CacheTokens, e.events.add)
	e.events.restart()
	e.coldSlots = e.cfg.ColdSlots
	e.coldUntil = time.Now().Add(e.cfg.ColdFor)
	e.down = false
}

// Crash drops all connections, forgets all state and comes back after the downtime.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	e.stats.Crashes++
	e.forgetJobs()
	e.mu.Unlock()
	e.srv.Crash(e.cfg.CrashDowntime, e.reset)
}

func (e *Engine) forgetJobs() {
	for _, j := range e.queue {
		j.index = -1
	}
	e.queue, e.running = nil, nil
}

// MakeCold makes the engine cold for a time, with a limit of slots requests.
func (e *Engine) MakeCold(d time.Duration, slots int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = time.Now().Add(d)
	e.coldSlots = slots
}

func (e *Engine) isCold() bool { return time.Now().Before(e.coldUntil) }

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Orders = append([]Order{}, e.stats.Orders...)
	s.Sessions = []string{}
	for id := range e.cache.entries {
		s.Sessions = append(s.Sessions, id)
	}
	s.KVUsed = e.cache.used
	s.Traffic = e.rec.Traffic()
	return s
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+chatPath, e.chat)
	mux.HandleFunc("GET /load", e.getLoad)
	mux.HandleFunc("GET /v1/cache/events", e.getEvents)
	mux.HandleFunc("DELETE /v1/sessions/{id}", e.deleteSession)
	mux.HandleFunc("POST /v1/kv/export", e.exportKV)
	mux.HandleFunc("POST /v1/kv/import", e.importKV)
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("POST /admin/cold", e.adminCold)
	mux.HandleFunc("POST /admin/crash", e.adminCrash)
	mux.HandleFunc("POST /admin/faults", e.faults.Handle)
	mux.HandleFunc("POST /admin/watch", e.rec.HandleWatch)
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, e.Stats())
	})
	return mux
}
