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
	loadTimeout   = 400 * time.Millisecond
	eventsTimeout = 400 * time.Millisecond
	// absentInterval is the interval of tries at a path that the target does not offer.
	absentInterval = 10 * time.Second
	// unknownLag is the assumed age of a report whose time lies in the future: the
	// target's clock is ahead, so its time says nothing.
	unknownLag = time.Second
	// jitterShare spreads polls: each waits its interval plus or minus this share.
	jitterShare = 0.2
)

// poller reads load reports and cache events of one target on its own goroutine, so
// that a target that hangs delays no other.
type poller struct {
	shard   *shard
	term    uint64
	target  string
	address string
	client  *http.Client
	cancel  context.CancelFunc
	after   uint64 // sequence number of the last cache event
}

// newPollClient returns a client that follows no redirect and keeps one connection per
// target.
func newPollClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// syncPollers starts and stops pollers to match the target list.
func (s *shard) syncPollers() {
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

func (s *shard) startPoller(t *sched.Target) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &poller{
		shard: s, term: s.term, target: t.Name, address: t.Address,
		client: newPollClient(), cancel: cancel,
	}
	s.pollers[t.Name] = p
	go p.run(ctx)
}

func (s *shard) stopPoller(name string) {
	if p := s.pollers[name]; p != nil {
		p.cancel()
		delete(s.pollers, name)
	}
}

func (s *shard) stopPollers() {
	for name := range s.pollers {
		s.stopPoller(name)
	}
}

func (p *poller) run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	interval := p.shard.opts.PollInterval
	if !sleep(ctx, rand.N(interval)) {
		return
	}
	for {
		delay := interval
		if isAbsent(p.pollLoad(ctx)) {
			delay = absentInterval
		} else {
			p.pollEvents(ctx)
		}
		if !sleep(ctx, jittered(delay)) {
			return
		}
	}
}

func isAbsent(err error) bool {
	var status errStatus
	return errors.As(err, &status) && int(status) == http.StatusNotFound
}

type loadBody struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	KVUsed  int64 `json:"kv_used"`
	KVTotal int64 `json:"kv_total"`
	Cold    bool  `json:"cold"`
	AtMS    int64 `json:"at_ms"`
}

func (p *poller) pollLoad(ctx context.Context) error {
	var body loadBody
	if err := getJSON(ctx, p.client, p.url("/load"), loadTimeout, &body); err != nil {
		return err
	}
	p.shard.withTerm(p.term, func(now time.Duration) {
		p.shard.pool.Load(now, p.target, sched.LoadReport{
			Running: body.Running,
			Waiting: body.Waiting,
			KVUsed:  body.KVUsed,
			KVTotal: body.KVTotal,
			Cold:    body.Cold,
			At:      now - reportAge(body.AtMS, time.Now()),
		})
	})
	return nil
}

// reportAge returns the age of a report stamped with a wall-clock time.
func reportAge(atMS int64, now time.Time) time.Duration {
	age := now.Sub(time.UnixMilli(atMS))
	if age < 0 || age > time.Minute {
		return unknownLag
	}
	return age
}

type eventsBody struct {
	Events []struct {
		Seq     uint64 `json:"seq"`
		Op      string `json:"op"`
		Session string `json:"session_id"`
		Tokens  int64  `json:"tokens"`
	} `json:"events"`
	Next uint64 `json:"next"`
}

func (p *poller) pollEvents(ctx context.Context) {
	var body eventsBody
	url := p.url(fmt.Sprintf("/v1/cache/events?after=%d", p.after))
	if err := getJSON(ctx, p.client, url, eventsTimeout, &body); err != nil {
		return
	}
	restarted := body.Next < p.after
	p.after = body.Next
	events := make([]sched.CacheEvent, 0, len(body.Events))
	for _, e := range body.Events {
		events = append(events, sched.CacheEvent{Stored: e.Op == "stored", Program: e.Session, Tokens: e.Tokens})
	}
	p.shard.withTerm(p.term, func(now time.Duration) {
		p.shard.pool.CacheEvents(p.target, restarted, events)
	})
}

func (p *poller) url(path string) string { return "http://" + p.address + path }

// withTerm runs fn under the shard's lock if the term is still the given one, then
// assigns what has become possible.
func (s *shard) withTerm(term uint64, fn func(now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.ensureLeading(now) != nil || s.term != term {
		return
	}
	fn(now)
	s.pump(now)
}

func jittered(d time.Duration) time.Duration {
	spread := time.Duration(jitterShare * float64(d))
	return d - spread + rand.N(2*spread)
}

// sleep returns false if ctx ends first.
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
