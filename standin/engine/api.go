package engine

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/figlb/figlb/standin/server"
)

// sampleInterval is the time between two samples of the load.
const sampleInterval = 20 * time.Millisecond

// Load is the reply to GET /load.
type Load struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	KVUsed  int   `json:"kv_used"`  // tokens
	KVTotal int   `json:"kv_total"` // tokens
	Cold    bool  `json:"cold"`
	AtMS    int64 `json:"at_ms"` // when it was measured, Unix milliseconds
}

// sampleLoad samples the load until the engine is closed.
func (e *Engine) sampleLoad() {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.laggingLoad()
		case <-e.stop:
			return
		}
	}
}

// laggingLoad takes a sample of the load. It returns the newest sample that is at least
// LoadLag old, or the oldest sample if none is that old.
func (e *Engine) laggingLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.currentLoad()
	e.samples = append(e.samples, now)
	for len(e.samples) > 1 && e.samples[1].AtMS <= now.AtMS-e.cfg.LoadLag.Milliseconds() {
		e.samples = e.samples[1:]
	}
	return e.samples[0]
}

func (e *Engine) currentLoad() Load {
	now := Load{
		Running: len(e.running),
		Waiting: len(e.queue),
		KVUsed:  e.cache.used,
		KVTotal: e.cfg.CacheTokens,
		Cold:    e.isCold(),
		AtMS:    time.Now().UnixMilli(),
	}
	for _, j := range e.running {
		now.KVUsed += j.promptTokens - j.cachedTokens + j.sent
	}
	return now
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *server.Request) {
	server.WriteJSON(w, http.StatusOK, e.laggingLoad())
}

func (e *Engine) getEvents(w http.ResponseWriter, r *server.Request) {
	n, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		server.WriteError(w, http.StatusBadRequest, "after is not a number")
		return
	}
	events, next := e.events.after(n)
	server.WriteJSON(w, http.StatusOK, map[string]any{"events": events, "next": next})
}

func (e *Engine) deleteSession(w http.ResponseWriter, r *server.Request) {
	e.mu.Lock()
	held := e.cache.freeSession(r.PathValue("id"))
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

// exportKV replies with a copy of a session's KV cache, which stays in the engine.
func (e *Engine) exportKV(w http.ResponseWriter, r *server.Request) {
	var blob kvBlob
	if !r.Decode(w, &blob) {
		return
	}
	e.mu.Lock()
	blob.Chain = e.cache.links(blob.SessionID)
	e.mu.Unlock()
	if blob.Chain == nil {
		server.WriteError(w, http.StatusNotFound, "nothing is held for the session")
		return
	}
	server.WriteJSON(w, http.StatusOK, blob)
}

func (e *Engine) importKV(w http.ResponseWriter, r *server.Request) {
	var blob kvBlob
	if !r.Decode(w, &blob) {
		return
	}
	if blob.SessionID == "" || len(blob.Chain) == 0 {
		server.WriteError(w, http.StatusBadRequest, "body holds no session")
		return
	}
	e.mu.Lock()
	e.cache.store(blob.SessionID, blob.Chain)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// Order is an operator's order to the engine, such as to load a model.
type Order struct {
	ID      string `json:"id"`
	Action  string `json:"action"`
	Value   string `json:"value"`
	Fencing uint64 `json:"fencing"`
}

// handleOrder serves POST /v1/orders. An order id is executed only once.
func (e *Engine) handleOrder(w http.ResponseWriter, r *server.Request) {
	var o Order
	if !r.Decode(w, &o) {
		return
	}
	if o.ID == "" || o.Action == "" {
		server.WriteError(w, http.StatusBadRequest, "order has no id or action")
		return
	}
	if !e.applyOrder(o) {
		server.WriteError(w, http.StatusConflict, "fencing number is old")
		return
	}
	server.WriteJSON(w, http.StatusOK, map[string]string{"id": o.ID, "state": "done"})
}

// applyOrder executes an order unless its id was executed before. It returns false if the
// order is refused because of an old fencing number.
func (e *Engine) applyOrder(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := o.Fencing < e.fencing
	if stale && e.cfg.ChecksFencing {
		return false
	}
	e.fencing = max(e.fencing, o.Fencing)
	if slices.ContainsFunc(e.stats.Orders, func(done Order) bool { return done.ID == o.ID }) {
		return true
	}
	if stale {
		e.stats.StaleOrders++
	}
	e.stats.Orders = append(e.stats.Orders, o)
	return true
}

// adminCold serves POST /admin/cold.
func (e *Engine) adminCold(w http.ResponseWriter, r *server.Request) {
	body := struct {
		ForMS int `json:"for_ms"`
		Slots int `json:"slots"`
	}{Slots: e.cfg.ColdSlots}
	if !r.Decode(w, &body) {
		return
	}
	e.MakeCold(time.Duration(body.ForMS)*time.Millisecond, body.Slots)
	w.WriteHeader(http.StatusNoContent)
}
