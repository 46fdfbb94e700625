package server

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// FaultKind names what goes wrong with a request.
type FaultKind string

// Kinds of faults. Half, Cut, Garbage and HangMid act after AfterTokens tokens of a model
// engine's answer; HangAfter and DropAfter act after an order or a tool call was executed.
// The others act before anything is run.
const (
	FaultDelay     FaultKind = "delay"      // answers after DelayMS
	FaultError     FaultKind = "error"      // answers Status
	FaultRedirect  FaultKind = "redirect"   // answers 307 to Location
	FaultDrop      FaultKind = "drop"       // drops the connection
	FaultHang      FaultKind = "hang"       // never answers
	FaultCrash     FaultKind = "crash"      // drops all connections and goes away
	FaultHalf      FaultKind = "half"       // drops the connection in mid-answer
	FaultCut       FaultKind = "cut"        // ends a stream early, as if it were whole
	FaultGarbage   FaultKind = "garbage"    // sends bytes that are no answer
	FaultHangMid   FaultKind = "hang_mid"   // stops sending in mid-answer
	FaultHangAfter FaultKind = "hang_after" // executes and never answers
	FaultDropAfter FaultKind = "drop_after" // executes and drops the connection
)

// Fault describes which requests go wrong and how.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Path is the prefix of the paths affected; empty: the main route of the stand-in.
	Path string `json:"path,omitempty"`
	// Match restricts the fault to requests whose body contains it.
	Match string `json:"match,omitempty"`
	// Count is the number of requests affected; 0: all until the faults are replaced.
	Count int `json:"count,omitempty"`
	// Probability restricts the fault to a share of the requests; 0: all.
	Probability float64 `json:"probability,omitempty"`
	AfterTokens int     `json:"after_tokens,omitempty"`
	DelayMS     int     `json:"delay_ms,omitempty"`
	Status      int     `json:"status,omitempty"`   // 0: 500
	Location    string  `json:"location,omitempty"` // of a redirect
}

// Faults is the set of faults of a stand-in.
type Faults struct {
	main string
	mu   sync.Mutex
	list []Fault
	rng  *rand.Rand
}

// NewFaults returns an empty set; main is the path prefix of faults that name none.
func NewFaults(main string) *Faults {
	const seed = 1 // faults with a probability hit the same requests in every run
	return &Faults{main: main, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Set replaces the faults.
func (f *Faults) Set(list ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append([]Fault(nil), list...)
}

// Take returns the first fault that hits a request and counts it down.
func (f *Faults) Take(path, body string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.list {
		if !f.hits(&f.list[i], path, body) {
			continue
		}
		hit := f.list[i]
		if hit.Count == 1 {
			f.list = append(f.list[:i], f.list[i+1:]...)
		} else if hit.Count > 1 {
			f.list[i].Count--
		}
		return hit
	}
	return Fault{}
}

func (f *Faults) hits(x *Fault, path, body string) bool {
	prefix := x.Path
	if prefix == "" {
		prefix = f.main
	}
	if !strings.HasPrefix(path, prefix) || !strings.Contains(body, x.Match) {
		return false
	}
	return x.Probability == 0 || f.rng.Float64() < x.Probability
}

// Before applies the kinds of faults that act before anything is run. It returns true if
// the request has been dealt with.
func (x Fault) Before(w http.ResponseWriter, r *http.Request) bool {
	switch x.Kind {
	case FaultDelay:
		Wait(r, time.Duration(x.DelayMS)*time.Millisecond)
		return r.Context().Err() != nil
	case FaultError:
		status := x.Status
		if status == 0 {
			status = http.StatusInternalServerError
		}
		WriteError(w, status, "injected error")
	case FaultRedirect:
		http.Redirect(w, r, x.Location, http.StatusTemporaryRedirect)
	case FaultDrop:
		Abort()
	case FaultHang:
		<-r.Context().Done()
	default:
		return false
	}
	return true
}

// After applies the kinds of faults that act after an execution.
func (x Fault) After(r *http.Request) {
	switch x.Kind {
	case FaultHangAfter:
		<-r.Context().Done()
		Abort()
	case FaultDropAfter:
		Abort()
	}
}

// Wait returns after d, or when the caller has gone.
func Wait(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

// Handle serves POST /admin/faults: {"faults":[...]} replaces the faults.
func (f *Faults) Handle(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Faults []Fault `json:"faults"`
	}
	if !ReadJSON(w, r, &body) {
		return
	}
	f.Set(body.Faults...)
	WriteJSON(w, http.StatusOK, body)
}
