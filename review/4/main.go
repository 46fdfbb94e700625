// Command 4 shows that a stream without a length, whose replica crashes in the middle of an event,
// reaches the client as a complete success and is kept as a whole turn.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
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
	// crashAfter is the number of complete events after which the replica is killed.
	crashAfter = 8
)

func main() {
	if len(os.Args) == 5 && os.Args[1] == "replica" {
		serveReplica(os.Args[2], os.Args[3], os.Args[4])
		return
	}
	site.Main(60*time.Second, run)
}

func replica(id, zone string) *site.Replica {
	return &site.Replica{ID: id, Service: "lm", Zone: zone, Slots: 128, Queue: 384, Events: events, Unframed: true, Runs: &site.Runs{},
		Work: func(*http.Request) time.Duration { return eventPause }}
}

// serveReplica is the main function of a replica's process.
func serveReplica(id, zone, address string) {
	t := replica(id, zone)
	t.Record = site.NewRecordTo(os.Stdout)
	if err := t.Start(address); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println("ready")
	select {}
}

func run(folder string, trouble bool) (int, error) {
	s, err := site.New(folder, site.Small)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	var list []*site.Replica
	processes := map[string]*site.RemoteReplica{}
	for i := range replicas {
		p, err := s.StartRemote(replica(fmt.Sprintf("i-lm-%d", i+1), site.Zones[i%3]), s.Address(150+i)+":8080")
		if err != nil {
			return 0, err
		}
		defer p.Kill()
		processes[p.ID] = p
		list = append(list, p.Replica)
	}
	s.List.Set(list...)
	if err := s.Start(site.Config(7, site.Route{Name: "clerk-chat", Prefix: "/chat/", Kind: "streaming", TimeoutMS: int(timeLimit.Milliseconds()), TargetMS: 200,
		Service: "lm", MaxAttempts: 2, KeepsHistory: true, RetentionS: 60, Sticky: true, GapMS: 300})); err != nil {
		return 0, err
	}
	a, err := turn(s, s.Gateways[0], "turn-1", "", func(a *answer) {
		if trouble && a.events == crashAfter && a.rest != "" {
			s.Record.Printf("kill the process of replica %s in the middle of event %d", a.replica, a.events+1)
			processes[a.replica].Kill()
		}
	})
	if err != nil {
		return 0, err
	}
	next, err := turn(s, s.Gateways[1], "turn-2", "turn-1", func(*answer) {})
	if err != nil {
		return 0, err
	}
	return check(s, a, next), nil
}

// check applies the rules ORDER and MIXED to the first turn.
func check(s *site.Site, a, next *answer) int {
	summary := fmt.Sprintf("the stream has %d of %d events and %q after them; status %d, signed: %t, ends as complete: %t; a turn that continues from it is answered %d",
		a.events, events, a.rest, a.status, a.signed, a.complete, next.status)
	s.Record.Printf("%s", summary)
	fmt.Println(summary)
	if a.status == http.StatusOK && a.complete && a.events < events {
		s.Record.Printf("RULE ORDER broken: the stream ends as complete before its last piece")
		s.Record.Printf("RULE MIXED broken: an answer that ends early looks complete")
		return site.ExitBroken
	}
	return site.ExitHeld
}

// answer is what the client has seen of a response.
type answer struct {
	status   int
	replica  string
	signed   bool
	events   int    // complete ones
	rest     string // bytes after the last complete event
	complete bool   // the response has reached its end
}

// turn sends a turn, reads its stream and calls onBytes after each read.
func turn(s *site.Site, g *site.Host, id, previous string, onBytes func(*answer)) (*answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.Front()+"/chat/ask", strings.NewReader("input of "+id))
	if err != nil {
		return nil, err
	}
	req.Host = site.PublicHost
	for name, value := range map[string]string{"Attempt-Id": id, "Credential": site.Key, "Program-Id": "p1", "Session-Id": "s1", "Program-Deadline-Ms": "20000",
		"Token-Budget": "100000", "Token-Count": "100,600", "Deadline-Ms": strconv.FormatInt(timeLimit.Milliseconds(), 10)} {
		req.Header.Set(name, value)
	}
	if previous != "" {
		req.Header.Set("Previous-Turn", previous)
	}
	s.Record.Printf("client: turn %s to %s, previous turn %q", id, g.Name, previous)
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	a := &answer{status: resp.StatusCode, replica: resp.Header.Get("Instance-Id"), signed: resp.Header.Get("Response-Signature") != ""}
	s.Record.Printf("client: turn %s is answered %d by %s, transfer encoding %v", id, a.status, a.replica, resp.TransferEncoding)
	reader := bufio.NewReader(resp.Body)
	buf := make([]byte, 4096)
	for {
		n, err := reader.Read(buf)
		a.rest += string(buf[:n])
		for {
			_, rest, found := strings.Cut(a.rest, "\n\n")
			if !found {
				break
			}
			a.events, a.rest = a.events+1, rest
		}
		if n > 0 {
			onBytes(a)
		}
		if err != nil {
			a.complete = err == io.EOF
			s.Record.Printf("client: turn %s ends after %d events and %q, complete: %t", id, a.events, a.rest, a.complete)
			return a, nil
		}
	}
}
