// Command 3 shows that a turn loses the history of its program if the turn before it expires while
// it runs.
package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figlb/figlb/platform/standin"
	"github.com/figlb/figlb/review/site"
)

const (
	replicas    = 9
	events      = 16
	eventPause  = 200 * time.Millisecond
	slowFactor  = 5
	slowTime    = 6500 * time.Millisecond
	retention   = 60 * time.Second
	pause       = 59200 * time.Millisecond // between the first and the second turn, below the retention
	timeLimit   = 10 * time.Second
	contactTime = 3 * time.Second
	tries       = 6
)

func main() { site.Main(115*time.Second, run) }

func run(folder string, trouble bool) (int, error) {
	s, err := site.New(folder, site.Small)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	runs := &site.Runs{}
	var slow atomic.Pointer[site.Replica]
	var list []*site.Replica
	for i := range replicas {
		t := &site.Replica{ID: fmt.Sprintf("i-lm-%d", i+1), Service: "lm", Zone: site.Zones[i%3], Slots: 128, Queue: 384, Events: events, Runs: runs, Record: s.Record}
		t.Work = func(*http.Request) time.Duration {
			if slow.Load() == t {
				return slowFactor * eventPause
			}
			return eventPause
		}
		if err := t.Start(s.Address(150+i) + ":8080"); err != nil {
			return 0, err
		}
		list = append(list, t)
	}
	s.List.Set(list...)
	route := site.Route{Name: "clerk-chat", Prefix: "/chat/", Kind: "streaming", TimeoutMS: int(timeLimit.Milliseconds()), TargetMS: 200, Service: "lm",
		MaxAttempts: 2, KeepsHistory: true, RetentionS: retention.Seconds(), Sticky: true, GapMS: 1000}
	if err := s.Start(site.Config(7, route)); err != nil {
		return 0, err
	}
	c := &clerk{s: s, runs: runs, caller: standin.NewCaller()}
	defer c.caller.Close()
	first := c.turn(0, "clerk-1", "turn-1", "first input", "")
	if first.Status != 200 || !first.Complete {
		return 0, fmt.Errorf("the first turn was answered %d", first.Status)
	}
	firstEnd := time.Now()
	var others firstTurns
	stop := others.start(s)
	time.Sleep(time.Until(firstEnd.Add(pause)))
	if trouble {
		for _, t := range list {
			if t.ID == c.replicaOf("turn-1") {
				s.Record.Printf("%s turns slow, %d times, for %s", t.ID, slowFactor, slowTime)
				slow.Store(t)
				time.AfterFunc(slowTime, func() { slow.Store(nil); s.Record.Printf("%s is as usual again", t.ID) })
			}
		}
	}
	second := c.turn(1, "clerk-1", "turn-2", "second input", "turn-1")
	if second.Status != 200 || !second.Complete || second.Events != events {
		return 0, fmt.Errorf("the second turn was answered %d, complete: %t, %d events", second.Status, second.Complete, second.Events)
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	reached, statuses := c.continueFrom()
	stop()
	sent, served := others.counts()
	summary := fmt.Sprintf("tries to continue from the second turn: answers %v, reached a replica: %t; first turns of other programs: %d of %d served", statuses, reached, served, sent)
	s.Record.Printf("%s", summary)
	fmt.Println(summary)
	if !reached {
		s.Record.Printf("RULE LOST broken: turn-2 was answered whole %.1f s ago, below the retention of %s, and no try to continue from it reaches a replica",
			time.Since(c.secondEnd).Seconds(), retention)
		return site.ExitBroken, nil
	}
	return site.ExitHeld, nil
}

// clerk holds the conversation.
type clerk struct {
	s         *site.Site
	runs      *site.Runs
	caller    *standin.Caller
	secondEnd time.Time
}

func (c *clerk) turn(gateway int, program, id, input, previous string) standin.Result {
	g := c.s.Gateways[gateway%len(c.s.Gateways)]
	c.s.Record.Printf("client: turn %s, which continues from %q, sent to %s", id, previous, g.Name)
	r := c.caller.Do(context.Background(), g.Front(), &standin.Call{ID: id, Method: http.MethodPost, Host: site.PublicHost, Path: "/chat/ask", Body: input,
		Key: site.Key, Deadline: timeLimit, Program: program, Budget: 100000, MaxTokens: 600, Previous: previous})
	c.s.Record.Printf("client: turn %s is answered %d, complete: %t, %d events: %s", id, r.Status, r.Complete, r.Events, strings.TrimSpace(refusal(r)))
	c.secondEnd = time.Now()
	return r
}

// refusal returns the body of a failed turn.
func refusal(r standin.Result) string {
	if r.Status == 200 {
		return ""
	}
	return r.Body
}

func (c *clerk) replicaOf(id string) string {
	if list := c.runs.ByID()[id]; len(list) > 0 {
		return list[0].Replica
	}
	return ""
}

// continueFrom sends turns that continue from the second one to one gateway after another.
func (c *clerk) continueFrom() (reached bool, statuses []int) {
	end := c.secondEnd
	defer func() { c.secondEnd = end }()
	want := "first input" + site.Output("turn-1", events) + "second input" + site.Output("turn-2", events) + "third input"
	for n := range tries {
		id := fmt.Sprintf("turn-3-try-%d", n+1)
		r := c.turn(n, "clerk-1", id, "third input", "turn-2")
		statuses = append(statuses, r.Status)
		if list := c.runs.ByID()[id]; len(list) > 0 {
			reached = true
			if list[0].Body != want {
				c.s.Record.Printf("RULE UNASKED broken: the body of %s is not its chain", id)
			}
			return reached, statuses
		}
		time.Sleep(time.Second)
	}
	return false, statuses
}

// firstTurns sends first turns of other programs.
type firstTurns struct {
	mu           sync.Mutex
	sent, served int
}

func (f *firstTurns) start(s *site.Site) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			wg.Go(func() { f.send(s, n) })
			time.Sleep(500 * time.Millisecond)
		}
	})
	return func() { cancel(); wg.Wait() }
}

func (f *firstTurns) send(s *site.Site, n int) {
	caller := standin.NewCaller()
	defer caller.Close()
	id := fmt.Sprintf("other-%03d", n)
	r := caller.Do(context.Background(), s.Gateways[n%len(s.Gateways)].Front(), &standin.Call{ID: id, Method: http.MethodPost, Host: site.PublicHost,
		Path: "/chat/ask", Body: "input of " + id, Key: site.Key, Deadline: timeLimit, Program: id, Budget: 100000, MaxTokens: 600})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	if r.Status == 200 && r.Complete {
		f.served++
	}
}

func (f *firstTurns) counts() (sent, served int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent, f.served
}
