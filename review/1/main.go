// Command 1 shows that a late copy of a target's refusal makes a gateway send a request that may
// run only once to a second target while the first one runs it.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figlb/figlb/platform/standin"
	"github.com/figlb/figlb/review/site"
)

const (
	replicas = 2
	slots    = 6
	queue    = 4
	workMS   = 104 // mean work of a print order on the sheet
	callers  = 40
	// copyShare is the share of the answers of one replica that are followed by a late extra copy
	// while the disruption lasts.
	copyShare = 0.03
	// disruptions is the number of times that the disruption comes. Each one lasts for
	// disruptionTime, and disruptionPause is the time between two.
	disruptions     = 10
	disruptionTime  = 5 * time.Second
	disruptionPause = 2 * time.Second
)

func main() { site.Main(110*time.Second, run) }

func run(folder string, trouble bool) (int, error) {
	s, err := site.New(folder, site.Small)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	runs := &site.Runs{}
	var garbling atomic.Bool
	var list []*site.Replica
	for i := range replicas {
		t := &site.Replica{ID: fmt.Sprintf("i-order-%d", i+1), Service: "orders", Zone: site.Zones[i], Slots: slots, Queue: queue, Runs: runs, Record: s.Record,
			Work: func(*http.Request) time.Duration { return time.Duration(workMS/2+rand.IntN(workMS)) * time.Millisecond }}
		if trouble && i == 0 {
			t.CopyLate = func(int) bool { return garbling.Load() && rand.Float64() < copyShare }
		}
		if err := t.Start(s.Address(150+i) + ":8080"); err != nil {
			return 0, err
		}
		list = append(list, t)
	}
	s.List.Set(list...)
	if err := s.Start(site.Config(7, site.Route{Name: "print", Prefix: "/print/", Kind: "non_idempotent", TimeoutMS: 3000, TargetMS: 500, Priority: 2, Service: "orders", MaxAttempts: 2})); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	answers := make(chan map[string]int)
	go func() { answers <- send(s, stop) }()
	for range disruptions {
		garbling.Store(true)
		time.Sleep(disruptionTime)
		garbling.Store(false)
		time.Sleep(disruptionPause)
	}
	close(stop)
	got := <-answers
	time.Sleep(2 * time.Second) // requests that are still at work
	return check(s, got, runs), nil
}

// send lets callers submit print orders until stop is closed and returns the status of each attempt.
func send(s *site.Site, stop <-chan struct{}) map[string]int {
	var mu sync.Mutex
	answers := map[string]int{}
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			caller := standin.NewCaller()
			defer caller.Close()
			for n := 0; !closed(stop); n++ {
				id := fmt.Sprintf("order-%02d-%04d", i, n)
				r := caller.Do(context.Background(), s.Gateways[(i+n)%len(s.Gateways)].Front(), &standin.Call{ID: id, Method: http.MethodPost,
					Host: site.PublicHost, Path: "/print/order", Body: "print " + id, Key: site.Key, Deadline: 3 * time.Second})
				s.Record.Printf("client: attempt %s is answered %d", id, r.Status)
				mu.Lock()
				answers[id] = r.Status
				mu.Unlock()
				time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return answers
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// check applies the rules TWICE and REFUSED.
func check(s *site.Site, answers map[string]int, runs *site.Runs) int {
	twice, refused := 0, 0
	counts := map[int]int{}
	for _, status := range answers {
		counts[status]++
	}
	for id, list := range runs.ByID() {
		if len(list) > 1 {
			twice++
			s.Record.Printf("RULE TWICE broken: attempt %s ran %d times, first at %s and then at %s; the client got %d", id, len(list), list[0].Replica, list[1].Replica, answers[id])
		}
		if status := answers[id]; status == 429 || status == 503 {
			refused++
			s.Record.Printf("RULE REFUSED broken: attempt %s was answered %d and has run at %s", id, status, list[0].Replica)
		}
	}
	summary := fmt.Sprintf("%d attempts, answers by status %v, %d ran twice, %d were refused and ran", len(answers), counts, twice, refused)
	s.Record.Printf("%s", summary)
	fmt.Println(summary)
	if twice+refused > 0 {
		return site.ExitBroken
	}
	return site.ExitHeld
}
