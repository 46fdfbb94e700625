package engine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/figlb/figlb/internal/indexheap"
	"github.com/figlb/figlb/standin/server"
)

// Stats are the counters of an engine. They survive a crash.
type Stats struct {
	Requests        int   `json:"requests"` // chat completions
	PromptTokens    int64 `json:"prompt_tokens"`
	CachedTokens    int64 `json:"cached_tokens"`
	GeneratedTokens int64 `json:"generated_tokens"`
	// RecomputedTokens counts the prompt tokens that an engine had already processed or
	// generated for an earlier request, but that were not in the cache.
	RecomputedTokens int64 `json:"recomputed_tokens"`
	Cancelled        int   `json:"cancelled"`
	Continued        int   `json:"continued"`
	MaxConcurrent    int   `json:"max_concurrent"`
	// ColdOverloads counts requests that arrived at a cold engine above its limit.
	ColdOverloads int `json:"cold_overloads"`
	Crashes       int `json:"crashes"`
	// StaleOrders counts orders with an old fencing number that were executed.
	StaleOrders int      `json:"stale_orders"`
	Orders      []Order  `json:"orders"`
	Sessions    []string `json:"sessions"` // that hold KV cache
	server.Traffic
}

// Engine is a simulated model engine that listens on one address.
type Engine struct {
	*server.Server
	cfg    Config
	events *eventLog
	wake   chan struct{}
	stop   chan struct{}
	done   sync.WaitGroup

	mu        sync.Mutex
	nextJob   uint64
	queue     jobQueue
	running   []*job
	cache     *kvCache
	stats     Stats
	samples   []Load // oldest first; the first one is reported
	coldUntil time.Time
	coldSlots int
	fencing   uint64
}

// Start starts an engine that listens on addr, ip:port.
func Start(addr string, cfg Config) (*Engine, error) {
	e := &Engine{
		Server: server.New(chatPath),
		cfg:    cfg,
		events: newEventLog(cfg.EventLag, cfg.EventLoss),
		wake:   make(chan struct{}, 1),
		stop:   make(chan struct{}),
	}
	e.Downtime = cfg.CrashDowntime
	e.OnCrash = e.handleCrash
	e.OnRestart = e.reset
	e.routes()
	e.reset()
	if err := e.Listen(addr); err != nil {
		return nil, err
	}
	e.done.Go(e.run)
	e.done.Go(e.sampleLoad)
	return e, nil
}

func (e *Engine) routes() {
	e.Handle("POST "+chatPath, e.handleChat)
	e.Handle("GET /load", e.getLoad)
	e.Handle("GET /v1/cache/events", e.getEvents)
	e.Handle("DELETE /v1/sessions/{id}", e.deleteSession)
	e.Handle("POST /v1/kv/export", e.exportKV)
	e.Handle("POST /v1/kv/import", e.importKV)
	e.Handle("POST /v1/orders", e.handleOrder)
	e.Handle("POST /admin/cold", e.adminCold)
	server.HandleStats(e.Server, e.Stats)
}

// Close stops the engine.
func (e *Engine) Close() {
	e.Server.Close()
	close(e.stop)
	e.done.Wait()
}

// reset puts the engine into its state after a start: no jobs, an empty cache, and cold for
// Config.ColdFor.
func (e *Engine) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clearJobs()
	e.cache = newCache(e.cfg.CacheTokens, e.events.add)
	e.events.restart()
	e.coldSlots = e.cfg.ColdSlots
	e.coldUntil = time.Now().Add(e.cfg.ColdFor)
	e.samples = []Load{e.currentLoad()}
}

func (e *Engine) handleCrash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	e.clearJobs()
}

// clearJobs discards all waiting and running jobs. e.mu must be held.
func (e *Engine) clearJobs() {
	for _, j := range e.queue {
		j.index = indexheap.NotInHeap
	}
	e.queue, e.running = nil, nil
}

// MakeCold makes the engine cold for d, with a limit of slots requests.
func (e *Engine) MakeCold(d time.Duration, slots int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = time.Now().Add(d)
	e.coldSlots = slots
}

func (e *Engine) isCold() bool { return time.Now().Before(e.coldUntil) }

// Stats returns a copy of the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Orders = slices.Clone(e.stats.Orders)
	s.Sessions = slices.Sorted(maps.Keys(e.cache.entries))
	s.Traffic = e.Traffic()
	return s
}
