package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/engine"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

const targetRetryAfter = time.Second

// targetFailed returns the caller's error for a target's failure. It does not contain
// the target's address.
func targetFailed(f *engine.Failure) *errs.Error {
	e := errs.New(errs.TargetFailed, "send the request again after the given time", "the target failed (%s)", cause(f))
	return e.WithRun(runState(f)).WithRetryAfter(targetRetryAfter)
}

// cause names a failure without network addresses.
func cause(f *engine.Failure) string {
	for _, known := range []error{
		engine.ErrStalled, engine.ErrCut, engine.ErrGarbled, engine.ErrRedirect, engine.ErrMismatch,
		engine.ErrOverlong, engine.ErrBadStatus, engine.ErrTooLarge,
	} {
		if errors.Is(f.Err, known) {
			return known.Error()
		}
	}
	if !f.Written {
		return "no connection"
	}
	if f.Outcome == structs.OutcomeCrash {
		return "the connection broke"
	}
	return "the answer is not valid"
}

// runState tells what a failure proves.
func runState(f *engine.Failure) errs.RunState {
	if !f.Written {
		return errs.NotRun
	}
	return errs.RunUnknown
}

// callerFault reports whether the engine refused the request itself, so that no other
// engine would accept it.
func callerFault(f *engine.Failure) bool {
	return f.Status >= 400 && f.Status < 500 &&
		f.Status != http.StatusTooManyRequests && f.Status != http.StatusRequestTimeout &&
		f.Status != http.StatusUnauthorized && f.Status != http.StatusForbidden && f.Status != http.StatusNotFound &&
		errors.Is(f.Err, engine.ErrBadStatus)
}

func refusedByEngine(f *engine.Failure) *errs.Error {
	msg := f.Message
	if msg == "" {
		msg = http.StatusText(f.Status)
	}
	e := errs.New(errs.BadRequest, "correct the request", "the model engine refused the request: %s", msg)
	return e.WithRun(errs.RunUnknown)
}

func quarantined(f *structs.Fingerprint) *errs.Error {
	e := errs.New(errs.RequestQuarantined, "change the request, or ask the operator to lift the quarantine",
		"requests with this content have crashed targets (digest %s)", f.Digest)
	return e.WithRetryAfter(max(time.Second, time.Until(time.Unix(f.ExpiresAt, 0))))
}

// contextError returns the reason why ctx ended, as a typed error.
func contextError(ctx context.Context) *errs.Error {
	cause := context.Cause(ctx)
	var e *errs.Error
	if errors.As(cause, &e) {
		return e
	}
	e = errs.New(errs.Overloaded, "send the request again later", "the request did not end within its time limit")
	return e.WithRun(errs.RunUnknown).WithRetryAfter(targetRetryAfter)
}

// outcomeUnsettled reports whether a command may or may not be recorded.
func outcomeUnsettled(err error) bool {
	if errs.Is(err, errs.Uncertain) || errs.Is(err, errs.Unavailable) || errs.Is(err, errs.NotLeader) {
		return true
	}
	var e *errs.Error
	return !errors.As(err, &e)
}

// stateError returns the caller's error for a failed command or query that came before
// any dispatch, so the request was not run.
func stateError(err error) *errs.Error {
	if !outcomeUnsettled(err) {
		return errs.From(err)
	}
	e := errs.New(errs.Unavailable, "send the request again", "the state did not answer in time")
	return e.WithRetryAfter(time.Second)
}
