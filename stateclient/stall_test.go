package stateclient

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/gomega"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
	"github.com/figlb/figlb/wire"
)

// Guards against refusing commands that were sent within the rate but waited for a new
// leader, and against a wait that extends itself, which would keep an organisation that
// exceeds its rate waiting forever.
func TestRateRefusalsWaitOnlyAfterAStall(t *testing.T) {
	g := gomega.NewWithT(t)
	var calls atomic.Int64
	var delay, refusals atomic.Int64
	server, err := wire.Listen("127.0.0.1:0", nil, logr.Discard())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer server.Close()
	server.Handle(MethodRateDebit, func(context.Context, []byte) (any, error) {
		calls.Add(1)
		time.Sleep(time.Duration(delay.Swap(0)))
		if refusals.Add(-1) >= 0 {
			return nil, errs.New(errs.RateLimited, "retry", "over the rate").WithRetryAfter(10 * time.Millisecond)
		}
		return &structs.OrgReply{}, nil
	})
	go server.Serve()
	c, err := New([]string{server.Addr()}, 1, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer c.Close()
	debit := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return c.Debit(ctx, "acme", structs.Debit{})
	}

	refusals.Store(1)
	g.Expect(errs.Is(debit(), errs.RateLimited)).To(gomega.BeTrue(), "without a stall the command is refused at once")
	g.Expect(calls.Load()).To(gomega.BeEquivalentTo(1))

	refusals.Store(3)
	delay.Store(int64(2 * stallThreshold))
	g.Expect(debit()).To(gomega.Succeed(), "a delayed command waits for the rate")
	refusals.Store(2)
	g.Expect(debit()).To(gomega.Succeed(), "a command shortly after a delayed one waits as well")

	refusals.Store(1 << 30)
	start := time.Now()
	g.Expect(errs.Is(debit(), errs.RateLimited)).To(gomega.BeTrue())
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", maxRateWait+time.Second))
	start = time.Now()
	g.Expect(errs.Is(debit(), errs.RateLimited)).To(gomega.BeTrue())
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second), "the wait does not extend itself")
}
