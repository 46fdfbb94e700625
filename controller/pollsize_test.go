package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/gateway/balance"
	"github.com/figlb/figlb/internal/clock"
	"github.com/figlb/figlb/statemachine/documentsm"
)

// leadingNode leads every group in term 1 and has five members.
type leadingNode struct{ unimplementedReplica }

func (leadingNode) IsLeader(uint32) bool           { return true }
func (leadingNode) Leader(uint32) (string, uint64) { return "", 1 }
func (leadingNode) Members() []string {
	return []string{"10.0.0.1:7780", "10.0.0.2:7780", "10.0.0.3:7780", "10.0.0.4:7780", "10.0.0.5:7780"}
}

// fixedLister lists the same warm targets with each read. Its value is the number of targets.
type fixedLister int

func (n fixedLister) List(context.Context) ([]fleet.Target, error) {
	out := make([]fleet.Target, n)
	for i := range out {
		out[i] = fleet.Target{ID: fmt.Sprintf("i-%08x", i), Service: "s", Address: fmt.Sprintf("10.9.%d.%d:8080", i/250, i%250), Zone: "a", Slots: 16}
	}
	return out, nil
}

// modelLister lists the same targets as fixedLister, spread over five services.
type modelLister int

func (n modelLister) List(ctx context.Context) ([]fleet.Target, error) {
	out, err := fixedLister(n).List(ctx)
	for i := range out {
		out[i].Service = modelOf(i)
	}
	return out, err
}

// modelOf returns the name of the service of the nth target or request.
func modelOf(n int) string { return fmt.Sprint("model-", n%5) }

// pollingHost simulates a gateway that polls the leader.
type pollingHost struct {
	req fleet.PollRequest
}

// poll sends one poll and returns the size of the encoded reply in bytes.
func (h *pollingHost) poll(t *testing.T, s *Server) int {
	t.Helper()
	reply, err := s.poll(context.Background(), &h.req)
	if err != nil {
		t.Fatal(err)
	}
	body, err := msgpack.Marshal(reply)
	if err != nil {
		t.Fatal(err)
	}
	h.req.Update(reply)
	h.req.Version, h.req.ZoneRevision = reply.Version, reply.ZoneRevision
	return len(body)
}

// inFlightPerGateway is the number of targets at which a simulated gateway has a request in flight.
const inFlightPerGateway = 10

// startPolling reads the list of targets and has each of the gateways poll once.
func startPolling(t *testing.T, s *Server, gateways, targets int) []*pollingHost {
	t.Helper()
	hosts := make([]*pollingHost, gateways)
	for i := range hosts {
		h := &pollingHost{}
		h.req = fleet.PollRequest{Host: fmt.Sprint("edge-", i), Kind: fleet.KindGateway, Zone: "a", Address: fmt.Sprintf("10.1.%d.%d:7780", i/250, i%250)}
		h.req.InFlight = map[string]int32{}
		for n := range inFlightPerGateway {
			h.req.InFlight[fmt.Sprintf("i-%08x", (i*inFlightPerGateway+n)%targets)]++
		}
		hosts[i] = h
	}
	s.readTargets(context.Background(), 1)
	for _, h := range hosts {
		h.poll(t, s)
	}
	return hosts
}

// Guards against poll replies that repeat what a gateway already holds: with hundreds of gateways
// the leader sent 51 MB/s, most of it the unchanged list of targets after each read. The bound is
// the design goal of 11 KB/s of control traffic to each gateway, with 370 gateways, 2,800 targets
// and 5 polls a second.
func TestPollReplySizeInSteadyState(t *testing.T) {
	const (
		gateways, targets = 370, 2800
		seconds           = 2
		pollsPerSecond    = 5
		maxBytesPerSecond = 11_000
	)
	g := NewWithT(t)
	s := New(Options{Node: leadingNode{}, Document: documentsm.New(), Lister: fixedLister(targets), Log: logr.Discard()})
	hosts := startPolling(t, s, gateways, targets)
	sent, began := 0, clock.Now()
	for range seconds {
		for n := range pollsPerSecond {
			if n%2 == 0 {
				s.readTargets(context.Background(), 1)
			}
			for _, h := range hosts {
				sent += h.poll(t, s)
			}
			time.Sleep(time.Second / pollsPerSecond)
		}
	}
	perSecond := float64(sent) / gateways / (clock.Now() - began).Seconds()
	t.Logf("%.0f bytes per second to each gateway", perSecond)
	g.Expect(perSecond).To(BeNumerically("<", maxBytesPerSecond), "bytes per second to each gateway")
}

