package engine

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/structs"
)

// MaxPlainResponseBytes is the maximum size of the response body of a plain service.
const MaxPlainResponseBytes = 32 << 20

// PlainRequest is a request to a plain service.
type PlainRequest struct {
	// Address is the host:port of the target.
	Address string
	// RequestID is sent in the header HeaderRequestID.
	RequestID string
	Method    string
	// URI is the path with the query string.
	URI string
	// Header may be nil. It is not modified.
	Header http.Header
	Body   []byte
	// Timeout is the timeout for the whole request, including the response body.
	Timeout time.Duration
	// NewConnection sends the request on a new connection that is not reused. A target may close
	// a pooled connection just when the request is sent, which leaves it unknown whether
	// the request was run.
	NewConnection bool
}

// PlainResponse is the complete response of a plain service.
type PlainResponse struct {
	// Target is the target's name, set by the caller of the client.
	Target   string
	Status   int
	Header   http.Header
	Body     []byte
	Duration time.Duration
}

// Plain sends req once and reads the whole response. It returns either a complete
// response, of any status that is not a redirect, or a failure.
func (c *Client) Plain(ctx context.Context, req PlainRequest) (response *PlainResponse, fail *Failure) {
	ctx, span := startSpan(ctx, "engine.plain", req.Address)
	defer func() { endSpan(span, fail) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := time.Now()
	header := req.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(HeaderRequestID, req.RequestID)
	x, err := newExchange(ctx, req.Method, "http://"+req.Address+req.URI, header, req.Body)
	if err != nil {
		return nil, &Failure{Outcome: structs.OutcomeError, Err: err}
	}
	wd := startWatchdog(cancel, req.Timeout, req.Timeout)
	defer wd.stop()
	resp, err := c.plainTransport(req).RoundTrip(x.req)
	if err != nil {
		return nil, x.failure(ctx, err, 0)
	}
	defer resp.Body.Close()
	if err := checkStatus(resp.StatusCode); err != nil {
		return nil, x.failure(ctx, err, 0)
	}
	if echoedID := resp.Header.Get(HeaderRequestID); echoedID != "" && echoedID != req.RequestID {
		return nil, &Failure{Outcome: structs.OutcomeError, Written: true, Status: resp.StatusCode, Err: ErrResponseMismatch}
	}
	if isRedirect(resp) {
		return nil, &Failure{Outcome: structs.OutcomeError, Written: true, Status: resp.StatusCode, Err: ErrRedirect}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxPlainResponseBytes+1))
	if err == nil {
		err = x.checkUnframedEnd(ctx, resp)
	}
	if err != nil {
		return nil, x.failure(ctx, errors.Wrap(err, "read response body"), resp.StatusCode)
	}
	if len(body) > MaxPlainResponseBytes {
		return nil, &Failure{Outcome: structs.OutcomeError, Written: true, Status: resp.StatusCode, Err: ErrResponseTooLarge}
	}
	return &PlainResponse{Status: resp.StatusCode, Header: resp.Header, Body: body, Duration: time.Since(start)}, nil
}

// isRedirect reports whether resp redirects the caller. Redirects are not passed on: a
// caller that follows one would send its request again, with its key and without going
// through figlb.
func isRedirect(resp *http.Response) bool {
	return resp.StatusCode/100 == 3 && resp.Header.Get("Location") != ""
}

// plainTransport returns the transport for req, with or without a connection pool.
func (c *Client) plainTransport(req PlainRequest) *http.Transport {
	if req.NewConnection {
		return c.unpooled
	}
	return c.pooledTransport(req.Address)
}
