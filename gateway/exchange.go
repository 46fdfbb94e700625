package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/routing"
)

// exchange is one caller's request on its way through the gateway.
type exchange struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	req   *Request
	table *routing.Table
	route *routing.Route
	owner *routing.Organisation // nil: none
	org   string
	body  []byte // as the caller sent it
	// history precedes the body on its way to the target.
	history []byte
	began   time.Duration
	// deadline ends the exchange: the caller's own or the route's timeout.
	deadline time.Duration
	reserved bool // tokens are set aside in the ledger
	targets  []string
	status   int // of the answer; 0: none was sent
	note     string
}

const (
	// leaveAfter is the time for which a stopping gateway still takes requests: the
	// balancer needs two failed checks, one a second, to send new connections elsewhere.
	leaveAfter = 2800 * time.Millisecond
	// defaultDeadline bounds requests that state no deadline on routes with a long timeout.
	defaultDeadline = 60 * time.Second
	// timeoutMargin is the time before the deadline at which the gateway gives up, so that
	// its answer arrives in time.
	timeoutMargin = 10 * time.Millisecond
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, w: w, r: r, began: clock.Now()}
	g.metrics.requests.Inc(1)
	if g.stopping.Load() != 0 || g.contact.avoid() {
		w.Header().Set("Connection", "close") // the next request of this caller finds another host
	}
	err := x.run()
	if err != nil {
		x.refuse(err)
	}
	x.log(err)
	if x.status == 0 {
		// Part of an answer has been sent: the connection has to show that it is not whole.
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) run() error {
	if err := x.admit(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), x.left())
	defer cancel()
	if err := x.readBody(); err != nil {
		return err
	}
	if x.g.config.isBlocked(x.digest()) {
		return errs.New(errs.RequestQuarantined, "change the request", "the request has taken down %s", "several targets")
	}
	if err := x.inTime(); err != nil {
		return err
	}
	if err := x.screen(ctx); err != nil {
		return err
	}
	if x.owner != nil {
		if err := x.g.rates.admit(ctx, x.owner, x.req.Program, x.left()); err != nil {
			return err
		}
	}
	if err := x.reserve(ctx); err != nil {
		return err
	}
	if err := x.inTime(); err != nil { // it may have waited
		x.release()
		return err
	}
	return x.forward(ctx)
}

// admit finds the route and the organisation.
func (x *exchange) admit() error {
	req, err := x.g.opts.Adapter.DecodeRequest(x.r)
	if err != nil {
		return err
	}
	x.req = req
	if x.g.stoppingFor() > leaveAfter {
		return errs.New(errs.Draining, "retry at another host", "the host is stopping").WithRetryAfter(time.Millisecond)
	}
	x.g.config.awaitFirst(x.r.Context(), req.Deadline)
	x.g.config.awaitWake(x.r.Context(), req.Deadline)
	if err := x.g.config.check(); err != nil {
		return err
	}
	x.table = x.g.config.table()
	x.route = x.table.Match(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return errs.New(errs.NotFound, "use a host and path of the configuration", "no route for %s%s", x.r.Host, x.r.URL.Path)
	}
	x.owner = x.table.KeyOwner(req.Key)
	if x.owner == nil && !x.route.Public && len(x.table.Organisations) > 0 {
		return errs.New(errs.Unauthorized, "send a valid key", "the key is not known")
	}
	if x.owner != nil {
		x.org = x.owner.Name
	}
	x.setDeadline()
	return nil
}

func (x *exchange) setDeadline() {
	d := defaultDeadline
	if x.req.Deadline > 0 {
		d = min(d, x.req.Deadline)
	}
	d = min(d, x.route.Timeout)
	x.deadline = x.began + d
}

// left returns the time until the gateway has to give up.
func (x *exchange) left() time.Duration { return x.deadline - timeoutMargin - clock.Now() }

func (x *exchange) readBody() error {
	if x.r.ContentLength == 0 {
		return nil
	}
	limit := x.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if x.r.ContentLength > limit {
		return tooLarge(limit)
	}
	if x.r.ContentLength > 0 {
		x.body = make([]byte, x.r.ContentLength)
		if _, err := io.ReadFull(x.r.Body, x.body); err != nil {
			return unread(err)
		}
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(x.r.Body, limit+1))
	if err != nil {
		return unread(err)
	}
	if int64(len(body)) > limit {
		return tooLarge(limit)
	}
	x.body = body
	return nil
}

// defaultMaxBody bounds bodies where the configuration does not.
const defaultMaxBody = 4 << 20

func tooLarge(limit int64) error {
	return errs.New(errs.BodyTooLarge, "send less", "the body is larger than %d bytes", limit)
}

func unread(err error) error {
	return errs.New(errs.BadRequest, "send the whole body", "the body was not read: %v", err)
}

// priority returns the rank of the request: the organisation's, else the route's.
func (x *exchange) priority() int {
	if x.owner != nil && x.owner.Priority != nil {
		return *x.owner.Priority
	}
	return x.route.Priority
}

// refuse answers with an error of figlb, unless part of an answer has been sent.
func (x *exchange) refuse(err error) {
	e := errs.From(err)
	if x.note == noteStarted {
		return
	}
	if x.r.Context().Err() != nil {
		x.note = noteCallerLeft
	}
	x.status = -1
	x.g.opts.Adapter.Refuse(x.w, e)
}

// Notes of the log.
const (
	noteStarted    = "answer_started"
	noteCallerLeft = "caller_left"
)

// log writes the line of the request's outcome.
func (x *exchange) log(err error) {
	took := clock.Now() - x.began
	x.g.metrics.latency.Update(took.Microseconds())
	if err == nil {
		x.g.metrics.served.Inc(1)
		if x.g.metrics.sampled() {
			x.g.log.Info("request served", x.fields(took)...)
		}
		return
	}
	e := errs.From(err)
	x.g.metrics.refusal(string(e.Code)).Inc(1)
	fields := append(x.fields(took), "code", string(e.Code), "reason", e.Message, "run", string(e.Run),
		"retry_after_ms", e.RetryAfter.Milliseconds())
	x.g.log.Info("request failed", fields...)
}

func (x *exchange) fields(took time.Duration) []any {
	id, program, route, service := "", "", "", ""
	if x.req != nil {
		id, program = x.req.ID, x.req.Program
	}
	if x.route != nil {
		route = x.route.Name
	}
	if x.route != nil && x.req != nil {
		service = x.service()
	}
	return []any{"request", id, "program", program, "route", route, "service", service, "org", x.org, "targets", x.targets,
		"took_ms", took.Milliseconds(), "config", x.g.config.version(), "config_age_ms", x.g.config.age().Milliseconds(), "note", x.note}
}

// service returns the service that the request goes to.
func (x *exchange) service() string { return x.route.Pick(x.affinity()) }

// affinity returns what requests share that run faster on the same target.
func (x *exchange) affinity() string {
	switch {
	case x.route.Kind == routing.Streaming && x.req.Program != "":
		return x.req.Program
	case x.req.Affinity != "":
		return x.req.Affinity
	}
	return x.req.ID
}
