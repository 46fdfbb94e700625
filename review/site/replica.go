package site

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one execution of a request at a replica.
type Run struct {
	ID, Replica, Zone, Body, Path, Tenant string
	At                                    time.Time
}

// Runs records the executions at all replicas.
type Runs struct {
	mu  sync.Mutex
	all []Run
}

func (r *Runs) add(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, run)
}

// All returns all runs in the order in which they began.
func (r *Runs) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.all...)
}

// ByID returns the runs by the id of the attempt.
func (r *Runs) ByID() map[string][]Run {
	out := map[string][]Run{}
	for _, run := range r.All() {
		out[run.ID] = append(out[run.ID], run)
	}
	return out
}

// Replica is a stand-in for a replica of a service. It works on Slots requests at once, queues
// Queue more and rejects all others. A channel carries one request at a time.
type Replica struct {
	ID, Service, Zone string
	Slots, Queue      int
	// Work returns how long the replica works on a request, on a stream between two events.
	Work func(*http.Request) time.Duration
	// Events is the number of events of a stream; 0: the replica sends plain answers.
	Events int
	// Unframed makes streams have no length: they end with their channel. Each event is sent in two
	// parts, with half of Work between them.
	Unframed bool
	Runs     *Runs
	Record   *Record
	// CopyLate chooses the answers of which an extra copy arrives late, where the next answer on the
	// channel is expected. It may be nil.
	CopyLate func(status int) bool
	// Crashes chooses the requests that crash the replica when it begins to run them. It may be nil.
	Crashes func(r *http.Request, body string) bool
	// DownFor is how long the replica is down after a crash.
	DownFor time.Duration

	address string
	mu      sync.Mutex
	ln      net.Listener
	conns   map[net.Conn]bool
	waiting int
	crashes int
	free    chan struct{}
}

// Start listens on the address.
func (t *Replica) Start(address string) error {
	t.address = address
	t.free = make(chan struct{}, t.Slots)
	for range t.Slots {
		t.free <- struct{}{}
	}
	return t.listen()
}

func (t *Replica) listen() error {
	ln, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.ln, t.conns = ln, map[net.Conn]bool{}
	t.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.mu.Lock()
			t.conns[c] = true
			t.mu.Unlock()
			go t.serve(c)
		}
	}()
	return nil
}

// Address returns the replica's address.
func (t *Replica) Address() string { return t.address }

// CrashCount returns how often the replica has crashed.
func (t *Replica) CrashCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashes
}

