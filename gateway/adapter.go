package gateway

import (
	"net/http"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/gateway/balance"
	"github.com/figlb/figlb/routing"
)

// Adapter translates between the HTTP protocol of callers and targets and the types of this
// package. It makes no routing or admission decisions.
type Adapter interface {
	// DecodeRequest reads the header of a caller's request.
	DecodeRequest(r *http.Request) (*Request, error)
	// TargetHeader returns the header of the request to a target.
	TargetHeader(in http.Header, d *ForwardMetadata) http.Header
	// CallerHeader returns the header of the response to the caller, given the target's.
	CallerHeader(in http.Header) http.Header
	// DecodeResponse reads the status and header of a target's response.
	DecodeResponse(status int, h http.Header) TargetResponse
	// DecodeDocument decodes and validates a version of the configuration document.
	DecodeDocument(body []byte) (*routing.Table, error)
	// WriteError writes an error of figlb itself to a caller.
	WriteError(w http.ResponseWriter, e *errs.Error)
}

// Request holds the decoded header of a caller's request.
type Request struct {
	ID       string // differs for each attempt of a caller
	Key      string
	Deadline time.Duration // how long the caller waits; 0: not stated
	Program  string
	// ProgramTime is the time that the program has left until its objective.
	ProgramTime ProgramTime
	// Budget is the number of tokens that all turns of the program may produce together; 0: no
	// budget.
	Budget int64
	// MaxTokens is the maximum number of tokens that this turn may produce.
	MaxTokens int64
	// PromptTokens is the length of the prompt; 0: not stated. PromptParts names its parts, as
	// targets cache them; nil: not stated.
	PromptTokens int
	PromptParts  []balance.PromptPart
	PreviousTurn string // id of the turn that this one continues
	Affinity     string // equal for requests on the same object
	// LastEvent is the ID of the last event that the caller has of a stream of which it requests the rest;
	// empty: the whole stream is requested.
	LastEvent string
	// Origin is the id of the attempt that brought the first event of the stream that the caller
	// resumes; empty if it does not say.
	Origin string
}

// ForwardMetadata holds what figlb adds to the caller's header in a request to a target.
type ForwardMetadata struct {
	Target   string // id of the chosen target
	Org      string // organisation of the caller; empty: none
	Deadline time.Duration
	Priority int // 0 is the most urgent
}

// RequestLimit is what a response says about the requests that its target takes from all hosts
// together.
type RequestLimit struct {
	Named     bool    // the response names a limit
	PerSecond float64 // at least 0; valid if Named
	// Malformed holds the value of a limit that is not a number of at least 0; empty otherwise.
	Malformed string
}

// TargetResponse holds the decoded status and header of a target's response.
type TargetResponse struct {
	RequestID string
	Signed    bool // the response carries the target's signature
	// NotRun is set if the target states that it has not run the request and will not run it.
	NotRun bool
	// Encoded is set if the body has a content encoding. Targets never apply one.
	Encoded bool
	Stream  bool
	// Running and Waiting are the numbers of requests at the target; Running is negative if the
	// target did not report them.
	Running, Waiting int
	// PacePercent is how long work takes on the target's machine now, in per cent of the usual; 0:
	// not reported.
	PacePercent int
	// ColdFor is how long the target remains cold; 0: not reported.
	ColdFor time.Duration
	// Leaving is set if the target is about to stop.
	Leaving bool
	Limit   RequestLimit
	// Misdirected is set if the address now belongs to another target.
	Misdirected bool
}
