package gateway

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/gateway/upstream"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/routing"
	"github.com/figlb/figlb/statemachine/ledgersm"
)

// exchange is the handling of one caller's request, from its receipt to the end of the
// response.
type exchange struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	req   *Request
	table *routing.Table
	route *routing.Route
	owner *routing.Organisation // organisation of the caller's key; nil: none
	org   string
	body  []byte // as sent by the caller
	// history is the program's history, which is sent to the target ahead of the body.
	history []byte
	began   time.Duration
	// deadline is the clock time at which the exchange ends. It follows from the caller's
	// deadline and the route's timeout.
	deadline time.Duration
	begun    bool     // earlier turns of the program are known to the ledger
	reserved bool     // tokens of the program's budget are reserved in the ledger
	targets  []string // ids of the targets that were tried, in order
	version  string   // software version of the last of them
	granted  bool     // the next request to a version on trial has been granted
	// source is the recorded source of a resumable stream, or the one that must go on with it.
	// sourceRevision numbers the records, and sourceRecorded gets the outcome of the last one; nil if
	// it is known.
	source         ledgersm.StreamSource
	sourceRevision uint32
	sourceRecorded <-chan error
	// events is the log of the stream of a turn that is kept, and before the text of the events that the
	// caller had when it resumed the stream. eventsMissingSince is the clock time at which the ledger first
	// lacked some of these; 0: it did not.
	events             *eventLog
	before             []byte
	eventsMissingSince time.Duration
	carriers           upstream.Carriers // connections on which the request has been sent
	status             int               // of the complete response; 0: none or an incomplete one; -1: an error of figlb
	note               string
}

const (
	// stopGracePeriod is the time for which a stopping gateway still accepts requests. The load
	// balancer needs two failed health checks, one per second, to send new connections
	// elsewhere.
	stopGracePeriod = 2800 * time.Millisecond
	// maxDeadline bounds the time of every request, whatever the caller and the route state.
	maxDeadline = 60 * time.Second
	// timeoutMargin is the time before the deadline at which the gateway gives up, so that its
	// response still arrives in time.
	timeoutMargin = 10 * time.Millisecond
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, w: w, r: r, began: clock.Now()}
	g.metrics.requests.Inc(1)
	if g.stopping.Load() != 0 || g.leaderContact.preferOtherHosts() || g.links.Stranded() {
		w.Header().Set("Connection", "close") // the caller's next request will use another host
	}
	err := x.runRecovered()
	if err != nil {
		x.discardBody()
		x.writeError(err)
	}
	x.log(err)
	if x.status == 0 {
		// Part of a response has been sent. Aborting the connection shows the caller that it is
		// incomplete.
		panic(http.ErrAbortHandler)
	}
}

// runRecovered runs the exchange and turns a panic into an error, so that it is logged and the caller
// gets a response. The request may have run.
func (x *exchange) runRecovered() (err error) {
	defer func() {
		if p := recover(); p != nil {
			x.g.log.Error(errors.Errorf("%v", p), "panic in the handler of a request", append(x.logFields(clock.Now()-x.began), "stack", string(debug.Stack()))...)
			err = errs.New(errs.TargetFailed, "check the outcome before sending the request again", "the request failed in the gateway").WithRun(errs.RunUnknown)
		}
	}()
	return x.run()
}

func (x *exchange) run() error {
	if err := x.resolve(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), x.timeLeft())
	defer cancel()
	if err := x.readBody(); err != nil {
		return err
	}
	if x.g.config.isBlocked(x.digest()) {
		return errs.New(errs.RequestQuarantined, "change the request", "the request has crashed %s", "several targets")
	}
	if err := x.checkOrigin(); err != nil {
		return err
	}
	if err := x.checkKeptWhole(); err != nil {
		return err
	}
	if err := x.checkTimeLeft(); err != nil {
		return err
	}
	if err := x.shedNewProgram(ctx); err != nil {
		return err
	}
	if x.owner != nil {
		if err := x.g.admissions.admit(ctx, x.owner, x.req.Program, x.timeLeft()); err != nil {
			return err
		}
	}
	defer x.cancelReservation()
	if err := x.reserveTokens(ctx); err != nil {
		return err
	}
	if err := x.findSource(ctx); err != nil {
		return err
	}
	if err := x.checkSourceServes(); err != nil {
		return err
	}
	if err := x.checkTimeLeft(); err != nil { // the request may have waited for its admission
		return err
	}
	return x.forward(ctx)
}

