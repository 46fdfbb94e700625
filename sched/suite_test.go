package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/structs"
)

func TestSched(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sched")
}

// startTime is the time on a test pool's clock when it is created.
const startTime = time.Hour

// testPool is a pool with its own clock, which numbers requests and slots.
type testPool struct {
	*Pool
	now time.Duration
	seq int
}

// newTestPool returns a pool of n targets with the given slots and cold-start limit. All targets
// are at their cold-start limit.
func newTestPool(policy Policy, n, slots, cold int) *testPool {
	p := &testPool{Pool: NewPool(Options{}, policy, rand.New(rand.NewPCG(1, 2))), now: startTime}
	p.SetTargets(p.now, targetSpecs(n, slots, cold))
	return p
}

// targetSpecs returns n targets t0, t1 and so on, alternating between availability zones z0 and
// z1.
func targetSpecs(n, slots, cold int) []TargetSpec {
	var out []TargetSpec
	for i := range n {
		out = append(out, TargetSpec{
			Name: fmt.Sprintf("t%d", i), Zone: fmt.Sprintf("z%d", i%2), Slots: slots, ColdSlots: cold,
		})
	}
	return out
}

// enqueue queues a request, with a new id if it has none.
func (p *testPool) enqueue(r structs.AssignRequest) *Request {
	p.seq++
	if r.ID == "" {
		r.ID = fmt.Sprintf("r%d", p.seq)
	}
	q := &Request{AssignRequest: r}
	p.Enqueue(p.now, q)
	return q
}

// assignNext assigns one request and returns its slot, or nil.
func (p *testPool) assignNext() *Slot {
	p.seq++
	s, _, _ := p.Next(p.now, fmt.Sprintf("s%d", p.seq))
	return s
}

// finish releases a slot with the times that the cost model expects from its priors.
func (p *testPool) finish(s *Slot, o structs.Outcome) {
	ttft := priorFirstToken + time.Duration(s.Prompt)*priorPrefillPerToken
	p.Release(p.now, s, &structs.ReleaseSlot{
		Outcome: o, TTFT: ttft, Duration: ttft + 19*priorTokenTime,
		Usage: structs.Usage{PromptTokens: s.Prompt, CompletionTokens: 20},
	})
}

func (p *testPool) target(i int) *Target { return p.byName[fmt.Sprintf("t%d", i)] }
