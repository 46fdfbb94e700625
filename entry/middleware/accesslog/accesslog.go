package accesslog

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	metrics "github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/figlb/figlb/entry/middleware/auth"
)

const debugVerbosity = 1 // requests are logged at debug level only

// New returns the middleware. It logs the path without the query string, because that may
// contain a caller's key.
func New(log logr.Logger, registry metrics.Registry) func(http.Handler) http.Handler {
	timer := metrics.GetOrRegisterTimer("entry.http.duration", registry)
	inFlight := metrics.GetOrRegisterCounter("entry.http.in_flight", registry)
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			start, path := time.Now(), auth.SafePath(r)
			inFlight.Inc(1)
			rec := &statusRecorder{ResponseWriter: w}
			defer func() {
				inFlight.Dec(1)
				timer.UpdateSince(start)
				class := strconv.Itoa(rec.status/100) + "xx"
				metrics.GetOrRegisterCounter("entry.http.status."+class, registry).Inc(1)
				log.V(debugVerbosity).Info("request", "method", r.Method, "path", path, "status", rec.status,
					"duration", time.Since(start).String(), "trace", trace.SpanContextFromContext(r.Context()).TraceID().String())
			}()
			next.ServeHTTP(rec, r)
		})
	}
}

// statusRecorder records the status of the response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (r *statusRecorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *statusRecorder) Write(b []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	return r.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
