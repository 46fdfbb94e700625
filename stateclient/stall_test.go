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

// What had waited for a new leader was refused although it was sent within the rate, and a
// wait that renewed itself would have kept a flooding organisation waiting for ever.
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
	g.Expect(errs.Is(debit(), errs.RateLimited)).To(gomega.BeTrue(), "no stall: refused at once")
	g.Expect(calls.Load()).To(gomega.BeEquivalentTo(1))

	refusals.Store(3)
	delay.Store(int64(2 * stallThreshold))
	g.Expect(debit()).To(gomega.Succeed(), "a delayed command waits")
	refusals.Store(2)
	g.Expect(debit()).To(gomega.Succeed(), "a command that meets delayed ones waits as well")

	refusals.Store(1 << 30)
	start := time.Now()
	g.Expect(errs.Is(debit(), errs.RateLimited)).To(gomega.BeTrue())
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", maxRateWait+time.Second))
	start = time.Now()
	g.Expect(errs.Is(debit(), errs.RateLimited)).To(gomega.BeTrue())
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second), "the wait does not renew itself")
}
