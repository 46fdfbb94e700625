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

// maxSeconds bounds Traffic.PerSecond, in seconds since the start. Later requests are
// counted in its last element.
const maxSeconds = 3600

// Traffic counts the requests that a stand-in received, except admin calls.
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
	start        time.Time
	mu           sync.Mutex
	watchedTexts []string
	traffic      Traffic
}

func newRecorder() Recorder {
	return Recorder{start: time.Now(), traffic: Traffic{Headers: map[string]int{}, WatchHits: map[string]int{}}}
}

// Watch replaces the watched texts.
func (rec *Recorder) Watch(texts ...string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.watchedTexts = texts
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
	traffic := rec.traffic
	traffic.PerSecond = slices.Clone(rec.traffic.PerSecond)
	traffic.Headers = maps.Clone(rec.traffic.Headers)
	traffic.WatchHits = maps.Clone(rec.traffic.WatchHits)
	return traffic
}

func (rec *Recorder) countRequest(r *Request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.traffic.Received++
	second := min(int(time.Since(rec.start)/time.Second), maxSeconds)
	for len(rec.traffic.PerSecond) <= second {
		rec.traffic.PerSecond = append(rec.traffic.PerSecond, 0)
	}
	rec.traffic.PerSecond[second]++
	for name := range r.Header {
		rec.traffic.Headers[name]++
	}
	if len(rec.watchedTexts) == 0 {
		return
	}
	all := fmt.Sprint(r.URL, r.Header, string(r.Payload))
	for _, text := range rec.watchedTexts {
		if strings.Contains(all, text) {
			rec.traffic.WatchHits[text]++
		}
	}
}