// resolve decodes the request's header and finds its route, organisation and deadline.
func (x *exchange) resolve() error {
	req, err := x.g.opts.Adapter.DecodeRequest(x.r)
	if err != nil {
		return err
	}
	x.req = req
	if x.g.stoppingFor() > stopGracePeriod {
		return errs.New(errs.Draining, "retry at another host", "the host is stopping").WithRetryAfter(time.Millisecond)
	}
	x.g.config.awaitReady(x.r.Context(), req.Deadline)
	x.g.config.awaitPollAfterSuspension(x.r.Context(), req.Deadline)
	if err := x.g.config.checkConfirmed(); err != nil {
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
	d := maxDeadline
	if x.req.Deadline > 0 {
		d = min(d, x.req.Deadline)
	}
	d = min(d, x.route.Timeout)
	x.deadline = x.began + d
}

// timeLeft returns the time until the gateway has to give up.
func (x *exchange) timeLeft() time.Duration { return x.deadline - timeoutMargin - clock.Now() }

// priority returns the organisation's priority if it has one, otherwise the route's.
func (x *exchange) priority() int {
	if x.owner != nil && x.owner.Priority != nil {
		return *x.owner.Priority
	}
	return x.route.Priority
}

// writeError sends an error of figlb to the caller, unless part of a response has been sent.
func (x *exchange) writeError(err error) {
	e := errs.From(err)
	if x.note == noteStarted {
		return
	}
	if x.r.Context().Err() != nil {
		x.note = noteCallerLeft
	}
	x.status = -1
	x.g.opts.Adapter.WriteError(x.w, e)
}

// Values of the log key "note".
const (
	noteStarted    = "answer_started"
	noteCallerLeft = "caller_left"
)

// log logs the outcome of the request and counts it.
func (x *exchange) log(err error) {
	took := clock.Now() - x.began
	x.g.metrics.latency.Update(took.Microseconds())
	if err == nil {
		x.g.metrics.served.Inc(1)
		if x.g.metrics.servedLines.allow() {
			x.g.log.Info("request served", x.logFields(took)...)
		}
		return
	}
	e := errs.From(err)
	x.g.metrics.failures(string(e.Code)).Inc(1)
	logFields := append(x.logFields(took), "code", string(e.Code), "reason", e.Message, "run", string(e.Run),
		"retry_after_ms", e.RetryAfter.Milliseconds())
	x.g.log.Info("request failed", logFields...)
}

func (x *exchange) logFields(took time.Duration) []any {
	id, program, origin, route, service := "", "", "", "", ""
	if x.req != nil {
		id, program, origin = x.req.ID, x.req.Program, x.req.Origin
	}
	if x.route != nil {
		route = x.route.Name
	}
	if x.route != nil && x.req != nil {
		service = x.service()
	}
	return []any{"request", id, "program", program, "route", route, "service", service, "org", x.org, "targets", x.targets,
		"resumes", origin, "joined_bytes", len(x.before), "version", x.version, "took_ms", took.Milliseconds(), "config", x.g.config.version(), "config_age_ms", x.g.config.age().Milliseconds(), "note", x.note}
}

// service returns the service to which the request is routed: for a resumed stream the one that began
// it.
func (x *exchange) service() string {
	if x.source.Service != "" {
		return x.source.Service
	}
	return x.route.PickService(x.affinity())
}

// affinity returns a key that is equal for requests that run faster on the same target.
func (x *exchange) affinity() string {
	switch {
	case x.route.Kind == routing.Streaming && x.req.Program != "":
		return x.req.Program
	case x.req.Affinity != "":
		return x.req.Affinity
	}
	return x.req.ID
}
