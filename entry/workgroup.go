package entry

import (
	"context"
	"sync"
)

// workGroup counts work in progress. In contrast to sync.WaitGroup, work may be added
// while another goroutine waits for its end, as it happens during a planned stop.
type workGroup struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n becomes 0; nil if nobody waits
}

// Go runs f in a goroutine and counts it.
func (g *workGroup) Go(f func()) {
	g.mu.Lock()
	g.n++
	g.mu.Unlock()
	go func() {
		defer g.done()
		f()
	}()
}

func (g *workGroup) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n--
	if g.n == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Wait returns when no work is in progress or ctx has ended.
func (g *workGroup) Wait(ctx context.Context) {
	g.mu.Lock()
	if g.n == 0 {
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
