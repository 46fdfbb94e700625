package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figlb/figlb/platform/standin"
)

// lookups sends repeatable requests to all gateways in turn until end is called.
type lookups struct {
	s    *site
	stop chan struct{}
	wg   sync.WaitGroup
	sent atomic.Int64
}

// lookupPause is the time between two requests.
const lookupPause = 20 * time.Millisecond

func (s *site) startLookups() *lookups {
	l := &lookups{s: s, stop: make(chan struct{})}
	caller := standin.NewCaller()
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		defer caller.Close()
		t := time.NewTicker(lookupPause)
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-t.C:
			}
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				l.send(caller, n)
			}()
		}
	}()
	return l
}

func (l *lookups) send(caller *standin.Caller, n int) {
	h := l.s.gateways[n%gateways]
	call := &standin.Call{ID: fmt.Sprintf("a%06d", n), Method: "GET", Host: "site.example", Path: fmt.Sprint("/look/", n), Key: key, Deadline: 1200 * time.Millisecond}
	l.sent.Add(1)
	r := caller.Do(context.Background(), h.front(), call)
	l.s.rec.line("sent at %s: attempt %s to %s: status %d, complete %t", l.s.rec.at(r.Sent), call.ID, h.name, r.Status, r.Complete)
}

// end stops the callers and waits for their answers.
func (l *lookups) end() {
	close(l.stop)
	l.wg.Wait()
}
