package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/sched"
)

const (
	// loadTimeout and eventsTimeout limit one request to a target.
	loadTimeout   = 400 * time.Millisecond
	eventsTimeout = 400 * time.Millisecond
	// unsupportedInterval is the poll interval for a target that does not offer load
	// reports.
	unsupportedInterval = 10 * time.Second
	// defaultReportAge is the assumed age of a report whose timestamp lies in the future or
	// is more than a minute old. The target's clock is assumed to be wrong then.
	defaultReportAge = time.Second
	// jitterFraction is the largest random deviation from a poll interval, as a fraction
	// of the interval. It spreads the polls over time.
	jitterFraction = 0.2
)

// poller polls one target for load reports and cache events. Each poller has its own
// goroutine, so that a target that does not respond does not delay the polls of others.
type poller struct {
	scheduler    *scheduler
	term         uint64
	target       string
	address      string
	client       *http.Client
	cancel       context.CancelFunc
	lastEventSeq uint64 // sequence number of the last cache event that was read
}

// newPollClient returns an HTTP client that follows no redirects and keeps one idle
// connection per server.
func newPollClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// syncPollers starts and stops pollers so that there is one for each target of the pool.
func (s *scheduler) syncPollers() {
	if s.opts.NoPolling {
		return
	}
	wanted := map[string]bool{}
	for _, t := range s.pool.Targets() {
		wanted[t.Name] = true
		if p := s.pollers[t.Name]; p != nil && p.address == t.Address {
			continue
		}
		s.stopPoller(t.Name)
		s.startPoller(t)
	}
	for name := range s.pollers {
		if !wanted[name] {
			s.stopPoller(name)
		}
	}
}

func (s *scheduler) startPoller(t *sched.Target) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &poller{
		scheduler: s, term: s.term, target: t.Name, address: t.Address,
		client: newPollClient(), cancel: cancel,
	}
	s.pollers[t.Name] = p
	go p.run(ctx)
}

func (s *scheduler) stopPoller(name string) {
	if p := s.pollers[name]; p != nil {
		p.cancel()
		delete(s.pollers, name)
	}
}

func (s *scheduler) stopPollers() {
	for name := range s.pollers {
		s.stopPoller(name)
	}
}

// run polls the target until ctx ends. A random initial delay spreads the polls of the
// targets. Cache events are polled only if the target offers load reports.
func (p *poller) run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	interval := p.scheduler.opts.PollInterval
	if !sleep(ctx, rand.N(interval)) {
		return
	}
	for {
		delay := interval
		if isNotFound(p.pollLoad(ctx)) {
			delay = unsupportedInterval
		} else {
			p.pollEvents(ctx)
		}
		if !sleep(ctx, jittered(delay)) {
			return
		}
	}
}

// isNotFound reports whether err is an HTTP response with status 404.
func isNotFound(err error) bool {
	var status statusError
	return errors.As(err, &status) && int(status) == http.StatusNotFound
}

// loadReply is a target's load report.
type loadReply struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	KVUsed  int64 `json:"kv_used"`
	KVTotal int64 `json:"kv_total"`
	Cold    bool  `json:"cold"`
	AtMS    int64 `json:"at_ms"`
}

// pollLoad reads the target's load report and passes it to the pool.
func (p *poller) pollLoad(ctx context.Context) error {
	var body loadReply
	if err := getJSON(ctx, p.client, p.url("/load"), loadTimeout, &body); err != nil {
		return err
	}
	p.scheduler.runInTerm(p.term, func(now time.Duration) {
		p.scheduler.pool.ApplyLoadReport(now, p.target, sched.LoadReport{
			Running:    body.Running,
			Waiting:    body.Waiting,
			KVUsed:     body.KVUsed,
			KVTotal:    body.KVTotal,
			Cold:       body.Cold,
			MeasuredAt: now - reportAge(body.AtMS, time.Now()),
		})
	})
	return nil
}

// reportAge returns the age of a report from its wall-clock timestamp, or
// defaultReportAge if the timestamp is implausible.
func reportAge(atMS int64, now time.Time) time.Duration {
	age := now.Sub(time.UnixMilli(atMS))
	if age < 0 || age > time.Minute {
		return defaultReportAge
	}
	return age
}

// cacheEventsReply holds the cache events after a sequence number.
type cacheEventsReply struct {
	Events []struct {
		Seq     uint64 `json:"seq"`
		Op      string `json:"op"`
		Session string `json:"session_id"`
		Tokens  int64  `json:"tokens"`
	} `json:"events"`
	Next uint64 `json:"next"`
}

// pollEvents reads the target's cache events since the last poll and passes them to the
// pool. A sequence number that goes backwards means that the target has restarted.
func (p *poller) pollEvents(ctx context.Context) {
	var body cacheEventsReply
	url := p.url(fmt.Sprintf("/v1/cache/events?after=%d", p.lastEventSeq))
	if err := getJSON(ctx, p.client, url, eventsTimeout, &body); err != nil {
		return
	}
	restarted := body.Next < p.lastEventSeq
	p.lastEventSeq = body.Next
	events := make([]sched.CacheEvent, 0, len(body.Events))
	for _, e := range body.Events {
		events = append(events, sched.CacheEvent{Stored: e.Op == "stored", Program: e.Session, Tokens: e.Tokens})
	}
	p.scheduler.runInTerm(p.term, func(now time.Duration) {
		p.scheduler.pool.ApplyCacheEvents(p.target, restarted, events)
	})
}

func (p *poller) url(path string) string { return "http://" + p.address + path }

// runInTerm runs fn under the scheduler's lock if the scheduler is still in the given term.
// Afterwards it assigns queued requests, as fn may have made room for them.
func (s *scheduler) runInTerm(term uint64, fn func(now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.ensureLeading(now) != nil || s.term != term {
		return
	}
	fn(now)
	s.assignQueued(now)
}

// jittered returns d with a random deviation of at most jitterFraction.
func jittered(d time.Duration) time.Duration {
	spread := time.Duration(jitterFraction * float64(d))
	return d - spread + rand.N(2*spread)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
