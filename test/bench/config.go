package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/entry/middleware/auth"
	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/structs"
)

// changeCount is the number of configuration changes of each kind that are timed.
const changeCount = 15

// config measures configurations with a number of organisations that have one key each.
func (b *bench) config() error {
	for _, n := range b.sizesOr(1000, 3000, 10000) {
		if err := b.configAt(n); err != nil {
			return err
		}
	}
	return nil
}

func organisations(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "[organisation org-%d]\nrate = 20/s\nburst = 40\nweight = 1\nbudget_tokens = 1000000\nmax_turns = 370\n", i)
	}
	return b.String()
}

func (b *bench) configAt(n int) error {
	s, err := b.start(testsite.Options{Entries: 2, Organisations: organisations(n)})
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.grantKeys(n); err != nil {
		return err
	}
	if err := s.addTargets(b.extraTargets); err != nil {
		return err
	}
	p, err := startPollers(s, b.extraEntries)
	if err != nil {
		return err
	}
	defer p.stop()
	time.Sleep(settleTime)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	start := time.Now()
	full, err := s.client.Confirm(ctx, structs.ConfirmConfig{})
	if err != nil {
		return err
	}
	took := time.Since(start)
	delta, err := s.client.Confirm(ctx, structs.ConfirmConfig{Revision: full.Revision - 1})
	if err != nil {
		return err
	}
	inForce, err := s.timeInForce()
	if err != nil {
		return err
	}
	fmt.Printf("config organisations=%d targets=%d pollers=%d load=%s full %d objects, %d bytes, read in %.1f ms; delta of one key %d bytes; in force at both entries after p50 %.0f max %.0f ms (n=%d)\n",
		n, b.extraTargets, b.extraEntries, loadAverage(), len(full.Objects), encodedSize(full), took.Seconds()*1e3, encodedSize(delta), inForce.quantile(.5), inForce.quantile(1), inForce.count())
	return b.changeRates(s, n)
}

// addTargets declares n targets, each on its own host, at addresses that refuse connections.
func (s *site) addTargets(n int) error {
	if n == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	q, err := s.client.QueryConfig(ctx, structs.ConfigQuery{Kinds: []structs.Kind{structs.KindSite}, DeclarationOf: structs.CurrentDeclaration})
	if err != nil {
		return err
	}
	d := q.Declaration
	for i := range n {
		host := fmt.Sprintf("gpu-extra-%d", i)
		d.Hosts = append(d.Hosts, structs.Host{Name: host, Zone: "zone-a"})
		d.Targets = append(d.Targets, structs.Target{
			Name: fmt.Sprintf("engine-extra-%d", i), Host: host, Address: fmt.Sprintf("127.0.0.1:%d", 1+i%1000), Model: "m1", Slots: 16, ColdSlots: 2,
		})
	}
	_, err = s.client.ApplyConfig(ctx, "bench", structs.ApplyConfig{PlannedFrom: q.Revision, Declaration: *d})
	return err
}

func encodedSize(v any) int {
	data, _ := msgpack.Marshal(v)
	return len(data)
}

func newKey(org string, i int) (text string, key structs.Key) {
	text = fmt.Sprintf("fk_bench_%s_%d_%d", org, i, time.Now().UnixNano())
	return text, structs.Key{ID: "k" + auth.HashKey(text)[:12], Hash: auth.HashKey(text), Organisation: org}
}

// grantKeys grants a key to each organisation.
func (s *site) grantKeys(n int) error {
	var wg sync.WaitGroup
	slots := make(chan struct{}, 64)
	var out sample
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			out.add(0, s.grantKey(newKeyOf(i)))
		})
	}
	wg.Wait()
	return out.lastErr
}

func newKeyOf(i int) structs.Key {
	_, key := newKey(fmt.Sprintf("org-%d", i), i)
	return key
}

func (s *site) grantKey(key structs.Key) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := s.client.GrantKey(ctx, "bench", key)
	return err
}

// timeInForce measures the time from the commit of a new key until all entries accept it.
func (s *site) timeInForce() (*sample, error) {
	out := &sample{}
	for i := range changeCount {
		time.Sleep(rand.N(pollInterval)) // otherwise each change would come right after a poll
		text, key := newKey("org-1", i)
		if err := s.grantKey(key); err != nil {
			return nil, err
		}
		start := time.Now()
		for _, addr := range s.EntryAddrs {
			if err := awaitKey(addr, text); err != nil {
				return nil, err
			}
		}
		out.add(time.Since(start), nil)
	}
	return out, nil
}

func awaitKey(addr, key string) error {
	deadline := time.Now().Add(callTimeout)
	for time.Now().Before(deadline) {
		req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/v1/models", nil)
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := httpClient.Do(req)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return errors.Errorf("entry %s does not accept the key", addr)
}

// changeRates measures members and entries at several rates of change.
func (b *bench) changeRates(s *site, n int) error {
	for _, rate := range []int{0, 1, 10, 50} {
		var out sample
		m := startMeter(s.Members, s.Entries)
		if rate == 0 {
			time.Sleep(b.window)
		} else {
			openLoop(rate, b.window, func(i int) {
				start := time.Now()
				err := s.grantKey(newKeyOf(i % n))
				out.add(time.Since(start), err)
			})
		}
		label := fmt.Sprintf("config organisations=%d changes=%d/s", n, rate)
		m.report(label, s.roles())
		fmt.Printf("%s load=%s accepted in p50 %.1f p95 %.1f ms (n=%d, errors %d)\n", label, loadAverage(), out.quantile(.5), out.quantile(.95), out.count(), out.errors)
	}
	return b.applies(s)
}

// applies measures applying complete declarations in which one organisation has changed.
func (b *bench) applies(s *site) error {
	var out sample
	var size int
	before := s.dataBytes(0)
	for i := range changeCount {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		q, err := s.client.QueryConfig(ctx, structs.ConfigQuery{Kinds: []structs.Kind{structs.KindSite}, DeclarationOf: structs.CurrentDeclaration})
		if err == nil {
			q.Declaration.Organisations[0].Burst = 100 + i
			size = encodedSize(q.Declaration)
			start := time.Now()
			_, err = s.client.ApplyConfig(ctx, "bench", structs.ApplyConfig{PlannedFrom: q.Revision, Declaration: *q.Declaration})
			out.add(time.Since(start), err)
		}
		cancel()
		if err != nil {
			return err
		}
	}
	fmt.Printf("config apply load=%s declaration %d bytes, accepted in p50 %.1f p95 %.1f ms (n=%d), data of a member grew by %d bytes a change\n",
		loadAverage(), size, out.quantile(.5), out.quantile(.95), out.count(), (s.dataBytes(0)-before)/changeCount)
	return nil
}
