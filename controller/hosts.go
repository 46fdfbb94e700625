package controller

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/internal/clock"
)

const (
	// hostTimeout is the time since its last poll after which a host is removed. A gateway
	// whose polls fail stops serving within the same time.
	hostTimeout = 4 * time.Second
	// settleTime is the time after which a new leader has received a poll from every live host.
	settleTime = 2 * time.Second
	// maxPeers is the number of other gateways that a gateway is told of, so that it can ask them
	// whether they reach the leader. It is more than one, because a peer may be cut off as well.
	maxPeers = 3
	// expireInterval is the time between two scans for expired hosts.
	expireInterval = 100 * time.Millisecond
	// loadBytesPerSecond limits the rate at which a host is sent the loads of the targets, one
	// byte for each target. With 2,800 targets, the size that the design aims at, every third poll
	// returns them.
	loadBytesPerSecond = 5000
)

// hostTable holds what the leader knows of the hosts that poll it. The hosts and their loads are
// cleared in a new term; request outcomes are kept.
type hostTable struct {
	log logr.Logger

	mu        sync.Mutex
	term      uint64
	termStart time.Duration
	hosts     map[string]*hostState
	// gateways is the number of hosts that are gateways.
	gateways   int
	loads      loadTable
	outcomes   outcomeTable
	blocked    blockedRequests
	lastExpiry time.Duration
}

type hostState struct {
	kind, zone        string
	address           string // at which a gateway answers other gateways
	cutOff            bool   // the gateway reaches no target directly
	features          uint64 // that the host understands
	lastPoll          time.Duration
	inFlight          map[string]int32
	idleEventInterval map[string]float64 // time between events of idle engines by service, in ms
	// loadsSentAt is when the host was last sent the loads of the targets; 0 if never.
	loadsSentAt time.Duration
	storeView   uint64 // revision of the view of the store hosts that the host holds
}

// startTerm clears the hosts and loads if the term is new. The caller holds mu.
func (t *hostTable) startTerm(term uint64, now time.Duration) {
	if t.term == term && t.hosts != nil {
		return
	}
	t.term, t.termStart = term, now
	t.hosts = map[string]*hostState{}
	t.gateways = 0
	t.loads.clear()
	t.log.Info("host table cleared for a new term", "term", term)
}

// recordPoll updates the table from a host's poll.
func (t *hostTable) recordPoll(term uint64, req *fleet.PollRequest) {
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startTerm(term, now)
	h := t.hosts[req.Host]
	if h == nil {
		h = &hostState{kind: req.Kind}
		t.hosts[req.Host] = h
		t.countHost(h, 1)
		t.log.Info("host joined", "peer", req.Host, "kind", req.Kind, "zone", req.Zone)
	}
	h.zone, h.address, h.cutOff, h.lastPoll = req.Zone, req.Address, req.CutOff, now
	h.features, h.storeView = req.Features, req.KnownVersions.Stores
	t.loads.replace(h.inFlight, req.InFlight)
	h.inFlight = req.InFlight
	t.outcomes.add(now, req.Zone, req.Outcomes)
	if len(req.IdleEventInterval) > 0 {
		h.idleEventInterval = req.IdleEventInterval
	}
	if req.Leaving {
		t.remove(req.Host, h)
		t.log.Info("host left", "peer", req.Host)
	}
	t.expire(now)
}

// countHost adds n to the number of gateways if the host is one.
func (t *hostTable) countHost(h *hostState, n int) {
	if h.kind == fleet.KindGateway {
		t.gateways += n
	}
}

// remove removes a host and its loads.
func (t *hostTable) remove(name string, h *hostState) {
	t.loads.replace(h.inFlight, nil)
	t.countHost(h, -1)
	delete(t.hosts, name)
}

// expire removes hosts that have stopped polling.
func (t *hostTable) expire(now time.Duration) {
	if now-t.lastExpiry < expireInterval {
		return
	}
	t.lastExpiry = now
	for name, h := range t.hosts {
		if now-h.lastPoll > hostTimeout {
			t.remove(name, h)
			t.log.Info("host timed out", "peer", name, "silent_ms", (now - h.lastPoll).Milliseconds())
		}
	}
}

