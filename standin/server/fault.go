package server

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
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
	FaultCut       FaultKind = "cut"        // ends an answer early, as if it were whole
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

// Faults is the set of injected faults of a stand-in.
type Faults struct {
	main string
	mu   sync.Mutex
	list []Fault
	rng  *rand.Rand
}

func newFaults(main string) Faults {
	const seed = 1 // faults with a probability hit the same requests in every run
	return Faults{main: main, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Inject replaces the faults.
func (f *Faults) Inject(list ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = slices.Clone(list)
}

// setFaults serves POST /admin/faults: {"faults":[...]} replaces the faults.
func (f *Faults) setFaults(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Faults []Fault `json:"faults"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	f.Inject(body.Faults...)
	w.WriteHeader(http.StatusNoContent)
}

// take returns the first fault that hits a request and counts it down.
func (f *Faults) take(path, body string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, x := range f.list {
		if !f.hits(x, path, body) {
			continue
		}
		if x.Count > 0 {
			f.list[i].Count--
		}
		if x.Count == 1 {
			f.list = slices.Delete(f.list, i, i+1)
		}
		return x
	}
	return Fault{}
}

func (f *Faults) hits(x Fault, path, body string) bool {
	if !strings.HasPrefix(path, cmp.Or(x.Path, f.main)) || !strings.Contains(body, x.Match) {
		return false
	}
	return x.Probability == 0 || f.rng.Float64() < x.Probability
}

// beforeRun applies the kinds of faults that act before anything is run. It returns true
// if the request has been dealt with.
func (r *Request) beforeRun(w http.ResponseWriter) bool {
	switch x := r.Fault; x.Kind {
	case FaultDelay:
		r.Wait(time.Duration(x.DelayMS) * time.Millisecond)
		return r.Context().Err() != nil
	case FaultError:
		WriteError(w, cmp.Or(x.Status, http.StatusInternalServerError), "injected error")
	case FaultRedirect:
		http.Redirect(w, r.Request, x.Location, http.StatusTemporaryRedirect)
	case FaultDrop:
		Abort()
	case FaultHang:
		<-r.Context().Done()
	default:
		return false
	}
	return true
}

// AfterRun applies the kinds of faults that act after an execution.
func (r *Request) AfterRun() {
	switch r.Fault.Kind {
	case FaultHangAfter:
		<-r.Context().Done()
		Abort()
	case FaultDropAfter:
		Abort()
	}
}

// Wait returns after d, or when the caller has gone.
func (r *Request) Wait(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}
