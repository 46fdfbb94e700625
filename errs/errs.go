package errs

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Code identifies a kind of error. Codes are part of the public API.
type Code string

// Error codes returned to callers, to operators and between figlb's processes.
const (
	BadRequest          Code = "bad_request"
	BodyTooLarge        Code = "body_too_large"
	BodyTimeout         Code = "body_timeout"
	Unauthorized        Code = "unauthorized"
	KeyRevoked          Code = "key_revoked"
	NotFound            Code = "not_found"
	UnknownModel        Code = "unknown_model"
	UnknownProgram      Code = "unknown_program"
	ProgramEnded        Code = "program_ended"
	TurnOutOfOrder      Code = "turn_out_of_order"
	TurnInProgress      Code = "turn_in_progress"
	TurnConflict        Code = "turn_conflict"
	TurnCapReached      Code = "turn_cap_reached"
	BudgetExhausted     Code = "budget_exhausted"
	RateLimited         Code = "rate_limited"
	Overloaded          Code = "overloaded"
	RequestQuarantined  Code = "request_quarantined"
	IdempotencyMismatch Code = "idempotency_mismatch"
	CallInProgress      Code = "call_in_progress"
	OutcomeUnknown      Code = "outcome_unknown"
	TargetFailed        Code = "target_failed"
	NoTarget            Code = "no_target"
	ConfigUnconfirmed   Code = "config_unconfirmed"
	Draining            Code = "draining"
	RevisionConflict    Code = "revision_conflict"
	InvalidDeclaration  Code = "invalid_declaration"
	NotLeader           Code = "not_leader"
	Uncertain           Code = "uncertain"
	Unavailable         Code = "unavailable"
	Superseded          Code = "superseded"
	StreamNotResumable  Code = "stream_not_resumable"
	Internal            Code = "internal"
)

// RunState tells whether a target ran the request.
type RunState string

// Run states. NotRun is used only if it is certain that no target ran the request.
const (
	NotRun     RunState = "not_run"
	Ran        RunState = "ran"
	RunUnknown RunState = "unknown"
)

// Error is an error with a code, a remedy and a run state.
type Error struct {
	Code    Code   `msgpack:"c" json:"code"`
	Message string `msgpack:"m" json:"message"`
	// Remedy tells the caller or the operator what to do about the error.
	Remedy string   `msgpack:"r,omitempty" json:"remedy,omitempty"`
	Run    RunState `msgpack:"s,omitempty" json:"run,omitempty"`
	// RetryAfter is the delay before a retry; 0 if none is suggested.
	RetryAfter time.Duration `msgpack:"a,omitempty" json:"-"`
	// Leader is the address of the leader. It is set only in NotLeader errors, and only if
	// the leader is known.
	Leader string `msgpack:"l,omitempty" json:"-"`
}

// Error implements error. It returns the code, the message and the remedy, if there is one.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	return fmt.Sprintf("%s: %s; %s", e.Code, e.Message, e.Remedy)
}

// New returns an error with the run state NotRun; use WithRun to change it. The message is
// built from format and args.
func New(code Code, remedy, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Remedy: remedy, Run: NotRun}
}

// WithRun returns a copy of e with the run state s.
func (e *Error) WithRun(s RunState) *Error {
	c := *e
	c.Run = s
	return &c
}

// WithRetryAfter returns a copy of e that tells the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns the Error in err's chain. If there is none, it returns an Internal error with
// the text of err and the run state RunUnknown. It returns nil if err is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "report the message with the trace id", "%v", err).WithRun(RunUnknown)
}

// Is reports whether err has an Error with the given code in its chain.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

// httpStatus maps codes to HTTP statuses. Codes that are not listed have status 500.
var httpStatus = map[Code]int{
	BadRequest:          http.StatusBadRequest,
	BodyTooLarge:        http.StatusRequestEntityTooLarge,
	BodyTimeout:         http.StatusRequestTimeout,
	Unauthorized:        http.StatusUnauthorized,
	KeyRevoked:          http.StatusUnauthorized,
	NotFound:            http.StatusNotFound,
	UnknownModel:        http.StatusNotFound,
	UnknownProgram:      http.StatusNotFound,
	ProgramEnded:        http.StatusGone,
	TurnOutOfOrder:      http.StatusConflict,
	TurnInProgress:      http.StatusConflict,
	TurnConflict:        http.StatusConflict,
	TurnCapReached:      http.StatusForbidden,
	BudgetExhausted:     http.StatusForbidden,
	RateLimited:         http.StatusTooManyRequests,
	Overloaded:          http.StatusServiceUnavailable,
	RequestQuarantined:  http.StatusUnprocessableEntity,
	IdempotencyMismatch: http.StatusUnprocessableEntity,
	CallInProgress:      http.StatusConflict,
	OutcomeUnknown:      http.StatusBadGateway,
	TargetFailed:        http.StatusBadGateway,
	NoTarget:            http.StatusServiceUnavailable,
	ConfigUnconfirmed:   http.StatusServiceUnavailable,
	Draining:            http.StatusServiceUnavailable,
	RevisionConflict:    http.StatusConflict,
	InvalidDeclaration:  http.StatusUnprocessableEntity,
	NotLeader:           http.StatusServiceUnavailable,
	Uncertain:           http.StatusServiceUnavailable,
	Unavailable:         http.StatusServiceUnavailable,
	StreamNotResumable:  http.StatusServiceUnavailable,
	Superseded:          http.StatusConflict,
}

// HTTPStatus returns the HTTP status for e.Code.
func (e *Error) HTTPStatus() int {
	if s, ok := httpStatus[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}
