package main

import (
	"fmt"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/replica"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/stateserver"
	"github.com/figlb/figlb/wal"
	"github.com/figlb/figlb/wire"
)

// countingFS counts syncs, the time spent in them, and the bytes written to files.
type countingFS struct {
	wal.OS
	syncs, bytes, nanos atomic.Int64
}

type countingFile struct {
	wal.File
	fs *countingFS
}

func (f *countingFS) wrap(file wal.File, err error) (wal.File, error) {
	if err != nil {
		return nil, err
	}
	return &countingFile{File: file, fs: f}, nil
}

func (f *countingFS) Create(path string) (wal.File, error) { return f.wrap(f.OS.Create(path)) }
func (f *countingFS) Append(path string) (wal.File, error) { return f.wrap(f.OS.Append(path)) }

func (f *countingFile) Write(p []byte) (int, error) {
	f.fs.bytes.Add(int64(len(p)))
	return f.File.Write(p)
}

func (f *countingFile) Sync() error {
	start := time.Now()
	err := f.File.Sync()
	f.fs.nanos.Add(int64(time.Since(start)))
	f.fs.syncs.Add(1)
	return err
}

// member is a state member that runs in this process.
type member struct {
	replica *replica.Replica
	wire    *wire.Server
	fs      *countingFS
}

func (b *bench) startMember(i int, list []settings.Member) (*member, error) {
	w, err := wire.Listen(list[i].Address, nil, logr.Discard())
	if err != nil {
		return nil, err
	}
	machines := stateserver.NewStateMachines(b.groups)
	m := &member{wire: w, fs: &countingFS{}}
	m.replica, err = replica.Start(replica.Config{
		ID: list[i].ID, Zone: "zone-a", Members: list, DataDir: filepath.Join(b.dir, list[i].ID),
		Groups: machines.ByGroup(), Server: w, Bootstrap: i == 0, Log: logr.Discard(), FS: m.fs,
	})
	if err != nil {
		return nil, err
	}
	srv := stateserver.New(stateserver.Options{
		Node: m.replica, StateMachines: machines, ID: list[i].ID, Members: list,
		ProgramIdle: time.Hour, EndedRetention: time.Hour, Log: logr.Discard(), Metrics: metrics.NewRegistry(),
	})
	srv.Register(w)
	go w.Serve()
	return m, nil
}

// syncs counts the members' syncs at several turn rates. The members run in this process,
// because the syncs of another process cannot be counted from outside.
func (b *bench) syncs() error {
	addrs, err := testsite.FreeAddrs(members)
	if err != nil {
		return err
	}
	var list []settings.Member
	for i, a := range addrs {
		list = append(list, settings.Member{ID: fmt.Sprintf("state-%d", i+1), Address: a})
	}
	var ms []*member
	for i := range list {
		m, err := b.startMember(i, list)
		if err != nil {
			return err
		}
		defer m.wire.Close()
		defer func() { _ = m.replica.Close() }()
		ms = append(ms, m)
	}
	client, err := stateclient.New(addrs, b.groups, nil)
	if err != nil {
		return err
	}
	defer client.Close()
	time.Sleep(settleTime)
	t := newTurnRecorder(client, b.messageBytes, b.seed)
	for i, rate := range b.sizesOr(1, 100, 300, 900) {
		if err := b.syncsAt(t, ms, rate, (i+1)*1_000_000); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) syncsAt(t *turnRecorder, ms []*member, rate, first int) error {
	var before [members][3]int64
	for i, m := range ms {
		before[i] = [3]int64{m.fs.syncs.Load(), m.fs.bytes.Load(), m.fs.nanos.Load()}
	}
	start := time.Now()
	out, err := t.load(rate, b.window, first)
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	done := float64(out.count())
	for i, m := range ms {
		syncs := m.fs.syncs.Load() - before[i][0]
		fmt.Printf("syncs turns=%d/s groups=%d load=%s member %d leads org groups: %d; %.0f syncs/s, %.2f syncs a turn, mean sync %.3f ms, files %.0f KB/s, %.0f bytes a turn; turn p50 %.2f ms, errors %d\n",
			rate, b.groups, loadAverage(), i+1, countLeaders(m, b.groups), float64(syncs)/seconds, float64(syncs)/done,
			float64(m.fs.nanos.Load()-before[i][2])/float64(max(syncs, 1))/1e6,
			float64(m.fs.bytes.Load()-before[i][1])/seconds/1e3, float64(m.fs.bytes.Load()-before[i][1])/done, out.quantile(.5), out.errors)
	}
	return nil
}

func countLeaders(m *member, groups int) int {
	n := 0
	for g := 1; g <= groups; g++ {
		if m.replica.IsLeader(uint32(g)) {
			n++
		}
	}
	return n
}
