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

// FaultKind is the kind of an injected fault.
type FaultKind string

// Kinds of faults. FaultDropMid, FaultTruncate, FaultGarbage and FaultHangMid act after AfterTokens
// tokens of a model engine's answer. FaultHangAfter and FaultDropAfter act after an order or
// a tool call was executed. The others act before the request is run.
const (
	FaultDelay     FaultKind = "delay"      // handles the request after DelayMS
	FaultError     FaultKind = "error"      // replies with Status
	FaultRedirect  FaultKind = "redirect"   // replies with a 307 redirect to Location
	FaultDrop      FaultKind = "drop"       // drops the connection
	FaultHang      FaultKind = "hang"       // never replies
	FaultCrash     FaultKind = "crash"      // crashes the stand-in, which drops all connections
	FaultDropMid   FaultKind = "half"       // drops the connection in the middle of an answer
	FaultTruncate  FaultKind = "cut"        // truncates an answer but ends the reply cleanly
	FaultGarbage   FaultKind = "garbage"    // sends bytes that are not part of an answer and drops the connection
	FaultHangMid   FaultKind = "hang_mid"   // stops sending in the middle of an answer
	FaultHangAfter FaultKind = "hang_after" // executes the request and never replies
	FaultDropAfter FaultKind = "drop_after" // executes the request and drops the connection
)

// Fault describes an injected fault and the requests that it affects.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Path is the prefix of the affected paths; empty means the main route of the stand-in.
	Path string `json:"path,omitempty"`
	// Match restricts the fault to requests whose body contains it.
	Match string `json:"match,omitempty"`
	// Count is the number of affected requests; 0 means all until the faults are replaced.
	Count int `json:"count,omitempty"`
	// Probability restricts the fault to a share of the requests; 0 means all.
	Probability float64 `json:"probability,omitempty"`
	AfterTokens int     `json:"after_tokens,omitempty"`
	DelayMS     int     `json:"delay_ms,omitempty"`
	Status      int     `json:"status,omitempty"`   // 0 means 500
	Location    string  `json:"location,omitempty"` // of a redirect
}

// Faults is the set of injected faults of a stand-in.
type Faults struct {
	mainPath string
	mu       sync.Mutex
	list     []Fault
	rng      *rand.Rand
}

func newFaults(mainPath string) Faults {
	const seed = 1 // faults with a probability affect the same requests in every run
	return Faults{mainPath: mainPath, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Inject replaces the injected faults.
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

// take returns the first fault that affects a request and decrements its count.
func (f *Faults) take(path, body string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, x := range f.list {
		if !f.matches(x, path, body) {
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

// matches reports whether fault x affects a request.
func (f *Faults) matches(x Fault, path, body string) bool {
	if !strings.HasPrefix(path, cmp.Or(x.Path, f.mainPath)) || !strings.Contains(body, x.Match) {
		return false
	}
	return x.Probability == 0 || f.rng.Float64() < x.Probability
}

// applyBeforeRun applies the kinds of faults that act before the request is run. It returns true
// if the request must not be run.
func (r *Request) applyBeforeRun(w http.ResponseWriter) bool {
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

// Wait returns after d, or when the client has disconnected.
func (r *Request) Wait(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}
