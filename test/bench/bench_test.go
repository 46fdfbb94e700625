package main

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

func TestBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench")
}

var _ = Describe("bench", func() {
	// Guards against truncated answers and refusals that are counted as successful.
	DescribeTable("reads the time to first token only from complete answers", func(text string, whole bool) {
		_, err := readFirst(strings.NewReader(text), time.Now())
		Expect(err == nil).To(Equal(whole))
	},
		Entry("a complete answer", "data: {\"content\":\"a\"}\n\ndata: [DONE]\n", true),
		Entry("a truncated answer", "data: {\"content\":\"a\"}\n\n", false),
		Entry("an answer without text", "data: {\"content\":\"\"}\n\ndata: [DONE]\n", false),
	)

	// Guards against quantiles that are off by one or include failed calls.
	It("computes quantiles of successful calls", func() {
		s := &sample{}
		for i := range 100 {
			s.add(time.Duration(100-i)*time.Millisecond, nil)
		}
		s.add(time.Hour, errors.New("failed"))
		Expect(s.quantile(.5)).To(BeNumerically("==", 51))
		Expect(s.quantile(1)).To(BeNumerically("==", 100))
		Expect(s.count()).To(Equal(100))
		Expect(s.errors).To(Equal(1))
	})

	// Guards against misreading the text format of the files in /proc/<pid>.
	It("parses fields of the files in /proc", func() {
		Expect(parseField("VmPeak:	  10 kB\nVmRSS:	  4096 kB\n", "VmRSS:")).To(BeEquivalentTo(4096))
		Expect(parseField("nothing", "VmRSS:")).To(BeZero())
	})
})
