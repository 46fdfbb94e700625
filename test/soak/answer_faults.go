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
)

// disturbAnswers makes all targets send unusual answers in series of periods until ctx ends: plain
// services refuse requests and send late copies of their answers, model engines send streams without
// a length, some of which break off.
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
				t.SetUnusualAnswers(func() standin.Fault { return draw.fault(standin.RefuseRequest, refusedPercent, standin.NoFault, 0) })
			}
			t.SetLateCopies(func() bool { return draw.below(copiedPercent) })
		}
		time.Sleep(time.Duration(300+rng.Intn(1200)) * time.Millisecond)
		for _, t := range targets {
			t.SetUnusualAnswers(nil)
			t.SetLateCopies(nil)
		}
	}
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
