package entry

import (
	"context"
	"sync"
)

// taskGroup counts running goroutines. Unlike with sync.WaitGroup, a goroutine may be added
// while another goroutine is in Wait, as happens during a planned shutdown.
type taskGroup struct {
	mu      sync.Mutex
	running int
	idle    chan struct{} // closed when running becomes 0; nil if there is no waiter
}

// Go runs f in a counted goroutine.
func (g *taskGroup) Go(f func()) {
	g.mu.Lock()
	g.running++
	g.mu.Unlock()
	go func() {
		defer g.done()
		f()
	}()
}

func (g *taskGroup) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Wait returns when no goroutine is running or ctx has ended.
func (g *taskGroup) Wait(ctx context.Context) {
	g.mu.Lock()
	if g.running == 0 {
		g.mu.Unlock()
		return
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
