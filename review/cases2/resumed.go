package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/figlb/figlb/platform/standin"
)

const (
	// programs is the number of programs that have a turn under way when the gateway is killed.
	programs = 4
	// turnPause is the pause of the target before each of the standin.DraftEvents events, killAfter the time
	// after which the gateway is killed.
	turnPause = 150 * time.Millisecond
	killAfter = 900 * time.Millisecond
	// retryPause is the caller's pause before it takes a stream up, and maxTries the number of its tries.
	retryPause = 200 * time.Millisecond
	maxTries   = 3
)

// resumedTurn: a gateway is killed in the middle of turns whose history is kept and whose streams may be
// resumed. The callers resume them at another gateway and go on.
func resumedTurn(s *site) (int, error) {
	if err := s.keepDrafts(); err != nil {
		return 0, err
	}
	time.Sleep(contact) // the manifest is in force everywhere
	if troubled() {
		time.AfterFunc(killAfter, func() {
			s.gateways[0].signal(syscall.SIGKILL)
			s.rec.line("%s is killed", s.gateways[0].name)
		})
	}
	wrong, failed := make([]bool, programs), make([]error, programs)
	var wg sync.WaitGroup
	for i := range programs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			wrong[i], failed[i] = s.program(fmt.Sprint("p", i))
		}()
	}
	wg.Wait()
	broken := 0
	for _, w := range wrong {
		if w {
			broken++
		}
	}
	return broken, errors.Join(failed...)
}

// keepDrafts sends a manifest in which the route of drafts keeps their history.
func (s *site) keepDrafts() error {
	var manifest map[string]any
	if err := json.Unmarshal(standin.Document(2, map[string]string{tenant: key}, callRate), &manifest); err != nil {
		return err
	}
	for _, r := range manifest["routes"].([]any) {
		if route := r.(map[string]any); route["name"] == "draft" {
			route["keeps-history"] = true
		}
	}
	body, err := json.Marshal(manifest)
	if err != nil {
		return err
	}
	for n := range 20 {
		if s.operator.Put(s.controllers[n%controllers].control(), body) {
			s.rec.line("manifest 2 acknowledged: a route with keeps-history and resumable")
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the manifest was not acknowledged")
}

// program runs two turns of a program. It reports whether a target has run the second one with another body
// than the first turn's input and output and the second one's input.
func (s *site) program(name string) (wrong bool, err error) {
	caller := standin.NewCaller()
	defer caller.Close()
	first, events, text := s.firstTurn(caller, name)
	if first == "" {
		return false, fmt.Errorf("the first turn of program %s did not end", name)
	}
	input := "second input of " + name + "\n"
	call := s.turnCall(name, name+"-second", input)
	call.Previous = first
	r := caller.Do(context.Background(), s.gateways[1].front(), call)
	s.rec.line("program %s: second turn after %s: status %d, complete %t", name, first, r.Status, r.Complete)
	want := firstInput(name) + text + input
	for _, run := range s.log.RunsOf(call.ID) {
		s.rec.line("program %s: the caller has %d events of the first turn; the target got %q", name, events, run.Body)
		wrong = wrong || run.Body != want
	}
	if len(s.log.RunsOf(call.ID)) == 0 {
		return false, fmt.Errorf("the second turn of program %s has reached no target", name)
	}
	return wrong, nil
}

func firstInput(program string) string { return "first input of " + program + "\n" }

func (s *site) turnCall(program, id, body string) *standin.Call {
	return &standin.Call{ID: id, Method: "POST", Host: "site.example", Path: "/draft/" + program, Body: body, Key: key,
		Deadline: 3900 * time.Millisecond, Program: program, Budget: 10000, MaxTokens: 300, EventPause: turnPause}
}

// firstTurn runs the first turn of a program at the first gateway, and takes its stream up at the second one if
// it breaks off. It returns the attempt that ended whole, the number of events that the caller has, and their data as
// the history holds it.
func (s *site) firstTurn(caller *standin.Caller, program string) (attempt string, events int, text string) {
	call := s.turnCall(program, program+"-first-0", firstInput(program))
	began := call.ID
	h := s.gateways[0]
	var data strings.Builder
	for n := 1; n <= maxTries; n++ {
		r := caller.Do(context.Background(), h.front(), call)
		s.rec.line("program %s: attempt %s to %s, last event %d: status %d, complete %t, %d events", program, call.ID, h.name, call.LastEvent, r.Status, r.Complete, r.Events)
		if r.Status == 200 {
			events += r.Events
			appendData(&data, r.Body)
		}
		if r.Status == 200 && r.Complete {
			return call.ID, events, data.String()
		}
		time.Sleep(retryPause)
		h = s.gateways[1]
		call = s.turnCall(program, fmt.Sprint(program, "-first-", n), firstInput(program))
		if events > 0 {
			call.LastEvent, call.Resumes = events, began
		}
	}
	return "", events, ""
}

// appendData adds the data of the whole events of a stream, each followed by a line feed.
func appendData(out *strings.Builder, stream string) {
	parts := strings.Split(stream, "\n\n")
	for _, event := range parts[:len(parts)-1] {
		for _, line := range strings.Split(event, "\n") {
			if value, ok := strings.CutPrefix(line, "data: "); ok {
				out.WriteString(value + "\n")
			}
		}
	}
}
