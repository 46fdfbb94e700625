// Command 2 shows that a controller that was frozen executes an order of the operator after its
// wake-up, although the operator has given that attempt up and a later order was acknowledged.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/figlb/figlb/platform/standin"
	"github.com/figlb/figlb/review/site"
)

const (
	zone         = "neng-a"
	replicas     = 8
	callers      = 12
	contactTime  = 3 * time.Second
	evacuateTime = 5 * time.Second // evacuate-ms
	freezeTime   = 6 * time.Second
	frozen       = 4 // number of the controller that is frozen
	ackTimeout   = 4 * time.Second
)

func main() { site.Main(110*time.Second, run) }

func run(folder string, trouble bool) (int, error) {
	s, err := site.New(folder, site.Small)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	runs := &site.Runs{}
	var list []*site.Replica
	for i := range replicas {
		t := &site.Replica{ID: fmt.Sprintf("i-order-%d", i+1), Service: "orders", Zone: site.Zones[i%3], Slots: 6, Queue: 24, Runs: runs, Record: s.Record,
			Work: func(*http.Request) time.Duration { return 26 * time.Millisecond }}
		if err := t.Start(s.Address(150+i) + ":8080"); err != nil {
			return 0, err
		}
		list = append(list, t)
	}
	s.List.Set(list...)
	if err := s.Start(site.Config(7, site.Route{Name: "proof", Prefix: "/proof/", Kind: "idempotent", TimeoutMS: 1200, TargetMS: 150, Priority: 2, Service: "orders", MaxAttempts: 2})); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { send(s, stop); close(done) }()
	acked, woken, ok := order(s, trouble)
	if !ok {
		return 0, fmt.Errorf("the orders were not acknowledged")
	}
	time.Sleep(contactTime + evacuateTime + 5*time.Second)
	close(stop)
	<-done
	return check(s, runs, acked, woken), nil
}

// order evacuates the zone, takes it back while a controller is frozen, and evacuates it again. It
// returns the time of the last acknowledgement and that at which the controller runs again.
func order(s *site.Site, trouble bool) (acked, woken time.Time, ok bool) {
	path := "/v1/evacuations/" + zone
	if !s.Operator.Order(http.MethodPost, path, nil, frozen, ackTimeout) {
		return acked, woken, false
	}
	time.Sleep(8 * time.Second)
	h := s.Controllers[frozen]
	start := time.Now()
	if trouble {
		h.Signal(syscall.SIGSTOP)
	}
	time.Sleep(200 * time.Millisecond)
	if !s.Operator.Order(http.MethodDelete, path, nil, frozen, ackTimeout) {
		return acked, woken, false
	}
	time.Sleep(time.Second)
	if !s.Operator.Order(http.MethodPost, path, nil, frozen+1, ackTimeout) {
		return acked, woken, false
	}
	acked = time.Now()
	s.Record.Printf("operator: the second evacuation of %s is acknowledged", zone)
	time.Sleep(time.Until(start.Add(freezeTime)))
	if trouble {
		h.Signal(syscall.SIGCONT)
	}
	return acked, time.Now(), true
}

// send lets callers fetch proofs until stop is closed.
func send(s *site.Site, stop <-chan struct{}) {
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			caller := standin.NewCaller()
			defer caller.Close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(100+rand.IntN(200)) * time.Millisecond):
				}
				id := fmt.Sprintf("proof-%02d-%04d", i, n)
				r := caller.Do(context.Background(), s.Gateways[(i+n)%len(s.Gateways)].Front(), &standin.Call{ID: id, Method: http.MethodGet,
					Host: site.PublicHost, Path: "/proof/image", Key: site.Key, Deadline: 1200 * time.Millisecond})
				s.Record.Printf("client: attempt %s is answered %d", id, r.Status)
			}
		})
	}
	wg.Wait()
}

// check applies the rule EVAC. All gateways are in touch from contactTime after the wake-up on.
func check(s *site.Site, runs *site.Runs, acked, woken time.Time) int {
	from := acked.Add(evacuateTime)
	if t := woken.Add(contactTime); t.After(from) {
		from = t
	}
	late, others := 0, 0
	for _, run := range runs.All() {
		switch {
		case run.At.Before(from):
		case run.Zone == zone:
			late++
			s.Record.Printf("RULE EVAC broken: request %s reaches %s in %s %.1f s after the acknowledged evacuation", run.ID, run.Replica, zone, run.At.Sub(acked).Seconds())
		default:
			others++
		}
	}
	summary := fmt.Sprintf("from %.1f s after the acknowledged evacuation on: %d requests in %s, %d in the other zones", from.Sub(acked).Seconds(), late, zone, others)
	s.Record.Printf("%s", summary)
	fmt.Println(summary)
	if late > 0 {
		return site.ExitBroken
	}
	return site.ExitHeld
}
