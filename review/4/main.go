// Command 4 shows that the history of a turn whose stream was resumed lacks the events that the
// client had received before the resumption.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/figlb/figlb/review/site"
)

const (
	replicas   = 9
	events     = 16
	eventPause = 60 * time.Millisecond
	timeLimit  = 4 * time.Second
)

func main() { site.Main(60*time.Second, run) }

func run(folder string, trouble bool) (int, error) {
	s, err := site.New(folder, site.Small)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	runs := &site.Runs{}
	var list []*site.Replica
	for i := range replicas {
		t := &site.Replica{ID: fmt.Sprintf("i-lm-%d", i+1), Service: "lm", Zone: site.Zones[i%3], Slots: 128, Queue: 384, Events: events, Runs: runs, Record: s.Record,
			Work: func(*http.Request) time.Duration { return eventPause }}
		if err := t.Start(s.Address(150+i) + ":8080"); err != nil {
			return 0, err
		}
		list = append(list, t)
	}
	s.List.Set(list...)
	if err := s.Start(site.Config(7, site.Route{Name: "clerk-chat", Prefix: "/chat/", Kind: "streaming", TimeoutMS: int(timeLimit.Milliseconds()), TargetMS: 200,
		Service: "lm", MaxAttempts: 2, KeepsHistory: true, RetentionS: 60, Sticky: true, Resumable: true, GapMS: 300})); err != nil {
		return 0, err
	}
	var received []string // data of the events of the first turn, in order
	onEvent := func(n int) {
		if trouble && n == events/2 {
			s.Gateways[0].Signal(9)
		}
	}
	data, whole := turn(s, s.Gateways[0], "turn-1", "", 0, "first input", onEvent)
	received = append(received, data...)
	last := "turn-1"
	if !whole {
		last = "turn-1-resumed"
		data, whole = turn(s, s.Gateways[1], last, "", len(received), "first input", func(int) {})
		received = append(received, data...)
	}
	if !whole || len(received) != events {
		return 0, fmt.Errorf("the first turn has %d events, complete: %t", len(received), whole)
	}
	if _, whole := turn(s, s.Gateways[2], "turn-2", last, 0, "second input", func(int) {}); !whole {
		return 0, errors.New("the second turn is not complete")
	}
	return check(s, runs, received), nil
}

// check applies the rule UNASKED to the body of the second turn.
func check(s *site.Site, runs *site.Runs, received []string) int {
	want := "first input" + strings.Join(received, "\n") + "\nsecond input"
	got := runs.ByID()["turn-2"][0].Body
	s.Record.Printf("the second turn's body is %q", got)
	s.Record.Printf("the client's chain is     %q", want)
	missing := 0
	for _, d := range received {
		if !strings.Contains(got, d+"\n") {
			missing++
		}
	}
	summary := fmt.Sprintf("%d of the first turn's %d events are missing in the second turn's body", missing, len(received))
	s.Record.Printf("%s", summary)
	fmt.Println(summary)
	if got != want {
		s.Record.Printf("RULE UNASKED broken")
		return site.ExitBroken
	}
	return site.ExitHeld
}

// turn sends a turn and reads its stream. It returns the data of the events and whether the stream
// has reached its end.
func turn(s *site.Site, g *site.Host, id, previous string, lastEvent int, input string, onEvent func(n int)) (data []string, whole bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.Front()+"/chat/ask", strings.NewReader(input))
	if err != nil {
		return nil, false
	}
	req.Host = site.PublicHost
	for name, value := range map[string]string{"Attempt-Id": id, "Credential": site.Key, "Program-Id": "p1", "Session-Id": "s1", "Program-Deadline-Ms": "20000",
		"Token-Budget": "100000", "Token-Count": "100,600", "Deadline-Ms": strconv.FormatInt(timeLimit.Milliseconds(), 10)} {
		req.Header.Set(name, value)
	}
	if previous != "" {
		req.Header.Set("Previous-Turn", previous)
	}
	if lastEvent > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(lastEvent))
	}
	s.Record.Printf("client: turn %s to %s, previous turn %q, last event %d", id, g.Name, previous, lastEvent)
	resp, err := (&http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true}}).Do(req)
	if err != nil {
		s.Record.Printf("client: turn %s gets no response: %v", id, err)
		return nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadString('\n')
		if d, ok := strings.CutPrefix(line, "data: "); ok && err == nil {
			data = append(data, strings.TrimSuffix(d, "\n"))
			onEvent(len(data))
		}
		if err != nil {
			whole = err == io.EOF && resp.StatusCode == http.StatusOK
			s.Record.Printf("client: turn %s is answered %d, %d events, complete: %t", id, resp.StatusCode, len(data), whole)
			return data, whole
		}
	}
}
