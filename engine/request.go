package engine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/figlb/figlb/structs"
)

// HeaderRequestID is the header with figlb's ID of a request. Targets may echo it.
const HeaderRequestID = "X-Request-Id"

var traceContext = propagation.TraceContext{}

// singleUseBody hides the type of the body from net/http, which otherwise keeps a copy of
// the body and resends the request by itself when a reused connection breaks.
type singleUseBody struct{ io.Reader }

func (singleUseBody) Close() error { return nil }

// exchange is one request to a target, which is sent at most once.
type exchange struct {
	req *http.Request
	// gotConn is set when the transport has a connection for the request. From then on,
	// part of the request may have been sent.
	gotConn atomic.Bool
	// written receives the outcome of writing the request. Only the first outcome is kept.
	written chan error
}

func newExchange(ctx context.Context, method, url string, header http.Header, body []byte) (*exchange, error) {
	x := &exchange{written: make(chan error, 1)}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { x.gotConn.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case x.written <- info.Err:
			default:
			}
		},
	})
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if header != nil {
		req.Header = header
	}
	req.Body = singleUseBody{bytes.NewReader(body)}
	req.ContentLength = int64(len(body))
	traceContext.Inject(ctx, propagation.HeaderCarrier(req.Header))
	x.req = req
	return x, nil
}

// checkUnframedEnd returns an error if a response without a length or chunks, whose body has been read to
// the end of the connection, may have been broken off. A target's reset during the upload is reported once
// by the operating system: if the write gets the report, the read sees an ordinary end. It waits until the
// request has been written.
func (x *exchange) checkUnframedEnd(ctx context.Context, resp *http.Response) error {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Uncompressed {
		return nil
	}
	select {
	case err := <-x.written:
		if err != nil {
			return errors.Wrapf(ErrTruncated, "the connection ended during the upload (%v)", err)
		}
		return nil
	case <-ctx.Done():
		return errors.Wrap(ErrTruncated, "the connection ended during the upload")
	}
}

// checkStatus fails for a status that is none of HTTP's. net/http accepts any three digits in a response
// and panics when a server writes one below 100.
func checkStatus(status int) error {
	if status < 100 || status > 599 {
		return errors.Wrapf(ErrMalformed, "status %03d", status)
	}
	return nil
}

// failure classifies an error of the transport or of reading the response. A cancellation
// of ctx takes precedence over err.
func (x *exchange) failure(ctx context.Context, err error, status int) *Failure {
	f := &Failure{Outcome: structs.OutcomeCrash, Written: x.gotConn.Load(), Status: status, Err: err}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, ErrTimeout):
		f.Outcome, f.Err = structs.OutcomeError, ErrTimeout
	case cause != nil:
		f.Outcome, f.Err = structs.OutcomeCancelled, cause
	case !f.Written:
		f.Outcome = structs.OutcomeRefused
	case isMalformed(err):
		f.Outcome = structs.OutcomeError
	}
	return f
}

// isMalformed reports whether err means that the target sent an invalid HTTP response, as
// opposed to a broken connection or a truncated response.
func isMalformed(err error) bool {
	var opErr *net.OpError
	if errors.As(err, &opErr) {
		return false
	}
	return !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, ErrTruncated)
}

func startSpan(ctx context.Context, name, address string) (context.Context, trace.Span) {
	return otel.Tracer("figlb/engine").Start(ctx, name,
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server.address", address)))
}

func endSpan(span trace.Span, f *Failure) {
	if f != nil {
		span.SetStatus(codes.Error, string(f.Outcome))
	}
	span.End()
}
