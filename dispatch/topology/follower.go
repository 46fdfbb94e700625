package topology

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/dispatch"
	"github.com/figlb/figlb/internal/periodic"
	"github.com/figlb/figlb/structs"
)

const (
	// pollInterval keeps a drain well within the 4 s in which it must be in force.
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 1500 * time.Millisecond
)

// Confirmer asks the leader of group 0 for the changes since a revision.
type Confirmer interface {
	Confirm(ctx context.Context, poll structs.ConfirmConfig) (*structs.ConfirmReply, error)
}

// Follower keeps the topology current. It implements dispatch.ConfigSource.
type Follower struct {
	src    Confirmer
	log    logr.Logger
	now    func() time.Time
	cancel context.CancelFunc
	done   sync.WaitGroup

	revision uint64
	objects  map[objectKey]structs.Object

	topo      atomic.Pointer[dispatch.Topology]
	confirmed atomic.Pointer[time.Time]
	live      atomic.Pointer[[]string]
}

type objectKey struct {
	kind structs.Kind
	name string
}

var _ dispatch.ConfigSource = (*Follower)(nil)

// Start returns a running follower.
func Start(src Confirmer, log logr.Logger) *Follower {
	f := newFollower(src, log)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.done.Go(func() { f.run(ctx) })
	return f
}

func newFollower(src Confirmer, log logr.Logger) *Follower {
	f := &Follower{src: src, log: log, now: time.Now, objects: map[objectKey]structs.Object{}}
	f.topo.Store(&dispatch.Topology{})
	f.live.Store(&[]string{})
	return f
}

// Close stops the follower.
func (f *Follower) Close() {
	f.cancel()
	f.done.Wait()
}

// Topology implements dispatch.ConfigSource.
func (f *Follower) Topology() *dispatch.Topology { return f.topo.Load() }

// Age returns the time since the last confirmed poll was sent.
func (f *Follower) Age() time.Duration {
	at := f.confirmed.Load()
	if at == nil {
		return time.Duration(1<<63 - 1)
	}
	return f.now().Sub(*at)
}

// LiveEntries implements dispatch.ConfigSource.
func (f *Follower) LiveEntries() ([]string, bool) {
	live := *f.live.Load()
	return live, len(live) > 0
}

func (f *Follower) run(ctx context.Context) {
	periodic.Run(ctx, pollInterval, periodic.Always(f.poll))
}

func (f *Follower) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := f.now()
	reply, err := f.src.Confirm(ctx, structs.ConfirmConfig{Revision: f.revision})
	if err != nil {
		f.log.V(1).Info("configuration not confirmed", "error", err.Error())
		return
	}
	f.accept(reply)
	f.confirmed.Store(&sent)
}

func (f *Follower) accept(reply *structs.ConfirmReply) {
	live := append([]string{}, reply.Live...)
	f.live.Store(&live)
	if reply.Revision < f.revision {
		// The leader reads at a quorum, so this cannot happen; going back would revert
		// an accepted configuration.
		f.log.Error(nil, "leader confirmed an older revision, ignored", "revision", reply.Revision, "known", f.revision)
		return
	}
	if reply.Full {
		f.objects = map[objectKey]structs.Object{}
	}
	f.revision = reply.Revision
	if len(reply.Objects) == 0 && !reply.Full {
		return
	}
	for _, o := range reply.Objects {
		k := objectKey{o.Kind, o.Name}
		if o.Deleted {
			delete(f.objects, k)
			continue
		}
		f.objects[k] = o
	}
	f.topo.Store(f.build())
}

// build decodes the objects that schedulers use, in order of their names.
func (f *Follower) build() *dispatch.Topology {
	t := &dispatch.Topology{}
	for _, o := range f.objects {
		switch o.Kind {
		case structs.KindTarget:
			t.Targets = decode(f.log, t.Targets, o)
		case structs.KindHost:
			t.Hosts = decode(f.log, t.Hosts, o)
		case structs.KindDrain:
			t.Drains = decode(f.log, t.Drains, o)
		}
	}
	sort.Slice(t.Targets, func(i, j int) bool { return t.Targets[i].Name < t.Targets[j].Name })
	sort.Slice(t.Hosts, func(i, j int) bool { return t.Hosts[i].Name < t.Hosts[j].Name })
	return t
}

func decode[T any](log logr.Logger, list []T, o structs.Object) []T {
	var v T
	if err := msgpack.Unmarshal(o.Data, &v); err != nil {
		log.Error(err, "configuration object cannot be decoded", "kind", o.Kind, "name", o.Name)
		return list
	}
	return append(list, v)
}
