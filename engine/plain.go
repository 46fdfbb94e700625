package engine

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/structs"
)

// MaxPlainReply bounds the answer of a plain service, in bytes.
const MaxPlainReply = 32 << 20

// PlainRequest is one request to a plain service.
type PlainRequest struct {
	Address   string
	RequestID string
	Method    string
	// URI is the path with the query.
	URI    string
	Header http.Header
	Body   []byte
	// Timeout bounds the whole exchange.
	Timeout time.Duration
	// Fresh uses a connection of its own, which no other request has used: a pooled
	// connection may be closed by the target at the moment of sending, and then the
	// outcome is unknown.
	Fresh bool
}

// PlainReply is the complete answer of a plain service.
type PlainReply struct {
	// Target is the target's name, set by the caller of the client.
	Target   string
	Status   int
	Header   http.Header
	Body     []byte
	Duration time.Duration
}

// Plain sends req once and reads the whole answer. A reply is returned only if it is
// complete.
func (c *Client) Plain(ctx context.Context, req PlainRequest) (reply *PlainReply, fail *Failure) {
	ctx, span := startSpan(ctx, "engine.plain", req.Address)
	defer func() { endSpan(span, fail) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := time.Now()
	header := req.Header.Clone()
	header.Set(HeaderRequestID, req.RequestID)
	x, err := newExchange(ctx, req.Method, "http://"+req.Address+req.URI, header, req.Body)
	if err != nil {
		return nil, &Failure{Outcome: structs.OutcomeError, Err: err}
	}
	dog := startWatchdog(cancel, req.Timeout, req.Timeout)
	defer dog.stop()
	resp, err := c.transport(req).RoundTrip(x.req)
	if err != nil {
		return nil, x.failure(ctx, err, 0)
	}
	defer resp.Body.Close()
	if echo := resp.Header.Get(HeaderRequestID); echo != "" && echo != req.RequestID {
		return nil, &Failure{Outcome: structs.OutcomeError, Written: true, Status: resp.StatusCode, Err: ErrMismatch}
	}
	if isRedirect(resp) {
		return nil, &Failure{Outcome: structs.OutcomeError, Written: true, Status: resp.StatusCode, Err: ErrRedirect}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxPlainReply+1))
	if err != nil {
		return nil, x.failure(ctx, errors.Wrap(err, "read answer"), resp.StatusCode)
	}
	if len(body) > MaxPlainReply {
		return nil, &Failure{Outcome: structs.OutcomeError, Written: true, Status: resp.StatusCode, Err: ErrTooLarge}
	}
	return &PlainReply{Status: resp.StatusCode, Header: resp.Header, Body: body, Duration: time.Since(start)}, nil
}

// isRedirect reports whether the answer sends the caller elsewhere. It is not passed on: a
// caller that follows it would repeat the call past figlb, with its key.
func isRedirect(resp *http.Response) bool {
	return resp.StatusCode/100 == 3 && resp.Header.Get("Location") != ""
}

func (c *Client) transport(req PlainRequest) *http.Transport {
	if req.Fresh {
		return c.fresh
	}
	return c.pool(req.Address)
}