// peers returns the addresses of up to maxPeers random gateways other than the given host, those that
// are cut off from the targets only if there are no others.
func (t *hostTable) peers(host string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out, cutOff []string
	for name, h := range t.hosts { // map iteration order is random
		if name == host || h.kind != fleet.KindGateway || h.address == "" {
			continue
		}
		if h.cutOff {
			cutOff = append(cutOff, h.address)
			continue
		}
		out = append(out, h.address)
		if len(out) == maxPeers {
			break
		}
	}
	out = append(out, cutOff...)
	return out[:min(len(out), maxPeers)]
}

// gatewayBodies returns the lowest revision of the view of the store hosts that any gateway holds which
// writes to them, and whether there are gateways and all of them understand references to bodies.
func (t *hostTable) gatewayBodies(term uint64) (oldestView uint64, ready bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startTerm(term, clock.Now())
	oldestView, ready = math.MaxUint64, t.gateways > 0
	for _, h := range t.hosts {
		if h.kind != fleet.KindGateway {
			continue
		}
		if h.features&fleet.FeatureBodies == 0 {
			ready = false
			continue
		}
		oldestView = min(oldestView, h.storeView)
	}
	return oldestView, ready
}

// understandsBodies reports whether a host's last poll said that it understands references to bodies.
func (t *hostTable) understandsBodies(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[name]
	return h != nil && h.features&fleet.FeatureBodies != 0
}

// setTargets switches to a new list of targets, sorted by id: it sums up the loads anew and
// discards the outcomes of targets that were removed or have restarted. It does nothing if the
// digest is that of the present list.
func (t *hostTable) setTargets(digest uint64, targets []fleet.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loads.reset(digest, targets) {
		return
	}
	t.outcomes.retain(targets)
	for _, h := range t.hosts {
		t.loads.replace(nil, h.inFlight)
	}
}

// fillFleetState fills in what a gateway needs to know of the other gateways. listDigest
// identifies the list of targets that the gateway holds once it has applied the reply; loads are
// sent only if they belong to that list.
func (t *hostTable) fillFleetState(req *fleet.PollRequest, listDigest uint64, reply *fleet.PollReply) {
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	reply.Gateways = t.gateways
	reply.FailurePercent = t.outcomes.failingTargets(now, req.Zone)
	if t.blocked.digest != req.Blocked {
		reply.Blocked, reply.BlockedChanged = t.blocked.digests, true
	}
	interval := t.loads.sendInterval()
	if reply.Limits != nil {
		interval *= 3 // leaves room for the limits when most targets name one at once
	}
	h := t.hosts[req.Host]
	if h == nil || listDigest != t.loads.digest || now-h.loadsSentAt < interval {
		return
	}
	h.loadsSentAt = now
	reply.Loads = fleet.EncodeLoads(t.loads.counts)
}

// targetIndex returns the positions of the listed targets, or nil if the list with the given
// digest is not the present one. Callers must not modify the result.
func (t *hostTable) targetIndex(listDigest uint64) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if listDigest != t.loads.digest {
		return nil
	}
	return t.loads.index
}

// minIdleEventInterval returns, by service, the shortest time between events of idle engines that
// any gateway has reported, in ms.
func (t *hostTable) minIdleEventInterval() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]float64{}
	for _, h := range t.hosts {
		for service, ms := range h.idleEventInterval {
			if least, known := out[service]; !known || ms < least {
				out[service] = ms
			}
		}
	}
	return out
}

// gatewayNames returns the names of the gateways in contact, sorted, and of those that lack a feature.
// settled is false while a new leader may not have received a poll from each of them yet.
func (t *hostTable) gatewayNames(term, feature uint64) (names, lacking []string, settled bool) {
	const featureSettleTime = time.Second
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startTerm(term, now)
	t.expire(now)
	for name, h := range t.hosts {
		if h.kind != fleet.KindGateway {
			continue
		}
		names = append(names, name)
		if h.features&feature == 0 {
			lacking = append(lacking, name)
		}
	}
	slices.Sort(names)
	slices.Sort(lacking)
	return names, lacking, now-t.termStart > featureSettleTime
}

// list returns the hosts sorted by name.
func (t *hostTable) list(term uint64) *fleet.HostsReply {
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startTerm(term, now)
	reply := &fleet.HostsReply{Complete: now-t.termStart > settleTime}
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
