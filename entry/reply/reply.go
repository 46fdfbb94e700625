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

// WriteTimeout bounds one write to a caller that does not read.
const WriteTimeout = 30 * time.Second

type errorBody struct {
	Code         errs.Code     `json:"code"`
	Message      string        `json:"message"`
	Remedy       string        `json:"remedy"`
	Run          errs.RunState `json:"run"`
	RetryAfterMS int64         `json:"retry_after_ms"`
	TraceID      string        `json:"trace_id"`
}

// ErrorJSON returns the error object callers see.
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
	if err != nil { // only strings and numbers: cannot fail
		panic(err)
	}
	return out
}

// refusedUnseen are the codes of refusals that are made without a look at the records of
// calls and turns.
var refusedUnseen = map[errs.Code]bool{
	errs.ConfigUnconfirmed: true,
	errs.Unavailable:       true,
	errs.Draining:          true,
	errs.Unauthorized:      true,
	errs.KeyRevoked:        true,
	errs.BodyTimeout:       true,
	errs.BodyTooLarge:      true,
	// The service may have been declared when the request was run.
	errs.UnknownModel: true,
	errs.NotFound:     true,
}

// runState returns what may be said about whether the request was run. A request with an
// idempotency key or a turn number may be a resend of one that was run; "not run" is then
// proved only by its record.
func runState(r *http.Request, e *errs.Error) errs.RunState {
	named := r.Header.Get("Idempotency-Key") != "" || r.Header.Get("Figlb-Turn") != ""
	if e.Run == errs.NotRun && named && refusedUnseen[e.Code] {
		return errs.RunUnknown
	}
	return e.Run
}

// Error writes e with its status and Retry-After.
func Error(w http.ResponseWriter, r *http.Request, e *errs.Error) {
	e = e.WithRun(runState(r, e))
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	write(w, e.HTTPStatus(), ErrorJSON(r.Context(), e))
}

// retryAfterSeconds rounds up: the header has whole seconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// JSON writes v with a status.
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

// Body sends a status and a body to a caller, who must take it within WriteTimeout. A
// caller that has left is not an error of this process.
func Body(w http.ResponseWriter, status int, body []byte) {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(WriteTimeout))
	w.WriteHeader(status)
	_, _ = w.Write(body)
	_ = rc.Flush()
	_ = rc.SetWriteDeadline(time.Time{}) // the connection's next answer has its own
}
