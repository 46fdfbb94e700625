package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/structs"
)

// turnRecorder records turns in the state members as entries do, but without engines.
type turnRecorder struct {
	client  *stateclient.Client
	prefix  string
	message []byte
	answer  []byte
}

func newTurnRecorder(client *stateclient.Client, size int, seed uint64) *turnRecorder {
	text := func(role string) []byte {
		raw := make([]byte, size*3/4)
		_, _ = rand.Read(raw) // random content, so that compression does not shrink it
		out, _ := json.Marshal(map[string]any{"role": role, "content": raw})
		return out
	}
	return &turnRecorder{client: client, prefix: fmt.Sprintf("p%d", seed), message: text("user"), answer: text("assistant")}
}

func (t *turnRecorder) org(i int) string     { return fmt.Sprintf("org-%d", i%100) }
func (t *turnRecorder) program(i int) string { return fmt.Sprintf("%s-%d", t.prefix, i) }

func (t *turnRecorder) open(ctx context.Context, i int) error {
	_, err := t.client.OpenProgram(ctx, t.org(i), structs.OpenProgram{ID: t.program(i), Service: "chat", Limits: highLimits})
	return err
}

// turn begins and finishes a turn of program i.
func (t *turnRecorder) turn(ctx context.Context, i, n int) error {
	begun, err := t.client.BeginTurn(ctx, t.org(i), structs.BeginTurn{
		Program: t.program(i), Service: "chat", Turn: n, Digest: fmt.Sprintf("%064d", i),
		Messages: [][]byte{t.message}, MaxTokens: 400, Entry: "bench", Limits: highLimits, KnownTurns: n - 1,
	})
	if err != nil {
		return err
	}
	_, err = t.client.FinishTurn(ctx, t.org(i), structs.FinishTurn{
		Program: t.program(i), Turn: n, Attempt: begun.Turn.Attempt, Answer: t.answer, FinishReason: "stop",
		Usage: structs.Usage{PromptTokens: 300 * int64(n), CompletionTokens: 320}, UsageKnown: true, Targets: []string{"engine-1"},
	})
	return err
}

// runConcurrently calls f with 0 to n-1, at most workers calls at a time, and returns the last
// error.
func runConcurrently(n, workers int, f func(ctx context.Context, i int) error) error {
	var wg sync.WaitGroup
	slots := make(chan struct{}, workers)
	var out sample
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			out.add(0, f(ctx, i))
		})
	}
	wg.Wait()
	return out.lastErr
}

// load runs turns at a constant rate. It spreads them over enough programs that no turn has to
// wait for the previous turn of its program.
func (t *turnRecorder) load(rate int, window time.Duration, first int) (*sample, error) {
	programs := 2 * rate
	err := runConcurrently(programs, 64, func(ctx context.Context, i int) error { return t.open(ctx, first+i) })
	if err != nil {
		return nil, err
	}
	out := &sample{}
	openLoop(rate, window, func(i int) {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		start := time.Now()
		err := t.turn(ctx, first+i%programs, 1+i/programs)
		out.add(time.Since(start), err)
	})
	return out, nil
}

// turnRates measures the members at several turn rates.
func (b *bench) turnRates() error {
	for _, rate := range b.sizesOr(100, 300, 900) {
		if err := b.turnsAt(rate); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) turnsAt(rate int) error {
	s, err := b.start(testsite.Options{Groups: b.groups})
	if err != nil {
		return err
	}
	defer s.close()
	t := newTurnRecorder(s.client, b.messageBytes, b.seed)
	if _, err := t.load(rate, time.Second, 1_000_000); err != nil {
		return err
	}
	m := startMeter(s.Members)
	out, err := t.load(rate, b.window, 0)
	if err != nil {
		return err
	}
	label := fmt.Sprintf("turns rate=%d groups=%d bytes=%d", rate, b.groups, b.messageBytes)
	m.report(label, s.roles())
	fmt.Printf("%s load=%s turn (begin and finish) p50 %.2f p95 %.2f p99 %.2f max %.0f ms (n=%d, errors %d: %v)\n",
		label, loadAverage(), out.quantile(.5), out.quantile(.95), out.quantile(.99), out.quantile(1), out.count(), out.errors, out.lastErr)
	return nil
}

// groupCounts measures idle members at several numbers of groups.
func (b *bench) groupCounts() error {
	for _, n := range b.sizesOr(4, 16, 64) {
		s, err := b.start(testsite.Options{Groups: n})
		if err != nil {
			return err
		}
		m := startMeter(s.Members)
		time.Sleep(b.window)
		label := fmt.Sprintf("groups=%d idle load=%s", n, loadAverage())
		m.report(label, s.roles())
		s.close()
	}
	return nil
}

// buckets measures memory and throughput with a number of organisations, each of which has a
// token bucket in use.
func (b *bench) buckets() error {
	for _, n := range b.sizesOr(1000, 3000, 10000) {
		if err := b.bucketsAt(n); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) bucketsAt(n int) error {
	s, err := b.start(testsite.Options{Groups: 4})
	if err != nil {
		return err
	}
	defer s.close()
	debit := func(ctx context.Context, i int) error {
		return s.client.Debit(ctx, fmt.Sprintf("org-%d", i%n), structs.Debit{Limits: highLimits})
	}
	label := fmt.Sprintf("buckets organisations=%d", n)
	if err := runConcurrently(n, 64, debit); err != nil {
		return err
	}
	m := startMeter(s.Members)
	const calls = 20_000
	start := time.Now()
	if err := runConcurrently(calls, 64, debit); err != nil {
		return err
	}
	rate := calls / time.Since(start).Seconds()
	m.report(label, s.roles())
	state, err := s.snapshotBytes()
	if err != nil {
		return err
	}
	fmt.Printf("%s load=%s %.0f debits/s by 64 callers; snapshot of all groups %d bytes\n", label, loadAverage(), rate, state)
	return nil
}

func (s *site) snapshotBytes() (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	data, err := s.client.SaveSnapshot(ctx)
	return len(data), err
}
