package engine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/figlb/figlb/standin/server"
)

// Load is what GET /load reports.
type Load struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	KVUsed  int   `json:"kv_used"`  // tokens
	KVTotal int   `json:"kv_total"` // tokens
	Cold    bool  `json:"cold"`
	AtMS    int64 `json:"at_ms"` // when it was measured, Unix milliseconds
}

// loadHistory keeps samples until they are old enough to be reported.
type loadHistory struct {
	mu      sync.Mutex
	samples []Load
}

// sampleInterval is the time between two samples of the load.
const sampleInterval = 20 * time.Millisecond

// report adds a sample and returns the newest one that is at least lag old; the oldest
// one if there is none.
func (h *loadHistory) report(now Load, lag time.Duration) Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples = append(h.samples, now)
	for len(h.samples) > 1 && h.samples[1].AtMS <= now.AtMS-lag.Milliseconds() {
		h.samples = h.samples[1:]
	}
	return h.samples[0]
}

func (e *Engine) sample() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	used := e.cache.used
	for _, j := range e.running {
		used += j.prompt - j.cached + j.sent
	}
	return Load{
		Running: len(e.running),
		Waiting: len(e.queue),
		KVUsed:  used,
		KVTotal: e.cfg.CacheTokens,
		Cold:    e.isCold(),
		AtMS:    time.Now().UnixMilli(),
	}
}

// sampleLoad samples the load until the engine is closed.
func (e *Engine) sampleLoad() {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.load.report(e.sample(), e.cfg.LoadLag)
		case <-e.stop:
			return
		}
	}
}

func (e *Engine) getLoad(w http.ResponseWriter, r *http.Request) {
	if e.faults.Take(r.URL.Path, "").Before(w, r) {
		return
	}
	server.WriteJSON(w, http.StatusOK, e.load.report(e.sample(), e.cfg.LoadLag))
}

func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	if e.faults.Take(r.URL.Path, "").Before(w, r) {
		return
	}
	n, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		server.WriteError(w, http.StatusBadRequest, "after is not a number")
		return
	}
	events, next := e.events.after(n)
	server.WriteJSON(w, http.StatusOK, map[string]any{"events": events, "next": next})
}

func (e *Engine) deleteSession(w http.ResponseWriter, r *http.Request) {
	if e.faults.Take(r.URL.Path, "").Before(w, r) {
		return
	}
	e.mu.Lock()
	held := e.cache.free(r.PathValue("id"))
	e.mu.Unlock()
	if !held {
		server.WriteError(w, http.StatusNotFound, "nothing is held for the session")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

type kvBlob struct {
	SessionID string      `json:"session_id"`
	Chain     []chainLink `json:"chain"`
}

// exportKV copies a session's KV cache out; the session stays held.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var req kvBlob
	if !server.ReadJSON(w, r, &req) {
		return
	}
	e.mu.Lock()
	links, ok := e.cache.get(req.SessionID)
	e.mu.Unlock()
	if !ok {
		server.WriteError(w, http.StatusNotFound, "nothing is held for the session")
		return
	}
	server.WriteJSON(w, http.StatusOK, kvBlob{SessionID: req.SessionID, Chain: links})
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var req kvBlob
	if !server.ReadJSON(w, r, &req) {
		return
	}
	if req.SessionID == "" || len(req.Chain) == 0 {
		server.WriteError(w, http.StatusBadRequest, "body holds no session")
		return
	}
	e.mu.Lock()
	e.cache.store(req.SessionID, req.Chain)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// Order is an operator's order to the engine.
type Order struct {
	ID      string `json:"id"`
	Action  string `json:"action"`
	Value   string `json:"value"`
	Fencing uint64 `json:"fencing"`
}

// order carries out an order once per id.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	if e.faults.Take(r.URL.Path, "").Before(w, r) {
		return
	}
	var o Order
	if !server.ReadJSON(w, r, &o) {
		return
	}
	if o.ID == "" || o.Action == "" {
		server.WriteError(w, http.StatusBadRequest, "order has no id or action")
		return
	}
	if !e.takeOrder(o) {
		server.WriteError(w, http.StatusConflict, "fencing number is old")
		return
	}
	server.WriteJSON(w, http.StatusOK, map[string]string{"id": o.ID, "state": "done"})
}

func (e *Engine) takeOrder(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := o.Fencing < e.fencing
	if stale && e.cfg.ChecksFencing {
		return false
	}
	e.fencing = max(e.fencing, o.Fencing)
	for _, done := range e.stats.Orders {
		if done.ID == o.ID {
			return true
		}
	}
	if stale {
		e.stats.StaleOrders++
	}
	e.stats.Orders = append(e.stats.Orders, o)
	return true
}

func (e *Engine) adminCold(w http.ResponseWriter, r *http.Request) {
	req := struct {
		ForMS int `json:"for_ms"`
		Slots int `json:"slots"`
	}{Slots: e.cfg.ColdSlots}
	if !server.ReadJSON(w, r, &req) {
		return
	}
	e.MakeCold(time.Duration(req.ForMS)*time.Millisecond, req.Slots)
	server.WriteJSON(w, http.StatusOK, req)
}

func (e *Engine) adminCrash(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
	go e.Crash()
}
