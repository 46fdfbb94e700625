package tracing

import (
	"context"
	"crypto/rand"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/figlb/figlb/entry/middleware/auth"
)

var traceContext = propagation.TraceContext{}

// New returns the middleware. The span contains the method and the path, but neither the
// query string nor any header, because these may contain a caller's key.
func New() func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ctx := traceContext.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
			ctx, span := otel.Tracer("figlb/entry").Start(ctx, r.Method+" "+auth.SafePath(r),
				trace.WithSpanKind(trace.SpanKindServer),
				trace.WithAttributes(attribute.String("http.request.method", r.Method)))
			defer span.End()
			next.ServeHTTP(w, r.WithContext(ensureTraceID(ctx)))
		})
	}
}

// ensureTraceID returns ctx, with a random span context added if it has no valid one.
func ensureTraceID(ctx context.Context) context.Context {
	if trace.SpanContextFromContext(ctx).IsValid() {
		return ctx
	}
	var c trace.SpanContextConfig
	_, _ = rand.Read(c.TraceID[:]) // crypto/rand.Read never returns an error
	_, _ = rand.Read(c.SpanID[:])
	return trace.ContextWithSpanContext(ctx, trace.NewSpanContext(c))
}