// Guards against control traffic beyond the design goal of 11 KB/s a gateway, and against limits that
// are in force too late, when all targets of a large site name a request limit at once: 2,800 targets,
// and for each of 370 gateways eight requests a second, which all need a permit. The test runs a fifth
// of the gateways, so that it keeps pace with the clock.
func TestControlTrafficWhileAllTargetsNameLimits(t *testing.T) {
	const (
		gateways, targets    = 74, 2800
		heardByGateway       = 8
		pollsPerSecond       = 5
		requestsPerFivePolls = 8    // of one gateway
		otherBytesPerSecond  = 3000 // calls for rates and to the ledger, as docs/CAPACITY.md has them
		maxBytesPerSecond    = 11_000 - otherBytesPerSecond
		maxSpread            = 4 * time.Second
		frameBytes           = 80 // of a call and its reply, the name of the method included
		perSecond            = 0.5
	)
	g := NewWithT(t)
	s := New(Options{Node: leadingNode{}, Document: documentsm.New(), Lister: modelLister(targets), Log: logr.Discard()})
	listed, _ := modelLister(targets).List(context.Background())
	hosts := startPolling(t, s, gateways, targets)
	sets := make([]*balance.Set, gateways)
	for i := range sets {
		sets[i] = balance.NewSet("a")
		sets[i].Update(clock.Now(), listed)
		// Each gateway has just heard the limits of a few targets. The other gateways report the rest.
		for n := range heardByGateway {
			target := sets[i].AcquirePermitted(clock.Now(), fmt.Sprintf("i-%08x", (i*heardByGateway+n)%targets), &balance.Criteria{})
			sets[i].HearLimit(clock.Now(), target, perSecond)
			sets[i].Release(target)
		}
	}
	for _, target := range listed[gateways*heardByGateway:] {
		s.limits.report(clock.Now(), 1, []fleet.LimitStatement{{Target: target.ID, PerSecond: perSecond}})
	}
	size := func(v any) int {
		body, err := msgpack.Marshal(v)
		g.Expect(err).NotTo(HaveOccurred())
		return len(body)
	}
	bytes, polls, known, began := 0, 0, 0, clock.Now()
	for known < gateways*targets && polls < 10*pollsPerSecond {
		polls++
		known = 0
		for i, h := range hosts {
			now := clock.Now()
			h.req.Limits = sets[i].UnreportedLimits(now, 10)
			bytes += size(&h.req) + frameBytes
			reply, err := s.poll(context.Background(), &h.req)
			g.Expect(err).NotTo(HaveOccurred())
			bytes += size(reply)
			sets[i].LimitsReported(h.req.Limits)
			h.req.Update(reply)
			if reply.Limits != nil {
				limits, err := reply.Limits.Limits.Decode()
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(sets[i].ApplyLimits(now, limits)).To(BeTrue())
			}
			for n := polls * requestsPerFivePolls / 5; n > (polls-1)*requestsPerFivePolls/5; n-- {
				if permit := sendToLimited(t, s, sets[i], i+n, perSecond, size); permit > 0 {
					bytes += permit + frameBytes
				}
			}
			known += sets[i].CountLimited()
		}
		time.Sleep(began + time.Duration(polls)*time.Second/pollsPerSecond - clock.Now())
	}
	// A gateway polls at its pace also where this test runs slowly, so polls measure the time here.
	spread := time.Duration(polls) * time.Second / pollsPerSecond
	rate := float64(bytes) / gateways / (clock.Now() - began).Seconds()
	t.Logf("%.0f bytes per second of each gateway, all limits known everywhere after %s", rate, spread)
	g.Expect(spread).To(BeNumerically("<=", maxSpread))
	g.Expect(rate).To(BeNumerically("<", maxBytesPerSecond))
}

// sendToLimited sends a request whose target names a limit and returns the bytes of the request for its
// permit.
func sendToLimited(t *testing.T, s *Server, set *balance.Set, n int, perSecond float64, size func(any) int) int {
	t.Helper()
	now, c := clock.Now(), &balance.Criteria{Service: modelOf(n), Affinity: fmt.Sprint(n)}
	req := set.PermitCandidates(now, c)
	if req == nil {
		target, _ := set.Acquire(now, c)
		set.HearLimit(now, target, perSecond)
		set.Release(target)
		return 0
	}
	reply, err := s.permit(context.Background(), req)
	if err != nil {
		t.Fatal(err)
	}
	if reply.Granted > 0 {
		set.Release(set.AcquirePermitted(now, req.Candidates[reply.Granted-1], &balance.Criteria{}))
	} else {
		set.PermitDenied(now, req, reply)
	}
	return size(req) + size(reply)
}
