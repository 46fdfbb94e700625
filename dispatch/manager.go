package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// maxPools limits the number of pools for which a member creates schedulers. Callers may
// name any pool, declared or not.
const maxPools = 1024

// Manager holds the schedulers of a state member, one for each pool. Only the schedulers
// of pools whose group the member leads are active.
type Manager struct {
	opts         Options
	groups       Groups
	config       ConfigSource
	leavingHosts atomic.Pointer[hostSet]
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	mu         sync.RWMutex
	schedulers map[string]*scheduler
}

// NewManager returns a manager and starts its background goroutines. Close stops them.
func NewManager(opts Options, groups Groups, config ConfigSource) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{opts: opts.withDefaults(), groups: groups, config: config, cancel: cancel, schedulers: map[string]*scheduler{}}
	m.runInBackground(func() { m.run(ctx) })
	if m.opts.HostListURL != "" {
		m.runInBackground(func() { m.followHostList(ctx) })
	}
	return m
}

// runInBackground runs fn on a goroutine that Close waits for.
func (m *Manager) runInBackground(fn func()) {
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		fn()
	}()
}

// Close stops all schedulers. Waiting requests fail with errs.NotLeader.
func (m *Manager) Close() {
	m.cancel()
	m.wg.Wait()
	for _, s := range m.allSchedulers() {
		s.mu.Lock()
		s.endTerm()
		s.mu.Unlock()
	}
}

// run drives all schedulers at each tick until ctx ends.
func (m *Manager) run(ctx context.Context) {
	for sleep(ctx, tickInterval) {
		m.createDeclaredPools()
		for _, s := range m.allSchedulers() {
			s.tick()
		}
	}
}

// createDeclaredPools creates the schedulers of all declared pools, so that the term of a
// new leader's scheduler starts at the election and not with the first request.
func (m *Manager) createDeclaredPools() {
	topo := m.config.Topology()
	for i := range topo.Targets {
		m.scheduler(topo.Targets[i].Pool())
	}
}

func (m *Manager) allSchedulers() []*scheduler {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]*scheduler, 0, len(m.schedulers))
	for _, s := range m.schedulers {
		out = append(out, s)
	}
	return out
}

// scheduler returns the scheduler of a pool and creates it if necessary. It returns nil
// if there are too many pools.
func (m *Manager) scheduler(pool string) *scheduler {
	m.mu.RLock()
	s := m.schedulers[pool]
	m.mu.RUnlock()
	if s != nil {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.schedulers[pool]; s != nil {
		return s
	}
	if len(m.schedulers) >= maxPools {
		return nil
	}
	leadership := m.groups.Leadership(PoolGroup(pool, m.groups.Count()))
	s = newScheduler(pool, m.opts, leadership, m.config, m.leavingHosts.Load)
	m.schedulers[pool] = s
	return s
}

// findScheduler is like scheduler but fails with errs.NoTarget if there are too many
// pools.
func (m *Manager) findScheduler(pool string) (*scheduler, error) {
	if s := m.scheduler(pool); s != nil {
		return s, nil
	}
	return nil, errs.New(errs.NoTarget, "name a service that is in use, or restart the member to forget services that are gone",
		"pool %s is not among the %d pools that this member schedules at most", pool, maxPools)
}

// Assign queues a request and waits until it has a slot. It fails with errs.NotLeader
// (also if leadership is lost while the request waits), errs.Overloaded, errs.NoTarget,
// errs.RequestQuarantined, errs.TargetFailed (the retry budget is used up) or, if ctx ends
// first, errs.Unavailable. After a failure the request holds no slot, unless another call
// for the same request has returned the slot or still waits.
func (m *Manager) Assign(ctx context.Context, req *structs.AssignRequest) (*structs.Assignment, error) {
	s, err := m.findScheduler(req.Pool)
	if err != nil {
		return nil, err
	}
	return s.assign(ctx, req)
}

// Release frees a slot and records its outcome. It fails with errs.NotLeader or, if there
// are too many pools, errs.NoTarget.
func (m *Manager) Release(rel *structs.ReleaseSlot) error {
	s, err := m.findScheduler(rel.Pool)
	if err != nil {
		return err
	}
	return s.release(rel)
}

// ReportSlots updates the slots that an entry has in use. It fails with errs.NotLeader or,
// if there are too many pools, errs.NoTarget.
func (m *Manager) ReportSlots(rep *structs.ReportSlots) (*structs.ReportReply, error) {
	s, err := m.findScheduler(rep.Pool)
	if err != nil {
		return nil, err
	}
	return s.report(rep)
}

// AllowRetry reports whether the pool's retry budget allows a retry now. It does not count
// the retry: Assign does, if its request excludes targets. AllowRetry fails with
// errs.NotLeader or, if there are too many pools, errs.NoTarget.
func (m *Manager) AllowRetry(pool string) (bool, error) {
	s, err := m.findScheduler(pool)
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if err := s.ensureLeading(now); err != nil {
		return false, err
	}
	return s.retries.allows(now, s.totalSlots()), nil
}

// Status returns the state of the targets of a pool or, if pool is empty, of all pools
// that this member schedules. For a single pool it fails with errs.NotLeader or, if there
// are too many pools, errs.NoTarget.
func (m *Manager) Status(pool string) ([]structs.TargetStatus, error) {
	if pool != "" {
		s, err := m.findScheduler(pool)
		if err != nil {
			return nil, err
		}
		return s.status()
	}
	var out []structs.TargetStatus
	for _, s := range m.allSchedulers() {
		if part, err := s.status(); err == nil {
			out = append(out, part...)
		}
	}
	return out, nil
}

func (s *scheduler) status() ([]structs.TargetStatus, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if err := s.ensureLeading(now); err != nil {
		return nil, err
	}
	s.syncConfig(now)
	return s.targetStatus(now), nil
}

func (s *scheduler) targetStatus(now time.Duration) []structs.TargetStatus {
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
