package reply

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/figlb/figlb/errs"
)

// WriteTimeout is the timeout for one write to a caller, which may have stopped reading.
const WriteTimeout = 30 * time.Second

type errorBody struct {
	Code         errs.Code     `json:"code"`
	Message      string        `json:"message"`
	Remedy       string        `json:"remedy"`
	Run          errs.RunState `json:"run"`
	RetryAfterMS int64         `json:"retry_after_ms"`
	TraceID      string        `json:"trace_id"`
}

// ErrorJSON returns the JSON body of an error response. It contains the trace ID of ctx.
func ErrorJSON(ctx context.Context, e *errs.Error) []byte {
	body := map[string]errorBody{"error": {
		Code:         e.Code,
		Message:      e.Message,
		Remedy:       e.Remedy,
		Run:          e.Run,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		TraceID:      trace.SpanContextFromContext(ctx).TraceID().String(),
	}}
	out, err := json.Marshal(body)
	if err != nil { // cannot happen: the body contains only strings and numbers
		panic(err)
	}
	return out
}

// refusedBeforeLookup contains the codes of errors with which a request is refused before
// the records of calls and turns are read.
var refusedBeforeLookup = map[errs.Code]bool{
	errs.ConfigUnconfirmed: true,
	errs.Unavailable:       true,
	errs.Draining:          true,
	errs.Unauthorized:      true,
	errs.KeyRevoked:        true,
	errs.BodyTimeout:       true,
	errs.BodyTooLarge:      true,
	// The service may have been declared when the request was sent first, and may have run it.
	errs.UnknownModel: true,
	errs.NotFound:     true,
}

// runState returns the run state to report for e. A request with an idempotency key or a
// turn number may be a resend of one that was run. Only its record can rule that out, so
// NotRun becomes RunUnknown if the request was refused before the record was read.
func runState(r *http.Request, e *errs.Error) errs.RunState {
	mayBeResend := r.Header.Get("Idempotency-Key") != "" || r.Header.Get("Figlb-Turn") != ""
	if e.Run == errs.NotRun && mayBeResend && refusedBeforeLookup[e.Code] {
		return errs.RunUnknown
	}
	return e.Run
}

// Error writes e as JSON with its HTTP status and, if e.RetryAfter is set, the header
// Retry-After.
func Error(w http.ResponseWriter, r *http.Request, e *errs.Error) {
	e = e.WithRun(runState(r, e))
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	write(w, e.HTTPStatus(), ErrorJSON(r.Context(), e))
}

// retryAfterSeconds rounds d up, because the header Retry-After has whole seconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// JSON writes v as JSON with the given status. If v cannot be encoded, it writes an Internal
// error instead.
func JSON(w http.ResponseWriter, r *http.Request, status int, v any) {
	out, err := json.Marshal(v)
	if err != nil {
		Error(w, r, errs.From(err))
		return
	}
	write(w, status, out)
}

func write(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	Body(w, status, body)
}

// Body writes a status and a body and flushes them within WriteTimeout. Write errors are
// ignored: they mean that the caller has disconnected or stopped reading.
func Body(w http.ResponseWriter, status int, body []byte) {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(WriteTimeout))
	w.WriteHeader(status)
	_, _ = w.Write(body)
	_ = rc.Flush()
	// The next response on the connection sets its own deadline.
	_ = rc.SetWriteDeadline(time.Time{})
}
