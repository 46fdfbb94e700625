package dispatch_test

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/figlb/figlb/dispatch"
	"github.com/figlb/figlb/structs"
	"github.com/figlb/figlb/wire"
)

const benchPools = 10

// benchTopology returns a topology with 2,800 targets in 10 pools.
func benchTopology() *dispatch.Topology {
	topo := &dispatch.Topology{}
	for i := range 2800 {
		host := fmt.Sprintf("h%d", i)
		topo.Hosts = append(topo.Hosts, structs.Host{Name: host, Zone: fmt.Sprintf("z%d", i%5)})
		topo.Targets = append(topo.Targets, structs.Target{
			Name: fmt.Sprintf("t%d", i), Host: host, Model: fmt.Sprintf("m%d", i%benchPools), Slots: 8, ColdSlots: 8,
		})
	}
	return topo
}

// BenchmarkManager measures an assignment and its release, spread over all pools, in process
// and over wire connections. The CPU time that it reports includes clients and server.
func BenchmarkManager(b *testing.B) {
	for _, overWire := range []bool{false, true} {
		for _, entries := range []int{8, 64, 370} {
			b.Run(fmt.Sprintf("wire=%t/entries=%d", overWire, entries), func(b *testing.B) {
				benchManager(b, overWire, entries)
			})
		}
	}
}

func benchManager(b *testing.B, overWire bool, entries int) {
	f := &fleet{term: 1}
	f.topo.Store(benchTopology())
	m := &member{fleet: f}
	manager := dispatch.NewManager(dispatch.Options{NoPolling: true}, m, f)
	defer manager.Close()
	server, err := wire.Listen("127.0.0.1:0", nil, logr.Discard())
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	dispatch.Register(server, manager)
	go server.Serve()
	clients := make([]*wire.Client, entries)
	for i := range clients {
		clients[i] = wire.NewClient(server.Addr(), nil)
		defer clients[i].Close()
	}
	time.Sleep(1200 * time.Millisecond) // no assignments until Options.ReportWait has passed
	var seq atomic.Int64
	b.SetParallelism(32)
	before := cpuTime()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := assignAndRelease(manager, clients, overWire, int(seq.Add(1))); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(cpuTime()-before)/float64(b.N)/1e3, "cpu-us/op")
	runtime.KeepAlive(clients)
}

// assignAndRelease assigns and releases one request.
func assignAndRelease(m *dispatch.Manager, clients []*wire.Client, overWire bool, n int) error {
	ctx := context.Background()
	req := &structs.AssignRequest{
		ID: fmt.Sprintf("r%d", n), Entry: fmt.Sprintf("e%d", n%len(clients)), Pool: fmt.Sprintf("model/m%d", n%benchPools),
		Org: fmt.Sprintf("o%d", n%10000), Weight: 1, Program: fmt.Sprintf("p%d", n%110000), Turn: 2,
		Service: "s", PromptTokens: 4000, MaxTokens: 400,
		Prefix: []uint64{1, uint64(n)}, PrefixTokens: []int64{800, 4000},
	}
	var a *structs.Assignment
	var err error
	client := clients[n%len(clients)]
	if overWire {
		a = &structs.Assignment{}
		err = client.Call(ctx, dispatch.MethodAssign, req, a)
	} else {
		a, err = m.Assign(ctx, req)
	}
	if err != nil {
		return err
	}
	rel := &structs.ReleaseSlot{
		Pool: req.Pool, Entry: req.Entry, Slot: a.Slot, Target: a.Target, Outcome: structs.OutcomeOK,
		TTFT: 100 * time.Millisecond, Duration: 2 * time.Second,
		Usage: structs.Usage{PromptTokens: 4000, CompletionTokens: 100},
	}
	if overWire {
		return client.Call(ctx, dispatch.MethodRelease, rel, nil)
	}
	return m.Release(rel)
}

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
