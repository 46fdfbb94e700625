package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/standin/engine"
	"github.com/figlb/figlb/structs"
)

const (
	engines   = 10
	maxTokens = 8
	// probeRate is the number of durable rounds per second that are timed alongside the load.
	probeRate = 20
)

// fastEngine are engine arguments that make the stand-in's own time to first token short and
// constant.
var fastEngine = []string{"-step-base", "300us", "-step-per-request", "0s", "-prefill-per-token", "0s", "-max-batch", "256", "-event-loss", "0"}

var highLimits = structs.Limits{Revision: 1, Rate: 1e6, Burst: 1e6, BudgetTokens: 1e12, MaxTurns: 1000}

// ttft measures the added time to first token at each number of entries.
func (b *bench) ttft() error {
	for _, n := range b.sizesOr(6) {
		if err := b.ttftAt(n); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) ttftAt(entries int) error {
	o := testsite.Options{Entries: entries, Engines: engines, EngineArgs: fastEngine, Slots: 256, ColdSlots: 256, Groups: 4}
	if b.traced {
		o.EntryExtra = "[trace]\nexporter = file\nendpoint = /dev/stdout\nsampler = 0.1\n"
		o.StateExtra = o.EntryExtra
	}
	s, err := b.start(o)
	if err != nil {
		return err
	}
	defer s.close()
	key, err := s.key()
	if err != nil {
		return err
	}
	direct, via, idle, loaded := &sample{}, &sample{}, &sample{}, &sample{}
	openLoop(probeRate, 2*time.Second, func(int) { idle.add(s.timeDurableRound()) })
	b.chats(s.EngineAddrs, "", "m1", time.Second, &sample{})
	b.chats(s.EntryAddrs, key, "chat", 2*time.Second, &sample{})
	var m *meter
	for round := range b.rounds {
		b.chats(s.EngineAddrs, "", "m1", b.window, direct)
		if round == b.rounds-1 {
			m = startMeter(s.Entries, s.Members, []*testsite.Process{s.Engines})
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			openLoop(probeRate, b.window, func(int) { loaded.add(s.timeDurableRound()) })
		}()
		b.chats(s.EntryAddrs, key, "chat", b.window, via)
		<-done
	}
	label := fmt.Sprintf("ttft entries=%d rate=%d", entries, b.rate)
	m.report(label, s.roles())
	fmt.Printf("%s load=%s direct p50 %.3f p95 %.3f ms (n=%d, errors %d); through figlb p50 %.3f p95 %.3f p99 %.3f ms (n=%d, errors %d); added p50 %.3f ms; durable round p50 idle %.3f loaded %.3f p95 %.3f ms (n=%d, errors %d); added less one loaded round %.3f ms\n",
		label, loadAverage(), direct.quantile(.5), direct.quantile(.95), direct.count(), direct.errors, via.quantile(.5), via.quantile(.95), via.quantile(.99), via.count(), via.errors,
		via.quantile(.5)-direct.quantile(.5), idle.quantile(.5), loaded.quantile(.5), loaded.quantile(.95), loaded.count(), loaded.errors, via.quantile(.5)-direct.quantile(.5)-loaded.quantile(.5))
	if via.lastErr != nil {
		fmt.Println("last error:", via.lastErr)
	}
	if b.traced {
		reportSpans(s)
	}
	return nil
}

// timeDurableRound measures one command that a majority must store durably: a debit from a
// token bucket.
func (s *site) timeDurableRound() (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	start := time.Now()
	err := s.client.Debit(ctx, "acme-probe", structs.Debit{Limits: highLimits})
	return time.Since(start), err
}

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}

// chats sends chat requests at the bench's rate, to the addresses in round-robin order.
func (b *bench) chats(addrs []string, key, model string, window time.Duration, out *sample) {
	openLoop(b.rate, window, func(i int) {
		out.add(firstToken(addrs[i%len(addrs)], key, model))
	})
}

// firstToken returns the time until the first text of a streamed answer arrives, and reads
// the answer to its end.
func firstToken(addr, key, model string) (time.Duration, error) {
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": maxTokens,
		"messages": []engine.Message{engine.TextMessage("user", "A monogram proof for a brass plate, three letters.")},
	})
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	start := time.Now()
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return 0, errors.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return readFirst(resp.Body, start)
}

func readFirst(r io.Reader, start time.Time) (time.Duration, error) {
	var first time.Duration
	complete := false
	scan := bufio.NewScanner(r)
	for scan.Scan() {
		line := scan.Bytes()
		if first == 0 && bytes.Contains(line, []byte(`"content":"`)) && !bytes.Contains(line, []byte(`"content":""`)) {
			first = time.Since(start)
		}
		complete = complete || bytes.Equal(line, []byte("data: [DONE]"))
	}
	if !complete || first == 0 {
		return 0, errors.Errorf("the answer is incomplete: %v", scan.Err())
	}
	return first, nil
}