// crash closes the listener and resets all channels; the replica is back after DownFor.
func (t *Replica) crash() {
	t.mu.Lock()
	t.crashes++
	_ = t.ln.Close()
	for c := range t.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	t.mu.Unlock()
	time.AfterFunc(t.DownFor, func() {
		for t.listen() != nil {
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// serve handles the requests of one channel.
func (t *Replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	lateCopy := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if lateCopy != "" {
			t.Record.Printf("%s: late copy of an earlier answer on the channel of request %s", t.ID, r.Header.Get("Attempt-Id"))
			_, _ = io.WriteString(c, lateCopy)
			lateCopy = ""
		}
		ctx, cancel := context.WithCancel(context.Background())
		closed := watchClose(c, reader, cancel)
		status, answer := t.handle(ctx, c, r, string(body))
		cancel()
		_ = c.SetReadDeadline(time.Now()) // ends watchClose
		<-closed
		_ = c.SetReadDeadline(time.Time{})
		if answer == "" {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if t.CopyLate != nil && t.CopyLate(status) {
			lateCopy = answer
		}
	}
}

// watchClose calls cancel if the peer closes the channel before its answer.
func watchClose(c net.Conn, reader *bufio.Reader, cancel func()) chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := reader.Peek(1); err != nil {
			if e, ok := err.(net.Error); !ok || !e.Timeout() {
				cancel()
			}
		}
	}()
	return done
}

// handle runs or rejects a request and returns the status and the answer to write. An empty answer
// means that nothing is to be written and the channel is to be closed.
func (t *Replica) handle(ctx context.Context, c net.Conn, r *http.Request, body string) (int, string) {
	id := r.Header.Get("Attempt-Id")
	if r.URL.Path == "/healthz" {
		return 200, t.answer(200, "OK", "", "", "")
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != t.ID {
		return 421, t.answer(421, "Misdirected Request", id, "", "")
	}
	if !t.enter(ctx) {
		t.Record.Printf("%s: rejects request %s (not run)", t.ID, id)
		return 503, t.answer(503, "Service Unavailable", id, "Not-Executed: 1\r\n", "")
	}
	defer t.leave()
	t.Runs.add(Run{ID: id, Replica: t.ID, Zone: t.Zone, Body: body, Path: r.URL.Path, Tenant: r.Header.Get("Tenant"), At: time.Now()})
	t.Record.Printf("%s: runs request %s (%s)", t.ID, id, r.URL.Path)
	if t.Crashes != nil && t.Crashes(r, body) {
		t.Record.Printf("%s: crashes while it runs request %s", t.ID, id)
		t.crash()
		return 0, ""
	}
	switch {
	case t.Events > 0 && t.Unframed:
		t.streamUnframed(ctx, c, r, id)
		return 0, ""
	case t.Events > 0:
		t.stream(ctx, c, r, id)
		return 0, ""
	}
	if !sleep(ctx, t.Work(r)) {
		t.Record.Printf("%s: the channel of request %s is closed while it runs", t.ID, id)
		return 0, ""
	}
	text := "answer to " + id
	return 200, t.answer(200, "OK", id, "Response-Signature: sig-"+id+"\r\n", text)
}

// enter takes a slot, waiting for it in the queue. It returns false if the queue is full.
func (t *Replica) enter(ctx context.Context) bool {
	select {
	case <-t.free:
		return true
	default:
	}
	t.mu.Lock()
	if t.waiting >= t.Queue {
		t.mu.Unlock()
		return false
	}
	t.waiting++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
	}()
	select {
	case <-t.free:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Replica) leave() { t.free <- struct{}{} }

func (t *Replica) answer(status int, reason, id, extra, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nInstance-Id: %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=15\r\n", status, reason, t.ID, len(body))
	if id != "" {
		head += "Attempt-Id: " + id + "\r\n"
	}
	return head + extra + "Server-Load: " + t.load() + "\r\n\r\n" + body
}

func (t *Replica) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join([]string{strconv.Itoa(t.Slots - len(t.free)), strconv.Itoa(t.waiting), strconv.Itoa(t.Slots)}, ",")
}

// stream sends a chunked stream of events and then closes the channel.
func (t *Replica) stream(ctx context.Context, c net.Conn, r *http.Request, id string) {
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if the stream is not resumed
	for i := first; i < t.Events; i++ {
		if !sleep(ctx, t.Work(r)) {
			t.Record.Printf("%s: the channel of stream %s is closed after %d events", t.ID, id, i)
			return
		}
		text := ""
		if i == first {
			text = fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: sig-%s\r\nInstance-Id: %s\r\n"+
				"Content-Type: text/event-stream\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n", id, id, t.ID)
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, EventData(id, i))
		text += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	t.Record.Printf("%s: stream %s is complete", t.ID, id)
}

// streamUnframed sends a stream that ends with its channel.
func (t *Replica) streamUnframed(ctx context.Context, c net.Conn, r *http.Request, id string) {
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: sig-%s\r\nInstance-Id: %s\r\n"+
		"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, id, t.ID)
	for i := range t.Events {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, EventData(id, i))
		half := len(event) / 2
		for _, part := range []string{text + event[:half], event[half:]} {
			if !sleep(ctx, t.Work(r)/2) {
				t.Record.Printf("%s: the channel of stream %s is closed after %d events", t.ID, id, i)
				return
			}
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
		}
		text = ""
	}
	t.Record.Printf("%s: stream %s is complete", t.ID, id)
}

// EventData returns the data of event i of the stream of a turn.
func EventData(id string, i int) string { return fmt.Sprintf("%s-%d", id, i) }

// Output returns what a complete stream of n events adds to the history of its turn.
func Output(id string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(EventData(id, i) + "\n")
	}
	return b.String()
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
