package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/structs"
)

// pollInterval is the interval at which entries poll the configuration.
const pollInterval = time.Second

// pollers simulate entries that poll the configuration, each on its own connection.
type pollers struct {
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	latency    sample
	mu         sync.Mutex
	replyBytes int // encoded size of the last reply
}

func startPollers(s *site, n int) (*pollers, error) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &pollers{cancel: cancel}
	for i := range n {
		client, err := stateclient.New(s.MemberAddrs, s.groups, nil)
		if err != nil {
			return p, err
		}
		id := fmt.Sprintf("fake-%d", i)
		poll := structs.ConfirmConfig{
			Entry:       structs.EntryInfo{ID: id, Zone: "zone-a", Address: "127.0.0.1:1"},
			Incarnation: id + "/" + uuid.NewString(),
		}
		p.wg.Go(func() {
			defer client.Close()
			time.Sleep(rand.N(pollInterval))
			p.run(ctx, client, poll)
		})
	}
	return p, nil
}

func (p *pollers) run(ctx context.Context, client *stateclient.Client, poll structs.ConfirmConfig) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		start := time.Now()
		r, err := client.Confirm(ctx, poll)
		if ctx.Err() != nil {
			return
		}
		p.latency.add(time.Since(start), err)
		if err == nil {
			poll.Revision = r.Revision
			p.recordReplySize(r)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *pollers) recordReplySize(r *structs.ConfirmReply) {
	data, _ := msgpack.Marshal(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replyBytes = len(data)
}

func (p *pollers) stop() {
	p.cancel()
	p.wg.Wait()
}

// polls measures the members and one entry while a number of simulated entries poll.
func (b *bench) polls() error {
	s, err := b.start(testsite.Options{Entries: 1, Relays: true})
	if err != nil {
		return err
	}
	defer s.close()
	for _, n := range b.sizesOr(0, 90, 185, 370) {
		p, err := startPollers(s, n)
		if err != nil {
			return err
		}
		time.Sleep(5 * time.Second) // until the list of live entries is complete
		label := fmt.Sprintf("polls entries=%d", n+1)
		m := startMeter(s.Members, s.Entries)
		sent, received := s.EntryBytes(0)
		time.Sleep(b.window)
		m.report(label, s.roles())
		sentAfter, receivedAfter := s.EntryBytes(0)
		seconds := b.window.Seconds()
		fmt.Printf("%s load=%s entry on its state connections: sends %.2f KB/s, receives %.2f KB/s; reply to an unchanged poll %d bytes; poll p50 %.2f p99 %.2f ms, errors %d\n",
			label, loadAverage(), float64(sentAfter-sent)/seconds/1e3, float64(receivedAfter-received)/seconds/1e3, p.replyBytes, p.latency.quantile(.5), p.latency.quantile(.99), p.latency.errors)
		p.stop()
	}
	return nil
}
