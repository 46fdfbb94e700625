package main

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/figlb/figlb/platform/standin"
)

const (
	// refusedPercent is the share of requests that busy targets refuse, high enough for requests that
	// all targets refuse and that are then sent again. copiedPercent is the share of their answers that
	// are followed by a late copy.
	refusedPercent = 70
	copiedPercent  = 40
	// unframedPercent is the share of streams that end with their connection, and brokenPercent the
	// share that breaks off before.
	unframedPercent = 25
	brokenPercent   = 25
	// badStatusPercent is the share of answers of plain services that have no status of HTTP.
	badStatusPercent = 5
	// earlyPercent is the share of long uploads that are answered early and then reset.
	earlyPercent = 50
)

// disturbAnswers makes all targets send unusual answers in series of periods until ctx ends: plain
// services refuse requests, send late copies of their answers, answer long uploads early and with a reset,
// and send statuses that are none, model engines send streams without a length, some of which break off.
func (s *site) disturbAnswers(ctx context.Context, rng *rand.Rand) {
	draw := newPercentDraw(rng.Int63())
	for ctx.Err() == nil {
		time.Sleep(time.Duration(500+rng.Intn(1500)) * time.Millisecond)
		targets := s.allTargets() // others may be added before the period ends
		for _, t := range targets {
			if t.Stream {
				t.SetUnusualAnswers(func() standin.Fault {
					return draw.fault(standin.EndWithConnection, unframedPercent, standin.BreakOffStream, brokenPercent)
				})
			} else {
				t.SetUnusualAnswers(func() standin.Fault {
					return draw.fault(standin.RefuseRequest, refusedPercent, standin.BadStatus, s.badStatusPercent())
				})
				t.SetEarlyAnswers(func() bool { return !s.upgrading && draw.below(earlyPercent) })
			}
			t.SetLateCopies(func() bool { return draw.below(copiedPercent) })
		}
		time.Sleep(time.Duration(300+rng.Intn(1200)) * time.Millisecond)
		for _, t := range targets {
			t.SetUnusualAnswers(nil)
			t.SetLateCopies(nil)
			t.SetEarlyAnswers(nil)
		}
	}
}

// badStatusPercent returns the share of answers without a status of HTTP. The production build takes them, and
// early answers that are reset, for answers, so they are left out while it runs.
func (s *site) badStatusPercent() int {
	if s.upgrading {
		return 0
	}
	return badStatusPercent
}

// percentDraw draws percentages. It is safe for concurrent use.
type percentDraw struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newPercentDraw(seed int64) *percentDraw {
	return &percentDraw{rng: rand.New(rand.NewSource(seed))}
}

func (d *percentDraw) percent() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Intn(100)
}

// below returns true with a probability of n percent.
func (d *percentDraw) below(n int) bool { return d.percent() < n }

// fault returns one of two faults with their probabilities in percent, else standin.NoFault.
func (d *percentDraw) fault(a standin.Fault, percentA int, b standin.Fault, percentB int) standin.Fault {
	switch p := d.percent(); {
	case p < percentA:
		return a
	case p < percentA+percentB:
		return b
	}
	return standin.NoFault
}
