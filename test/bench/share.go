package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/standin/engine"
)

const (
	// targetEntries is the number of entries of a site of the intended size.
	targetEntries = 370
	answerTokens  = 320
	tokenTime     = 46 * time.Millisecond
)

// share measures one entry while 369 others poll: without requests, and at several rates
// around its share of 3,000 requests per second. Answers have 320 tokens at intervals of 46 ms.
func (b *bench) share() error {
	o := testsite.Options{
		Entries: 1, Engines: 5, Slots: 256, ColdSlots: 256, Groups: b.groups, Relays: true,
		EngineArgs: []string{"-step-base", tokenTime.String(), "-step-per-request", "0s", "-prefill-per-token", "0s", "-max-batch", "256"},
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
	p, err := startPollers(s, targetEntries-1)
	if err != nil {
		return err
	}
	defer p.stop()
	time.Sleep(5 * time.Second)
	for _, rate := range b.sizesOr(0, 4, 8, 16) {
		b.shareAt(s, key, rate)
	}
	return nil
}

func (b *bench) shareAt(s *site, key string, rate int) {
	var out sample
	done := make(chan struct{})
	answerTime := answerTokens*tokenTime + 2*time.Second
	go func() {
		defer close(done)
		if rate > 0 {
			openLoop(rate, answerTime+b.window, func(int) { out.add(wholeAnswer(s.EntryAddrs[0], key)) })
		}
	}()
	if rate > 0 {
		time.Sleep(answerTime) // until the number of in-flight answers is stable
	}
	m := startMeter(s.Entries)
	sent, received := s.EntryBytes(0)
	time.Sleep(b.window)
	label := fmt.Sprintf("share requests=%d/s", rate)
	m.report(label, s.roles())
	sentAfter, receivedAfter := s.EntryBytes(0)
	seconds := b.window.Seconds()
	<-done
	fmt.Printf("%s load=%s on state connections: sends %.2f KB/s, receives %.2f KB/s; answers %d, errors %d: %v\n",
		label, loadAverage(), float64(sentAfter-sent)/seconds/1e3, float64(receivedAfter-received)/seconds/1e3, out.count(), out.errors, out.lastErr)
}

// wholeAnswer requests a streamed answer of 320 tokens and reads it to the end.
func wholeAnswer(addr, key string) (time.Duration, error) {
	text := string(bytes.Repeat([]byte("brass "), 200)) + engine.LengthDirective + fmt.Sprint(answerTokens)
	body, err := json.Marshal(map[string]any{"model": "chat", "stream": true, "messages": []engine.Message{engine.TextMessage("user", text)}})
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	start := time.Now()
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if !bytes.HasSuffix(data, []byte("data: [DONE]\n\n")) {
		return 0, errors.Errorf("status %d, answer incomplete", resp.StatusCode)
	}
	return time.Since(start), nil
}
