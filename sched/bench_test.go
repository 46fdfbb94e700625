package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/figlb/figlb/structs"
)

const benchSlots = 8

// benchPool is a pool in a steady state, with all targets busy and a queue of constant length.
type benchPool struct {
	*testPool
	orgs    int
	entries int
	running []*Slot
	n       int // requests queued so far
}

// newBenchPool returns a pool with all slots in use and the given number of queued requests.
func newBenchPool(targets, queue, orgs, entries int) *benchPool {
	p := &benchPool{orgs: orgs, entries: entries}
	p.testPool = &testPool{Pool: NewPool(Options{MaxQueue: 1 << 30}, NewFair(), rand.New(rand.NewPCG(1, 2))), now: startTime}
	p.SetTargets(p.now, targetSpecs(targets, benchSlots, benchSlots))
	for range targets*benchSlots + queue {
		p.arrive()
	}
	for s := p.assignNext(); s != nil; s = p.assignNext() {
		p.running = append(p.running, s)
	}
	return p
}

// arrive queues the next turn of one of 40 programs per target.
func (p *benchPool) arrive() {
	p.n++
	program := p.n % (40 * len(p.Targets()))
	turn := 2 + p.n/(40*len(p.Targets()))
	var prefix []uint64
	var tokens []int64
	for i := range turn {
		prefix = append(prefix, uint64(program*1000+i))
		tokens = append(tokens, int64(1000+400*i))
	}
	p.enqueue(structs.AssignRequest{
		Org: fmt.Sprintf("o%d", p.n%p.orgs), Entry: fmt.Sprintf("e%d", p.n%p.entries), Weight: 1,
		Program: fmt.Sprintf("p%d", program), Turn: turn, Service: "s",
		PromptTokens: tokens[turn-1] + 100, Prefix: prefix, PrefixTokens: tokens,
	})
}

// step finishes one request, assigns queued requests while slots are free and queues a new one.
func (p *benchPool) step() {
	p.now += time.Millisecond
	i := p.n * 7919 % len(p.running)
	s := p.running[i]
	p.running[i] = p.running[len(p.running)-1]
	p.running = p.running[:len(p.running)-1]
	p.finish(s, structs.OutcomeOK)
	for s := p.assignNext(); s != nil; s = p.assignNext() {
		p.running = append(p.running, s)
	}
	p.arrive()
}

// BenchmarkAssign measures a pool with all slots in use, by numbers of targets, queued requests,
// organisations and entries.
func BenchmarkAssign(b *testing.B) {
	for _, c := range []struct{ targets, queue, orgs, entries int }{
		{70, 1000, 1000, 370}, {280, 1000, 1000, 370}, {1120, 1000, 1000, 370}, {2800, 1000, 1000, 370},
		{280, 0, 1000, 370}, {280, 4000, 1000, 370}, {280, 16000, 1000, 370},
		{280, 1000, 8, 370}, {280, 1000, 100, 370}, {280, 1000, 10000, 370},
		{280, 1000, 1000, 8}, {280, 1000, 1000, 64},
	} {
		b.Run(fmt.Sprintf("targets=%d/queue=%d/orgs=%d/entries=%d", c.targets, c.queue, c.orgs, c.entries), func(b *testing.B) {
			p := newBenchPool(c.targets, c.queue, c.orgs, c.entries)
			for b.Loop() {
				p.step()
			}
			b.ReportMetric(float64(p.QueueLen()), "queued")
		})
	}
}

// BenchmarkAssignHalfBusy measures a pool with half of its slots free, in which each decision
// compares all targets.
func BenchmarkAssignHalfBusy(b *testing.B) {
	for _, targets := range []int{70, 280, 1120, 2800} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			p := newBenchPool(targets, 0, 1000, 370)
			for len(p.running) > targets*benchSlots/2 {
				p.finish(p.running[0], structs.OutcomeOK)
				p.running = p.running[1:]
			}
			for b.Loop() {
				p.step()
			}
		})
	}
}
