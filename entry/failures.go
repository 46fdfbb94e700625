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

// targetFailedError returns the error for the caller when a target failed. It does not
// reveal the address of the target.
func targetFailedError(f *engine.Failure) *errs.Error {
	apiErr := errs.New(errs.TargetFailed, "send the request again after the given time", "the target failed (%s)", failureCause(f))
	return apiErr.WithRun(failureRunState(f)).WithRetryAfter(targetRetryAfter)
}

// failureCause describes a failure without network addresses.
func failureCause(f *engine.Failure) string {
	for _, known := range []error{
		engine.ErrTimeout, engine.ErrTruncated, engine.ErrMalformed, engine.ErrRedirect, engine.ErrResponseMismatch,
		engine.ErrTokenLimitExceeded, engine.ErrBadStatus, engine.ErrResponseTooLarge,
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

// failureRunState returns what a failure proves about whether the request was run.
func failureRunState(f *engine.Failure) errs.RunState {
	if !f.Written {
		return errs.NotRun
	}
	return errs.RunUnknown
}

// isCallerError reports whether the engine rejected the request itself, so that a retry on
// another engine would fail too.
func isCallerError(f *engine.Failure) bool {
	return f.Status >= 400 && f.Status < 500 &&
		f.Status != http.StatusTooManyRequests && f.Status != http.StatusRequestTimeout &&
		f.Status != http.StatusUnauthorized && f.Status != http.StatusForbidden && f.Status != http.StatusNotFound &&
		errors.Is(f.Err, engine.ErrBadStatus)
}

func engineRefusalError(f *engine.Failure) *errs.Error {
	msg := f.Message
	if msg == "" {
		msg = http.StatusText(f.Status)
	}
	apiErr := errs.New(errs.BadRequest, "correct the request", "the model engine refused the request: %s", msg)
	return apiErr.WithRun(errs.RunUnknown)
}

func quarantinedError(f *structs.Fingerprint) *errs.Error {
	apiErr := errs.New(errs.RequestQuarantined, "change the request, or ask the operator to lift the quarantine",
		"requests with this content have crashed targets (digest %s)", f.Digest)
	return apiErr.WithRetryAfter(max(time.Second, time.Until(time.Unix(f.ExpiresAt, 0))))
}

// contextError returns the cause of the end of ctx as a typed error.
func contextError(ctx context.Context) *errs.Error {
	cause := context.Cause(ctx)
	var apiErr *errs.Error
	if errors.As(cause, &apiErr) {
		return apiErr
	}
	apiErr = errs.New(errs.Overloaded, "send the request again later", "the request did not end within its time limit")
	return apiErr.WithRun(errs.RunUnknown).WithRetryAfter(targetRetryAfter)
}

// outcomeUnsettled reports whether err leaves open whether a command was applied to the state.
func outcomeUnsettled(err error) bool {
	if errs.Is(err, errs.Uncertain) || errs.Is(err, errs.Unavailable) || errs.Is(err, errs.NotLeader) {
		return true
	}
	var apiErr *errs.Error
	return !errors.As(err, &apiErr)
}

// stateError returns the error for the caller when a command or query failed before any
// dispatch by this entry.
func stateError(err error) *errs.Error {
	if !outcomeUnsettled(err) {
		return errs.From(err)
	}
	apiErr := errs.New(errs.Unavailable, "send the request again", "the state did not answer in time")
	return apiErr.WithRetryAfter(time.Second)
}
