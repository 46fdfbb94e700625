package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// maxPools bounds the pools that callers can make a member create.
const maxPools = 1024

// Manager holds the schedulers of a state member, one for each pool whose group the
// member leads.
type Manager struct {
	opts   Options
	groups Groups
	src    ConfigSource
	hosts  atomic.Pointer[hostStates]
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.RWMutex
	shards map[string]*shard
}

// NewManager returns a running manager.
func NewManager(opts Options, groups Groups, src ConfigSource) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{opts: opts.withDefaults(), groups: groups, src: src, cancel: cancel, shards: map[string]*shard{}}
	m.start(func() { m.run(ctx) })
	if m.opts.HostListURL != "" {
		m.start(func() { m.followHosts(ctx) })
	}
	return m
}

func (m *Manager) start(fn func()) {
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		fn()
	}()
}

// Close ends all schedulers; waiting requests fail with errs.NotLeader.
func (m *Manager) Close() {
	m.cancel()
	m.wg.Wait()
	for _, s := range m.list() {
		s.mu.Lock()
		s.end()
		s.mu.Unlock()
	}
}

func (m *Manager) run(ctx context.Context) {
	for sleep(ctx, tickInterval) {
		m.followTopology()
		for _, s := range m.list() {
			s.tick()
		}
	}
}

// followTopology creates the schedulers of declared pools, so that a new leader's term
// starts at its election and not at the first request.
func (m *Manager) followTopology() {
	topo := m.src.Topology()
	for i := range topo.Targets {
		m.shard(topo.Targets[i].Pool())
	}
}

func (m *Manager) list() []*shard {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]*shard, 0, len(m.shards))
	for _, s := range m.shards {
		out = append(out, s)
	}
	return out
}

// shard returns the scheduler of a pool, nil if there are too many pools.
func (m *Manager) shard(pool string) *shard {
	m.mu.RLock()
	s := m.shards[pool]
	m.mu.RUnlock()
	if s != nil {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.shards[pool]; s != nil {
		return s
	}
	if len(m.shards) >= maxPools {
		return nil
	}
	lead := m.groups.Leadership(PoolGroup(pool, m.groups.Count()))
	s = newShard(pool, m.opts, lead, m.src, m.hosts.Load)
	m.shards[pool] = s
	return s
}

func (m *Manager) find(pool string) (*shard, error) {
	if s := m.shard(pool); s != nil {
		return s, nil
	}
	return nil, errs.New(errs.NoTarget, "name a declared service", "pool %s is unknown", pool)
}

// Assign waits for a slot. It fails with errs.NotLeader (also when leadership is lost
// while it waits), errs.Overloaded, errs.NoTarget, errs.TargetFailed or ctx's error; in
// all these cases the request holds no slot.
func (m *Manager) Assign(ctx context.Context, req *structs.AssignRequest) (*structs.Assignment, error) {
	s, err := m.find(req.Pool)
	if err != nil {
		return nil, err
	}
	return s.assign(ctx, req)
}

// Release gives a slot back. It fails with errs.NotLeader.
func (m *Manager) Release(rel *structs.ReleaseSlot) error {
	s, err := m.find(rel.Pool)
	if err != nil {
		return err
	}
	return s.release(rel)
}

// ReportSlots takes over an entry's slots in use. It fails with errs.NotLeader.
func (m *Manager) ReportSlots(rep *structs.ReportSlots) (*structs.ReportReply, error) {
	s, err := m.find(rep.Pool)
	if err != nil {
		return nil, err
	}
	return s.report(rep)
}

// AllowRetry reports whether the pool's retry budget allows a retry now. A retry is
// counted when Assign is called with excluded targets. It fails with errs.NotLeader.
func (m *Manager) AllowRetry(pool string) (bool, error) {
	s, err := m.find(pool)
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if err := s.ensureLeading(now); err != nil {
		return false, err
	}
	return s.retries.allowed(now, s.slotCount()), nil
}

// Status returns the targets of a pool, or of all pools that this member schedules if
// pool is empty. For a single pool it fails with errs.NotLeader.
func (m *Manager) Status(pool string) ([]structs.TargetStatus, error) {
	if pool != "" {
		s, err := m.find(pool)
		if err != nil {
			return nil, err
		}
		return s.status()
	}
	var out []structs.TargetStatus
	for _, s := range m.list() {
		if part, err := s.status(); err == nil {
			out = append(out, part...)
		}
	}
	return out, nil
}

func (s *shard) status() ([]structs.TargetStatus, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if err := s.ensureLeading(now); err != nil {
		return nil, err
	}
	s.syncConfig(now)
	return s.targetStatus(now), nil
}

func (s *shard) targetStatus(now time.Duration) []structs.TargetStatus {
	var out []structs.TargetStatus
	for _, t := range s.pool.Targets() {
		out = append(out, structs.TargetStatus{
			Name:     t.Name,
			Pool:     s.name,
			Zone:     t.Zone,
			State:    string(t.State()),
			InUse:    t.InUse(),
			Limit:    t.Limit(now),
			Requests: t.Requests,
		})
	}
	return out
}
