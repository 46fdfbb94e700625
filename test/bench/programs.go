package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/statemachine/orgsm"
	"github.com/figlb/figlb/structs"
)

// programs measures the size of the state of a number of programs, both in the members and in
// state machines in this process.
func (b *bench) programs() error {
	for _, n := range b.sizesOr(1000, 3000, 10000) {
		if err := b.programsAt(n); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) programsAt(n int) error {
	s, err := b.start(testsite.Options{Groups: b.groups})
	if err != nil {
		return err
	}
	defer s.close()
	label := fmt.Sprintf("programs=%d turns=%d history=%d bytes groups=%d", n, b.turns, 2*b.turns*b.messageBytes, b.groups)
	before := readUsage(s.Members[0].PID()).rss
	t := newTurnRecorder(s.client, b.messageBytes, b.seed)
	start := time.Now()
	err = runConcurrently(n, 32, func(ctx context.Context, i int) error {
		if err := t.open(ctx, i); err != nil {
			return err
		}
		for turn := range b.turns {
			if err := t.turn(ctx, i, 1+turn); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Printf("%s load=%s filled in %.1f s\n", label, loadAverage(), time.Since(start).Seconds())
	time.Sleep(settleTime)
	m := startMeter(s.Members)
	time.Sleep(b.window)
	m.report(label, s.roles())
	rss := readUsage(s.Members[0].PID()).rss
	fmt.Printf("%s member rss %.0f KB a program, data folder %.1f KB a program\n", label,
		float64(rss-before)/1e3/float64(n), float64(s.dataBytes(0))/1e3/float64(n))
	if err := b.stateMachineSnapshot(s, label, n); err != nil {
		return err
	}
	return b.restart(s, label)
}

// stateMachineSnapshot restores the members' state into state machines in this process, one
// group at a time, and measures how long a snapshot takes, during which no command is applied.
func (b *bench) stateMachineSnapshot(s *site, label string, n int) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	site, err := s.client.SaveSnapshot(ctx)
	if err != nil {
		fmt.Printf("%s snapshot over the wire failed: %v\n", label, err)
		return nil
	}
	var groups []structs.GroupSnapshot
	if err := msgpack.Unmarshal(site, &groups); err != nil {
		return err
	}
	var size int
	var encode, decode time.Duration
	var heap uint64
	for _, g := range groups[1:] {
		empty := heapBytes()
		sm := orgsm.New()
		start := time.Now()
		if err := sm.Restore(g.Data); err != nil {
			return err
		}
		decode += time.Since(start)
		heap += heapBytes() - empty
		start = time.Now()
		out, err := sm.Snapshot()
		if err != nil {
			return err
		}
		encode += time.Since(start)
		size += len(out)
		runtime.KeepAlive(sm)
	}
	runtime.KeepAlive(site)
	fmt.Printf("%s load=%s state machine: heap %.1f KB a program; snapshot %.1f KB a program, %d bytes in all, encoded in %.0f ms (%.0f MB/s), restored in %.0f ms (%.0f MB/s)\n",
		label, loadAverage(), float64(heap)/1e3/float64(n), float64(size)/1e3/float64(n), size,
		encode.Seconds()*1e3, float64(size)/1e6/encode.Seconds(), decode.Seconds()*1e3, float64(size)/1e6/decode.Seconds())
	return nil
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// restart measures the time from a member's restart until it has applied what had been applied
// before the restart, first with its data kept and then with its data deleted.
func (b *bench) restart(s *site, label string) error {
	const follower = members - 1
	for _, wipe := range []bool{false, true} {
		want := s.applied()
		s.Members[follower].Kill()
		if wipe {
			if err := s.WipeMember(follower); err != nil {
				return err
			}
		}
		start := time.Now()
		if err := s.Members[follower].Start(); err != nil {
			return err
		}
		err := testsite.Within(2*time.Minute, func() error { return s.checkCaughtUp(follower, want) })
		fmt.Printf("%s load=%s member restarted, data lost %t: caught up after %.2f s (%v), rss %.1f MB\n",
			label, loadAverage(), wipe, time.Since(start).Seconds(), err, float64(readUsage(s.Members[follower].PID()).rss)/1e6)
	}
	return nil
}
