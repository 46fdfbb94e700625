package controller

import (
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/clock"
)

const (
	// hostTimeout is the age of the last poll at which a host counts as gone. A gateway
	// whose polls fail stops serving within the same time.
	hostTimeout = 4 * time.Second
	// settleTime is the time after which a new leader has heard of all hosts that poll.
	settleTime = 2 * time.Second
	// crashLimit is the number of targets that a request may take down before it is
	// refused everywhere.
	crashLimit = 3
	// peerCount is the number of other gateways that a gateway may ask whether they are in
	// touch. One may be cut off as well.
	peerCount = 3
	// crashMemory is how long the crashes of a request are remembered.
	crashMemory = 2 * time.Minute
	// maxCrashers bounds the digests that are remembered.
	maxCrashers = 4096
	// expireInterval is the time between two searches for hosts and crashes that are too old.
	expireInterval = 100 * time.Millisecond
	// loadBytesPerSecond is what a host is sent of the loads of targets. At the aim's 2,800
	// targets that is every second poll.
	loadBytesPerSecond = 8000
)

// hostTable is what the leader knows of the hosts that poll it. A new term starts empty.
type hostTable struct {
	log logr.Logger

	mu      sync.Mutex
	term    uint64
	since   time.Duration
	hosts   map[string]*hostState
	crashes map[uint64]*crasher
	// gateways counts the hosts that are gateways.
	gateways int
	loads    loadTable
	sound    soundnessTable
	// blocked lists the digests of requests that are refused everywhere, in their order.
	blocked       []uint64
	blockedDigest uint64
	expired       time.Duration
}

type hostState struct {
	kind, zone string
	address    string // where a gateway answers others
	seen       time.Duration
	inFlight   map[string]int32
	idlePace   map[string]float64 // ms by service
	// loadsSent is when the host was last told the loads of the targets; 0: never.
	loadsSent time.Duration
}

type crasher struct {
	count int
	last  time.Duration
}

// enter starts a new table for a new term. The caller holds mu.
func (t *hostTable) enter(term uint64, now time.Duration) {
	if t.term == term && t.hosts != nil {
		return
	}
	t.term, t.since = term, now
	t.hosts = map[string]*hostState{}
	t.gateways = 0
	t.loads.clear()
	if t.crashes == nil {
		t.crashes = map[uint64]*crasher{}
	}
	t.log.Info("host table begun", "term", term)
}

// note records a poll.
func (t *hostTable) note(term uint64, req *fleet.PollRequest) {
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.enter(term, now)
	h := t.hosts[req.Host]
	if h == nil {
		h = &hostState{kind: req.Kind}
		t.hosts[req.Host] = h
		t.count(h, 1)
		t.log.Info("host joined", "peer", req.Host, "kind", req.Kind, "zone", req.Zone)
	}
	h.zone, h.address, h.seen = req.Zone, req.Address, now
	t.loads.replace(h.inFlight, req.InFlight)
	h.inFlight = req.InFlight
	t.sound.add(now, req.Zone, req.Outcomes)
	if len(req.IdlePace) > 0 {
		h.idlePace = req.IdlePace
	}
	for _, d := range req.Crashes {
		t.crashed(d, now)
	}
	if req.Leaving {
		t.drop(req.Host, h)
		t.log.Info("host left", "peer", req.Host)
	}
	t.expire(now)
}

// count adds a host to the number of gateways, or takes it off.
func (t *hostTable) count(h *hostState, n int) {
	if h.kind == fleet.KindGateway {
		t.gateways += n
	}
}

func (t *hostTable) drop(name string, h *hostState) {
	t.loads.replace(h.inFlight, nil)
	t.count(h, -1)
	delete(t.hosts, name)
}

func (t *hostTable) crashed(digest uint64, now time.Duration) {
	c := t.crashes[digest]
	if c == nil && len(t.crashes) >= maxCrashers {
		return
	}
	if c == nil {
		c = &crasher{}
		t.crashes[digest] = c
	}
	c.count++
	c.last = now
	if c.count == crashLimit {
		t.listBlocked()
	}
	t.log.Info("target went down under a request", "digest", digest, "count", c.count, "blocked", c.count >= crashLimit)
}

// listBlocked lists the requests that are refused everywhere.
func (t *hostTable) listBlocked() {
	t.blocked = nil
	for d, c := range t.crashes {
		if c.count >= crashLimit {
			t.blocked = append(t.blocked, d)
		}
	}
	slices.Sort(t.blocked)
	t.blockedDigest = fleet.DigestNumbers(t.blocked)
}

func (t *hostTable) expire(now time.Duration) {
	if now-t.expired < expireInterval {
		return
	}
	t.expired = now
	for name, h := range t.hosts {
		if now-h.seen > hostTimeout {
			t.drop(name, h)
			t.log.Info("host lost", "peer", name, "silent_ms", (now - h.seen).Milliseconds())
		}
	}
	for d, c := range t.crashes {
		if now-c.last <= crashMemory {
			continue
		}
		delete(t.crashes, d)
		if c.count >= crashLimit {
			t.listBlocked()
		}
	}
}

// peers returns addresses of a few gateways other than a host.
func (t *hostTable) peers(host string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for name, h := range t.hosts { // in random order
		if name != host && h.kind == fleet.KindGateway && h.address != "" {
			out = append(out, h.address)
		}
		if len(out) == peerCount {
			break
		}
	}
	return out
}

// setTargets prepares the loads of a list of targets, which is in the order of the ids.
func (t *hostTable) setTargets(digest uint64, targets []fleet.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loads.reset(digest, targets) {
		return
	}
	t.sound.keep(targets)
	for _, h := range t.hosts {
		t.loads.replace(nil, h.inFlight)
	}
}

// view fills in what a gateway needs to know of the others. The loads are of the list with
// the digest that the gateway holds once it has taken over the answer.
func (t *hostTable) view(req *fleet.PollRequest, targets uint64, reply *fleet.PollReply) {
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	reply.Gateways = t.gateways
	reply.Unsound = t.sound.unsound(now, req.Zone)
	if t.blockedDigest != req.Blocked {
		reply.Blocked, reply.BlockedChanged = t.blocked, true
	}
	h := t.hosts[req.Host]
	if h == nil || targets != t.loads.digest || now-h.loadsSent < t.loads.interval() {
		return
	}
	h.loadsSent = now
	reply.Loads = fleet.EncodeLoads(t.loads.counts)
}

// idlePace returns the least time between events of idle engines that the gateways report, by
// service.
func (t *hostTable) idlePace() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]float64{}
	for _, h := range t.hosts {
		for service, ms := range h.idlePace {
			if least, known := out[service]; !known || ms < least {
				out[service] = ms
			}
		}
	}
	return out
}

// all lists the hosts in the order of their names.
func (t *hostTable) all(term uint64) *fleet.HostsReply {
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.enter(term, now)
	reply := &fleet.HostsReply{Settled: now-t.since > settleTime}
	for name, h := range t.hosts {
		reply.Hosts = append(reply.Hosts, fleet.Host{Name: name, Kind: h.kind, Zone: h.zone})
	}
	slices.SortFunc(reply.Hosts, func(a, b fleet.Host) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return reply
}
