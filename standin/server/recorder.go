package server

import (
	"bytes"
	"io"
	"net/http"
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

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{start: time.Now(), t: Traffic{Headers: map[string]int{}, WatchHits: map[string]int{}}}
}

// Watch replaces the watched texts.
func (rec *Recorder) Watch(texts ...string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.watch = append([]string(nil), texts...)
}

// HandleWatch serves POST /admin/watch: {"texts":[...]} replaces the watched texts.
func (rec *Recorder) HandleWatch(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Texts []string `json:"texts"`
	}
	if !ReadJSON(w, r, &body) {
		return
	}
	rec.Watch(body.Texts...)
	WriteJSON(w, http.StatusOK, body)
}

// Traffic returns a copy of the counts.
func (rec *Recorder) Traffic() Traffic {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	t := rec.t
	t.PerSecond = append([]int{}, rec.t.PerSecond...)
	t.Headers = copyCounts(rec.t.Headers)
	t.WatchHits = copyCounts(rec.t.WatchHits)
	return t
}

func copyCounts(m map[string]int) map[string]int {
	out := make(map[string]int, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// Wrap returns a handler that counts requests before h serves them.
func (rec *Recorder) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/admin/") {
			h.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		rec.count(r, string(body))
		h.ServeHTTP(w, r)
	})
}

func (rec *Recorder) count(r *http.Request, body string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.t.Received++
	second := int(time.Since(rec.start) / time.Second)
	for len(rec.t.PerSecond) <= second && second < maxSeconds {
		rec.t.PerSecond = append(rec.t.PerSecond, 0)
	}
	if second < maxSeconds {
		rec.t.PerSecond[second]++
	}
	for name := range r.Header {
		rec.t.Headers[name]++
	}
	for _, text := range rec.watch {
		if contains(r, body, text) {
			rec.t.WatchHits[text]++
		}
	}
}

func contains(r *http.Request, body, text string) bool {
	if strings.Contains(r.URL.String(), text) || strings.Contains(body, text) {
		return true
	}
	for _, values := range r.Header {
		for _, v := range values {
			if strings.Contains(v, text) {
				return true
			}
		}
	}
	return false
}
