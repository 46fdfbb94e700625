package standin_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/standin/hostlist"
	"github.com/figlb/figlb/standin/orders"
	"github.com/figlb/figlb/standin/server"
	"github.com/figlb/figlb/standin/tools"
	"github.com/figlb/figlb/standin/weights"
)

func TestStandins(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stand-ins")
}

const anyAddress = "127.0.0.1:0"

// client does not follow redirects and times out when a call hangs.
var client = &http.Client{
	Timeout:       time.Second,
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// do sends a request with a call key and returns the status and the body of the reply. If
// there was no reply, the status is 0 and the text is the error.
func do(method, url, body, key string) (int, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set(orders.KeyHeader, key)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(out)
}

func startOrders(store *orders.Store) *orders.Service {
	s, err := orders.Start(anyAddress, store)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	return s
}

var _ = Describe("the order service", func() {
	DescribeTable("counts executions even if the caller gets no reply",
		func(fault server.Fault, status, executions int) {
			store := orders.NewStore()
			s := startOrders(store)
			s.Inject(fault)
			got, _ := do("POST", s.URL()+"/orders", `{"ref":"r1"}`, "k1")
			Expect(got).To(Equal(status))
			Expect(store.Executions().ByKey["k1"]).To(Equal(executions))
			Expect(store.Executions().ByRef["r1"]).To(Equal(executions))
			known, result := do("GET", s.URL()+"/orders/status/k1", "", "")
			Expect(known == http.StatusOK && strings.Contains(result, `"ref":"r1"`)).To(Equal(executions > 0))
		},
		Entry("without a fault", server.Fault{}, 201, 1),
		Entry("delayed", server.Fault{Kind: server.FaultDelay, DelayMS: 20, Path: "/orders"}, 201, 1),
		Entry("hung after the execution", server.Fault{Kind: server.FaultHangAfter, Count: 1}, 0, 1),
		Entry("dropped after the execution", server.Fault{Kind: server.FaultDropAfter, Count: 1}, 0, 1),
		Entry("dropped before the execution", server.Fault{Kind: server.FaultDrop, Count: 1}, 0, 0),
		Entry("refused", server.Fault{Kind: server.FaultError, Status: 503, Count: 1}, 503, 0),
		Entry("redirected", server.Fault{Kind: server.FaultRedirect, Location: "/public/x", Count: 1}, 307, 0),
	)

	// Guards against a service that conceals duplicate requests, also when they reach
	// different replicas.
	It("executes each request it receives", func() {
		store := orders.NewStore()
		for range 2 {
			status, _ := do("POST", startOrders(store).URL()+"/orders", `{"ref":"r1"}`, "k1")
			Expect(status).To(Equal(http.StatusCreated))
		}
		Expect(store.Executions().ByKey).To(Equal(map[string]int{"k1": 2}))
	})

	DescribeTable("answers lookups as a function of the path",
		func(path string, status int) {
			s := startOrders(orders.NewStore())
			got, first := do("GET", s.URL()+path, "", "")
			Expect(got).To(Equal(status))
			_, second := do("GET", s.URL()+path, "", "")
			Expect(second).To(Equal(first))
		},
		Entry("catalogue", "/catalogue/disc/7", 200),
		Entry("open route", "/public/hours", 200),
		Entry("unknown route", "/elsewhere", 404),
	)

	// Guards against a watched text, such as a caller's key, that reaches a target
	// undetected in the path, the body or a header.
	DescribeTable("counts requests that contain a watched text",
		func(path, body, header string) {
			s := startOrders(orders.NewStore())
			s.Watch("secret")
			do("POST", s.URL()+path, body, header)
			Expect(s.Traffic().WatchHits["secret"]).To(Equal(1))
			Expect(s.Traffic().Headers).To(HaveKeyWithValue(orders.KeyHeader, 1))
		},
		Entry("in the path", "/elsewhere/secret", "", ""),
		Entry("in the body", "/orders", `{"ref":"secret"}`, ""),
		Entry("in a header", "/orders", "", "secret"),
	)
})

var _ = Describe("the other stand-ins", func() {
	It("delay and hang tool calls", func() {
		s, err := tools.Start(anyAddress, time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		begin := time.Now()
		status, body := do("POST", s.URL()+"/tools/proof", `{"delay_ms":30}`, "")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(ContainSubstring(`"tool":"proof"`))
		Expect(time.Since(begin)).To(BeNumerically(">=", 30*time.Millisecond))
		s.Inject(server.Fault{Kind: server.FaultHang})
		status, _ = do("POST", s.URL()+"/tools/proof", `{}`, "")
		Expect(status).To(BeZero())
	})

	// Guards against parallel downloads that exceed the configured rate in total.
	It("limit the total rate of weight downloads", func() {
		const rate, size = 1 << 20, 64 << 10
		s, err := weights.Start(anyAddress, rate, size)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		begin := time.Now()
		lengths := make(chan int, 2)
		for i := range 2 {
			go func() {
				defer GinkgoRecover()
				_, body := do("GET", fmt.Sprintf("%s/weights/m%d/part-1", s.URL(), i), "", "")
				lengths <- len(body)
			}()
		}
		Eventually(lengths).Should(Receive(Equal(size)))
		Eventually(lengths).Should(Receive(Equal(size)))
		Expect(time.Since(begin)).To(BeNumerically(">=", 2*size*time.Second/rate))
	})

	It("show changes of the host list after the lag", func() {
		const lag = 100 * time.Millisecond
		l, err := hostlist.Start(anyAddress, lag)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		begin := time.Now()
		status, _ := do("POST", l.URL()+"/admin/hosts", `{"hosts":[{"name":"h1","state":"leaving"}]}`, "")
		Expect(status).To(Equal(http.StatusNoContent))
		read := func() string {
			_, body := do("GET", l.URL()+"/hosts", "", "")
			return strings.TrimSpace(body)
		}
		Eventually(read).Should(Equal(`{"hosts":[{"name":"h1","state":"leaving"}]}`))
		Expect(time.Since(begin)).To(BeNumerically(">=", lag))
	})
})
