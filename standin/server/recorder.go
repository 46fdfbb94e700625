package server

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxSeconds bounds the per-second counts kept, in seconds since the start.
const maxSeconds = 3600

// Traffic is what a stand-in was sent, admin calls excluded.
type Traffic struct {
	Received int `json:"received"`
	// PerSecond holds the number of requests in each second since the start.
	PerSecond []int `json:"per_second"`
	// Headers counts the requests that had a header of that name.
	Headers map[string]int `json:"headers"`
	// WatchHits counts the requests whose URL, headers or body contained a watched text,
	// for example a caller's key.
	WatchHits map[string]int `json:"watch_hits"`
}

// Recorder counts the traffic of a stand-in.
type Recorder struct {
	start time.Time
	mu    sync.Mutex
	watch []string
	t     Traffic
}

func newRecorder() Recorder {
	return Recorder{start: time.Now(), t: Traffic{Headers: map[string]int{}, WatchHits: map[string]int{}}}
}

// Watch replaces the watched texts.
func (rec *Recorder) Watch(texts ...string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.watch = texts
}

// setWatch serves POST /admin/watch: {"texts":[...]} replaces the watched texts.
func (rec *Recorder) setWatch(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Texts []string `json:"texts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	rec.Watch(body.Texts...)
	w.WriteHeader(http.StatusNoContent)
}

// Traffic returns a copy of the counts.
func (rec *Recorder) Traffic() Traffic {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	t := rec.t
	t.PerSecond = slices.Clone(rec.t.PerSecond)
	t.Headers = maps.Clone(rec.t.Headers)
	t.WatchHits = maps.Clone(rec.t.WatchHits)
	return t
}

func (rec *Recorder) count(r *Request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.t.Received++
	second := min(int(time.Since(rec.start)/time.Second), maxSeconds)
	for len(rec.t.PerSecond) <= second {
		rec.t.PerSecond = append(rec.t.PerSecond, 0)
	}
	rec.t.PerSecond[second]++
	for name := range r.Header {
		rec.t.Headers[name]++
	}
	if len(rec.watch) == 0 {
		return
	}
	all := fmt.Sprint(r.URL, r.Header, string(r.Payload))
	for _, text := range rec.watch {
		if strings.Contains(all, text) {
			rec.t.WatchHits[text]++
		}
	}
}
