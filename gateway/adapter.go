package gateway

import (
	"net/http"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/routing"
)

// Adapter translates between the protocol of callers and targets and this package. It
// decides nothing.
type Adapter interface {
	// DecodeRequest reads what the header of a caller's request says.
	DecodeRequest(r *http.Request) (*Request, error)
	// TargetHeader returns the header of a request to a target.
	TargetHeader(in http.Header, d *Delivery) http.Header
	// CallerHeader returns the header of a target's answer as the caller gets it.
	CallerHeader(in http.Header) http.Header
	// DecodeAnswer reads what the header of a target's answer says.
	DecodeAnswer(status int, h http.Header) Answer
	// DecodeDocument reads and validates a version of the configuration.
	DecodeDocument(body []byte) (*routing.Table, error)
	// Refuse writes an error of figlb to a caller.
	Refuse(w http.ResponseWriter, e *errs.Error)
}

// Request is what a caller's header says.
type Request struct {
	ID       string // one for each attempt of a caller
	Key      string
	Deadline time.Duration // time that the caller waits; 0: not stated
	Program  string
	// Budget is the number of tokens that all turns of the program may produce; 0: none.
	Budget int64
	// MaxTokens is the most that this turn produces.
	MaxTokens int64
	Previous  string // the turn that this one continues
	Affinity  string // equal for requests on the same object
	// Resumes tells that the caller has the beginning of the stream and wants the rest.
	Resumes bool
}

// Delivery is what figlb tells a target beside the caller's own header.
type Delivery struct {
	Target   string // id of the target that is meant
	Org      string // empty: none
	Deadline time.Duration
	Priority int // 0 is the most urgent
}

// Answer is what the header of a target's answer says.
type Answer struct {
	RequestID string
	Signed    bool // the target vouches for the answer
	// NotRun tells that the target has not run the request and will not.
	NotRun bool
	// Encoded tells that the body has a content encoding, which no target applies.
	Encoded bool
	Stream  bool
	// Running and Waiting are the target's requests; Running is negative if not told.
	Running, Waiting int
	// ColdFor is how long the target stays cold; 0: not told.
	ColdFor time.Duration
	// Leaving tells that the target is about to stop.
	Leaving bool
	// Misdirected tells that another target has the address.
	Misdirected bool
}
