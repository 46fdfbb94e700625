package replica

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/errs"
)

// registerOp is a write of a value, or a read if write is empty.
type registerOp struct{ write string }

// registerModel is the model of a register. A write of unknown outcome may take effect at any
// time after its call.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if w := input.(registerOp).write; w != "" {
			return true, w
		}
		return output.(string) == state.(string), state
	},
}

// history collects the operations of concurrent clients.
type history struct {
	mu        sync.Mutex
	startedAt time.Time
	ops       []porcupine.Operation
}

func (h *history) now() int64 { return int64(time.Since(h.startedAt)) }

func (h *history) add(client int, op registerOp, call int64, out string, ret int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Call: call, Output: out, Return: ret})
}

const (
	clientTimeout = time.Second
	// unknownReturn is the return time of a write whose outcome is not known.
	unknownReturn = int64(time.Hour)
)

// withoutUnobservedWrites returns the operations without the writes of unknown outcome that
// no read has returned. Values are unique, so these writes do not affect the result, but the
// checker would try every position for them.
func (h *history) withoutUnobservedWrites() []porcupine.Operation {
	seen := map[string]bool{}
	for _, op := range h.ops {
		seen[op.Output.(string)] = true
	}
	var out []porcupine.Operation
	for _, op := range h.ops {
		if op.Return != unknownReturn || seen[op.Input.(registerOp).write] {
			out = append(out, op)
		}
	}
	return out
}

// runClients starts n clients that run operations against random members, not only leaders,
// until stop is closed.
func (c *cluster) runClients(n int, h *history, nodes []*node, stop chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for id := range n {
		wg.Go(func() {
			defer GinkgoRecover()
			rng := rand.New(rand.NewSource(GinkgoRandomSeed() + int64(id)))
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rng.Intn(10)) * time.Millisecond):
				}
				nd := nodes[rng.Intn(len(nodes))]
				if rng.Intn(2) == 0 {
					h.write(id, nd, fmt.Sprintf("%d-%d", id, i))
				} else {
					h.read(id, nd)
				}
			}
		})
	}
	return &wg
}

func (h *history) write(client int, nd *node, value string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	r, _ := nd.current()
	if r == nil {
		return
	}
	call := h.now()
	_, err := r.Propose(ctx, testGroup, []byte(value))
	switch {
	case err == nil:
		h.add(client, registerOp{write: value}, call, "", h.now())
	case !errs.Is(err, errs.NotLeader):
		h.add(client, registerOp{write: value}, call, "", unknownReturn)
	}
}

func (h *history) read(client int, nd *node) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	r, sm := nd.current()
	if r == nil {
		return
	}
	call := h.now()
	if r.ReadIndex(ctx, testGroup) == nil {
		h.add(client, registerOp{}, call, sm.last(), h.now())
	}
}

var _ = Describe("a register under faults", func() {
	It("is linearizable (guards against stale reads and lost or repeated writes)", func() {
		c := startCluster(5, func(cfg *Config) { cfg.SnapshotEntries, cfg.RetainEntries = 200, 20 })
		h := &history{startedAt: time.Now()}
		stop := make(chan struct{})
		wg := c.runClients(8, h, c.nodes, stop)
		rng := rand.New(rand.NewSource(GinkgoRandomSeed()))
		for round := range 6 {
			nd := c.waitLeader(5 * time.Second)
			if rng.Intn(3) == 0 {
				nd = c.nodes[rng.Intn(len(c.nodes))]
			}
			pause := func() { time.Sleep(time.Duration(500+rng.Intn(700)) * time.Millisecond) }
			switch round % 3 {
			case 0:
				nd.setPartitioned(true)
				pause()
				nd.setPartitioned(false)
			case 1:
				suspendFor(nd, 800*time.Millisecond)
				pause()
			case 2:
				nd.kill()
				if rng.Intn(2) == 0 {
					nd.wipe()
				}
				pause()
				nd.start()
				c.waitVoter(nd)
			}
			pause()
		}
		close(stop)
		wg.Wait()
		reads := 0
		for _, op := range h.ops {
			if op.Input.(registerOp).write == "" {
				reads++
			}
		}
		GinkgoWriter.Println("operations:", len(h.ops), "reads:", reads)
		Expect(reads).To(BeNumerically(">", 100))
		Expect(porcupine.CheckOperationsTimeout(registerModel, h.withoutUnobservedWrites(), time.Minute)).To(Equal(porcupine.Ok))
	})
})
