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
	// pollInterval is short enough for a drain to take effect well within the required 4 s.
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 1500 * time.Millisecond
)

// Confirmer asks the leader of group 0 for the configuration changes since a revision.
type Confirmer interface {
	Confirm(ctx context.Context, poll structs.ConfirmConfig) (*structs.ConfirmReply, error)
}

// Follower polls for configuration changes and keeps the topology up to date. It implements
// dispatch.ConfigSource.
type Follower struct {
	source Confirmer
	log    logr.Logger
	now    func() time.Time
	cancel context.CancelFunc
	wg     sync.WaitGroup

	revision uint64
	objects  map[objectKey]structs.Object

	topology    atomic.Pointer[dispatch.Topology]
	confirmedAt atomic.Pointer[time.Time]
	liveEntries atomic.Pointer[[]string]
}

type objectKey struct {
	kind structs.Kind
	name string
}

var _ dispatch.ConfigSource = (*Follower)(nil)

// Start returns a follower that polls until it is closed.
func Start(source Confirmer, log logr.Logger) *Follower {
	f := newFollower(source, log)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.wg.Go(func() { f.run(ctx) })
	return f
}

func newFollower(source Confirmer, log logr.Logger) *Follower {
	f := &Follower{source: source, log: log, now: time.Now, objects: map[objectKey]structs.Object{}}
	f.topology.Store(&dispatch.Topology{})
	f.liveEntries.Store(&[]string{})
	return f
}

// Close stops the follower.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
}

// Topology implements dispatch.ConfigSource.
func (f *Follower) Topology() *dispatch.Topology { return f.topology.Load() }

// Age returns the time since the last answered poll was sent, or the maximum duration if no poll
// has been answered yet.
func (f *Follower) Age() time.Duration {
	at := f.confirmedAt.Load()
	if at == nil {
		return time.Duration(1<<63 - 1)
	}
	return f.now().Sub(*at)
}

// LiveEntries implements dispatch.ConfigSource.
func (f *Follower) LiveEntries() ([]string, bool) {
	liveEntries := *f.liveEntries.Load()
	return liveEntries, len(liveEntries) > 0
}

func (f *Follower) run(ctx context.Context) {
	periodic.Run(ctx, pollInterval, periodic.Always(f.poll))
}

// poll asks the leader for changes and applies them.
func (f *Follower) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := f.now()
	reply, err := f.source.Confirm(ctx, structs.ConfirmConfig{Revision: f.revision})
	if err != nil {
		f.log.V(1).Info("could not confirm the configuration with the leader of group 0", "error", err.Error())
		return
	}
	f.apply(reply)
	f.confirmedAt.Store(&sent)
}

// apply applies a reply to a poll.
func (f *Follower) apply(reply *structs.ConfirmReply) {
	liveEntries := append([]string{}, reply.Live...)
	f.liveEntries.Store(&liveEntries)
	if reply.Revision < f.revision {
		// This cannot happen, because the leader answers with a quorum read. Applying the
		// older revision would revert an accepted configuration.
		f.log.Error(nil, "ignoring a reply of the leader with an older configuration revision", "revision", reply.Revision, "known", f.revision)
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
	f.topology.Store(f.buildTopology())
}

// buildTopology decodes the objects that schedulers use. Targets and hosts are sorted by name.
func (f *Follower) buildTopology() *dispatch.Topology {
	t := &dispatch.Topology{}
	for _, o := range f.objects {
		switch o.Kind {
		case structs.KindTarget:
			t.Targets = appendDecoded(f.log, t.Targets, o)
		case structs.KindHost:
			t.Hosts = appendDecoded(f.log, t.Hosts, o)
		case structs.KindDrain:
			t.Drains = appendDecoded(f.log, t.Drains, o)
		}
	}
	sort.Slice(t.Targets, func(i, j int) bool { return t.Targets[i].Name < t.Targets[j].Name })
	sort.Slice(t.Hosts, func(i, j int) bool { return t.Hosts[i].Name < t.Hosts[j].Name })
	return t
}

// appendDecoded appends the decoded object to list. It logs and leaves out an object that cannot
// be decoded.
func appendDecoded[T any](log logr.Logger, list []T, o structs.Object) []T {
	var v T
	if err := msgpack.Unmarshal(o.Data, &v); err != nil {
		log.Error(err, "could not decode a configuration object; ignoring it", "kind", o.Kind, "name", o.Name)
		return list
	}
	return append(list, v)
}
