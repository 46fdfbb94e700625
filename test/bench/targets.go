package main

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/figlb/figlb/dispatch/schedclient"
	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/structs"
)

// schedEntries is the number of simulated entries that request assignments.
const schedEntries = 8

// targets measures the members with a number of targets, which are stand-ins in one process:
// idle, and with assignments at a quarter of the bench's rate and at the full rate.
func (b *bench) targets() error {
	for _, n := range b.sizesOr(100, 300, 900) {
		if err := b.targetsAt(n); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) targetsAt(n int) error {
	s, err := b.start(testsite.Options{Engines: n, EngineArgs: fastEngine})
	if err != nil {
		return err
	}
	defer s.close()
	time.Sleep(settleTime)
	for _, rate := range []int{0, b.rate / 4, b.rate} {
		var out sample
		m := startMeter(s.Members)
		if rate == 0 {
			time.Sleep(b.window)
		} else {
			b.assigns(s, rate, &out)
		}
		label := fmt.Sprintf("targets=%d assigns=%d/s", n, rate)
		m.report(label, s.roles())
		fmt.Printf("%s load=%s assign p50 %.2f p95 %.2f p99 %.2f ms (n=%d, errors %d: %v)\n",
			label, loadAverage(), out.quantile(.5), out.quantile(.95), out.quantile(.99), out.count(), out.errors, out.lastErr)
	}
	return nil
}

// assigns requests slots at a constant rate and releases each after one second.
func (b *bench) assigns(s *site, rate int, out *sample) {
	clients := make([]*schedclient.Client, schedEntries)
	for i := range clients {
		clients[i] = schedclient.New(schedclient.Options{
			Entry: fmt.Sprintf("fake-%d", i), Groups: s.groups, Resolver: s.client,
			Dial: func(addr string) schedclient.Caller { return s.client.Conn(addr) },
		})
		defer clients[i].Close()
	}
	var seq atomic.Int64
	openLoop(rate, b.window, func(i int) {
		n := int(seq.Add(1))
		out.add(assignOnce(clients[i%schedEntries], i%schedEntries, n))
	})
}

func assignOnce(c *schedclient.Client, entry, n int) (time.Duration, error) {
	const hold = time.Second
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	name := fmt.Sprintf("fake-%d", entry)
	start := time.Now()
	a, err := c.Assign(ctx, &structs.AssignRequest{
		ID: fmt.Sprintf("%d-%d", start.UnixNano(), n), Entry: name, Pool: structs.ModelPool("m1"),
		Org: fmt.Sprintf("org-%d", n%1000), Weight: 1, Program: fmt.Sprintf("p%d", n%10000), Turn: 2, Service: "chat",
		Class: structs.ClassInteractive, PromptTokens: 4000, MaxTokens: 400,
		Prefix: []uint64{1, uint64(n % 10000)}, PrefixTokens: []int64{800, 4000},
	})
	took := time.Since(start)
	if err != nil {
		return took, err
	}
	time.Sleep(hold)
	return took, c.Release(ctx, &structs.ReleaseSlot{
		Pool: structs.ModelPool("m1"), Entry: name, Slot: a.Slot, Target: a.Target, Outcome: structs.OutcomeOK,
		TTFT: 100 * time.Millisecond, Duration: hold, Usage: structs.Usage{PromptTokens: 4000, CompletionTokens: 320},
	})
}
