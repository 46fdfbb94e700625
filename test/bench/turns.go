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

// turner records turns as entries do, without engines.
type turner struct {
	client  *stateclient.Client
	prefix  string
	message []byte
	answer  []byte
}

func newTurner(client *stateclient.Client, size int, seed uint64) *turner {
	text := func(role string) []byte {
		raw := make([]byte, size*3/4)
		_, _ = rand.Read(raw) // random text, which does not compress
		out, _ := json.Marshal(map[string]any{"role": role, "content": raw})
		return out
	}
	return &turner{client: client, prefix: fmt.Sprintf("p%d", seed), message: text("user"), answer: text("assistant")}
}

func (t *turner) org(i int) string     { return fmt.Sprintf("org-%d", i%100) }
func (t *turner) program(i int) string { return fmt.Sprintf("%s-%d", t.prefix, i) }

func (t *turner) open(ctx context.Context, i int) error {
	_, err := t.client.OpenProgram(ctx, t.org(i), structs.OpenProgram{ID: t.program(i), Service: "chat", Limits: bareLimits})
	return err
}

// turn begins and finishes a turn of program i.
func (t *turner) turn(ctx context.Context, i, n int) error {
	begun, err := t.client.BeginTurn(ctx, t.org(i), structs.BeginTurn{
		Program: t.program(i), Service: "chat", Turn: n, Digest: fmt.Sprintf("%064d", i),
		Messages: [][]byte{t.message}, MaxTokens: 400, Entry: "bench", Limits: bareLimits, KnownTurns: n - 1,
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

// each runs f for 0..n-1 on a number of workers and returns the last error.
func each(n, workers int, f func(ctx context.Context, i int) error) error {
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
	return out.last
}

// load runs turns at the bench's rate over enough programs that no turn waits for the
// one before it.
func (t *turner) load(rate int, window time.Duration, first int) (*sample, error) {
	programs := 2 * rate
	err := each(programs, 64, func(ctx context.Context, i int) error { return t.open(ctx, first+i) })
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

// turnRates measures the members at several rates of turns.
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
	t := newTurner(s.client, b.bytes, b.seed)
	if _, err := t.load(rate, time.Second, 1_000_000); err != nil {
		return err
	}
	m := startMeter(s.Members)
	out, err := t.load(rate, b.window, 0)
	if err != nil {
		return err
	}
	label := fmt.Sprintf("turns rate=%d groups=%d bytes=%d", rate, b.groups, b.bytes)
	m.report(label, s.roles())
	fmt.Printf("%s load=%s turn (begin and finish) p50 %.2f p95 %.2f p99 %.2f max %.0f ms (n=%d, errors %d: %v)\n",
		label, machineLoad(), out.at(.5), out.at(.95), out.at(.99), out.at(1), out.count(), out.errors, out.last)
	return nil
}

// groupCounts measures members without work at several numbers of groups.
func (b *bench) groupCounts() error {
	for _, n := range b.sizesOr(4, 16, 64) {
		s, err := b.start(testsite.Options{Groups: n})
		if err != nil {
			return err
		}
		m := startMeter(s.Members)
		time.Sleep(b.window)
		label := fmt.Sprintf("groups=%d idle load=%s", n, machineLoad())
		m.report(label, s.roles())
		s.close()
	}
	return nil
}

// buckets measures memory and throughput with a number of organisations that each have a
// bucket in use.
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
		return s.client.Debit(ctx, fmt.Sprintf("org-%d", i%n), structs.Debit{Limits: bareLimits})
	}
	label := fmt.Sprintf("buckets organisations=%d", n)
	if err := each(n, 64, debit); err != nil {
		return err
	}
	m := startMeter(s.Members)
	const calls = 20_000
	start := time.Now()
	if err := each(calls, 64, debit); err != nil {
		return err
	}
	rate := calls / time.Since(start).Seconds()
	m.report(label, s.roles())
	state, err := s.snapshotBytes()
	if err != nil {
		return err
	}
	fmt.Printf("%s load=%s %.0f debits/s by 64 callers; snapshot of all groups %d bytes\n", label, machineLoad(), rate, state)
	return nil
}

func (s *site) snapshotBytes() (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	data, err := s.client.SaveSnapshot(ctx)
	return len(data), err
}
