package load_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/load"
	"github.com/figlb/figlb/standin/engine"
	"github.com/figlb/figlb/standin/server"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

// quickKind returns short programs.
func quickKind() load.Kind {
	k := load.DefaultKind()
	k.Pause = time.Millisecond
	k.AnswerTokens = 10
	return k
}

var _ = Describe("a run against an engine", func() {
	DescribeTable("tells right answers from wrong ones",
		func(faults []server.Fault, violations ...string) {
			e, err := engine.Start("127.0.0.1:0", engine.DefaultConfig())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(e.Close)
			e.Inject(faults...)
			cfg := load.Defaults()
			cfg.Entries = []string{e.URL()}
			cfg.Direct = true
			cfg.Duration = 300 * time.Millisecond
			cfg.Orgs = []load.Org{{Name: "a", Programs: 40}}
			cfg.Kinds = []load.Kind{quickKind()}
			res, err := load.Run(context.Background(), cfg)
			Expect(err).NotTo(HaveOccurred())
			var got []string
			for v := range res.Violations {
				got = append(got, v)
			}
			Expect(got).To(ConsistOf(violations))
			Expect(res.Orgs["a"].Admitted).To(Equal(res.Orgs["a"].Offered))
			Expect(res.Classes["interactive"].TTFT.Count).To(BeEquivalentTo(res.Orgs["a"].Admitted))
		},
		// Guards against false alarms.
		Entry("a sound engine", nil),
		// Guards against taking a resend after a broken connection for a fault of figlb.
		Entry("broken connections", []server.Fault{{Kind: server.FaultHalf, Count: 3, AfterTokens: 2}}),
		Entry("errors", []server.Fault{{Kind: server.FaultError, Status: 503, Count: 3}}),
		// Guards against accepting a stream that ends early without an error.
		Entry("streams that end early", []server.Fault{{Kind: server.FaultCut, Count: 1, AfterTokens: 2}}, "cut_answer"),
	)
})
