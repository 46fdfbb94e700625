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

// Guards against poll replies that repeat what a gateway already holds: with hundreds of gateways
// the leader sent 51 MB/s, most of it the unchanged list of targets after each read. The bound is
// the design goal of 11 KB/s of control traffic to each gateway, with 370 gateways, 2,800 targets
// and 5 polls a second.
func TestPollReplySizeInSteadyState(t *testing.T) {
	const (
		gateways, targets  = 370, 2800
		seconds            = 2
		pollsPerSecond     = 5
		inFlightPerGateway = 10
		maxBytesPerSecond  = 11_000
	)
	g := NewWithT(t)
	s := New(Options{Node: leadingNode{}, Document: documentsm.New(), Lister: fixedLister(targets), Log: logr.Discard()})
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
