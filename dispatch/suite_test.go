package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/dispatch"
	"github.com/figlb/figlb/dispatch/schedclient"
	"github.com/figlb/figlb/structs"
	"github.com/figlb/figlb/wire"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

const pool = "model/m"

// fleet is a set of members, at most one of which leads all groups. It is also the
// members' source of configuration.
type fleet struct {
	mu          sync.Mutex
	leader      int // index of the leader; -1 if there is none
	term        uint64
	topo        atomic.Pointer[dispatch.Topology]
	configAge   atomic.Int64
	liveEntries atomic.Pointer[[]string]

	members []*member
}

type member struct {
	fleet      *fleet
	index      int
	server     *wire.Server
	manager    *dispatch.Manager
	frozen     atomic.Bool // the member still believes that it leads in frozenTerm
	frozenTerm uint64
}

// newFleet starts n members without polling of load reports. The first one leads in term 1.
func newFleet(n int, topo *dispatch.Topology, opts dispatch.Options) *fleet {
	opts.NoPolling = true
	return startFleet(n, topo, opts)
}

// newPollingFleet is like newFleet but polls load reports.
func newPollingFleet(n int, topo *dispatch.Topology) *fleet {
	return startFleet(n, topo, dispatch.Options{PollInterval: 200 * time.Millisecond})
}

func startFleet(n int, topo *dispatch.Topology, opts dispatch.Options) *fleet {
	f := &fleet{term: 1}
	f.topo.Store(topo)
	for i := range n {
		m := &member{fleet: f, index: i}
		f.members = append(f.members, m)
		server, err := wire.Listen("127.0.0.1:0", nil, logr.Discard())
		Expect(err).NotTo(HaveOccurred())
		m.server = server
		m.manager = dispatch.NewManager(opts, m, f)
		dispatch.Register(server, m.manager)
		go server.Serve()
		DeferCleanup(func() {
			m.manager.Close()
			server.Close()
		})
	}
	return f
}

func (f *fleet) Topology() *dispatch.Topology { return f.topo.Load() }
func (f *fleet) Age() time.Duration           { return time.Duration(f.configAge.Load()) }
func (f *fleet) LiveEntries() ([]string, bool) {
	if l := f.liveEntries.Load(); l != nil {
		return *l, true
	}
	return nil, false
}

// elect starts a new term with member i as the leader, or without a leader if i is -1.
func (f *fleet) elect(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = i
	f.term++
}

func (m *member) Count() int                            { return 4 }
func (m *member) Leadership(uint32) dispatch.Leadership { return m }

func (m *member) IsLeader() bool {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.frozen.Load() || m.fleet.leader == m.index
}

func (m *member) Term() uint64 {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if m.frozen.Load() {
		return m.frozenTerm
	}
	return m.fleet.term
}

// nextMemberResolver resolves every group to one member, and moves on to the next member
// when that one fails.
type nextMemberResolver struct {
	fleet   *fleet
	current atomic.Int64
}

func (r *nextMemberResolver) LeaderAddress(context.Context, uint32) (string, error) {
	return r.fleet.members[r.current.Load()%int64(len(r.fleet.members))].server.Addr(), nil
}

func (r *nextMemberResolver) ReportLeaderFailure(_ uint32, addr, _ string) {
	current := r.current.Load()
	if r.fleet.members[current%int64(len(r.fleet.members))].server.Addr() == addr {
		r.current.CompareAndSwap(current, current+1)
	}
}

// faultyCaller injects faults into the calls of an entry.
type faultyCaller struct {
	*wire.Client
	// repliesToLose is the number of replies to MethodAssign that are still to be lost.
	repliesToLose *atomic.Int64
	// silentAddr is the address of a member that does not reply to any call.
	silentAddr *atomic.Value
}

func (c faultyCaller) Call(ctx context.Context, method string, req, reply any) error {
	if c.silentAddr.Load() == c.Addr() {
		<-ctx.Done()
		return ctx.Err()
	}
	if method == dispatch.MethodAssign && c.repliesToLose.Add(-1) >= 0 {
		if err := c.Client.Call(ctx, method, req, nil); err != nil {
			return err
		}
		return wire.ErrConnLost
	}
	return c.Client.Call(ctx, method, req, reply)
}

// entry is the scheduler client of an entry.
type entry struct {
	*schedclient.Client
	name          string
	repliesToLose atomic.Int64
	silentAddr    atomic.Value
}

// newEntry returns the client of an entry and a function that kills it, which closes its
// connections.
func newEntry(f *fleet, name string) (*entry, func()) {
	e := &entry{name: name}
	var mu sync.Mutex
	clients := map[string]*wire.Client{}
	dial := func(addr string) schedclient.Caller {
		mu.Lock()
		defer mu.Unlock()
		if clients[addr] == nil {
			clients[addr] = wire.NewClient(addr, nil)
		}
		return faultyCaller{Client: clients[addr], repliesToLose: &e.repliesToLose, silentAddr: &e.silentAddr}
	}
	e.Client = schedclient.New(schedclient.Options{Entry: name, Groups: 4, Resolver: &nextMemberResolver{fleet: f}, Dial: dial})
	kill := sync.OnceFunc(func() {
		e.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range clients {
			c.Close()
		}
	})
	DeferCleanup(kill)
	return e, kill
}

func (e *entry) request(id string) *structs.AssignRequest {
	return &structs.AssignRequest{ID: id, Entry: e.name, Pool: pool, Org: "org", Weight: 1, Service: "s"}
}

func (e *entry) release(a *structs.Assignment, o structs.Outcome) error {
	return e.Release(context.Background(), &structs.ReleaseSlot{
		Pool: pool, Entry: e.name, Slot: a.Slot, Target: a.Target, Outcome: o,
	})
}

// withTimeout returns a context that ends after d or with the spec.
func withTimeout(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}

// newTopology returns a topology with n targets, each on its own host and in its own
// availability zone.
func newTopology(n, slots, cold int) *dispatch.Topology {
	topo := &dispatch.Topology{}
	for i := range n {
		host := fmt.Sprintf("h%d", i)
		topo.Hosts = append(topo.Hosts, structs.Host{Name: host, Zone: fmt.Sprintf("z%d", i)})
		topo.Targets = append(topo.Targets, structs.Target{
			Name: fmt.Sprintf("t%d", i), Host: host, Address: "127.0.0.1:1", Model: "m", Slots: slots, ColdSlots: cold,
		})
	}
	return topo
}
