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
	// Guards against cut answers and refusals that are counted as answered.
	DescribeTable("reads the first token only of whole answers", func(text string, whole bool) {
		_, err := readFirst(strings.NewReader(text), time.Now())
		Expect(err == nil).To(Equal(whole))
	},
		Entry("a whole answer", "data: {\"content\":\"a\"}\n\ndata: [DONE]\n", true),
		Entry("a cut answer", "data: {\"content\":\"a\"}\n\n", false),
		Entry("an answer without text", "data: {\"content\":\"\"}\n\ndata: [DONE]\n", false),
	)

	// Guards against quantiles that are off by one or counted with failures.
	It("computes quantiles of successful calls", func() {
		s := &sample{}
		for i := range 100 {
			s.add(time.Duration(100-i)*time.Millisecond, nil)
		}
		s.add(time.Hour, errors.New("failed"))
		Expect(s.at(.5)).To(BeNumerically("==", 51))
		Expect(s.at(1)).To(BeNumerically("==", 100))
		Expect(s.count()).To(Equal(100))
		Expect(s.errors).To(Equal(1))
	})

	// Guards against a changed layout of what the kernel reports.
	It("reads fields of the kernel's text", func() {
		Expect(field("VmPeak:	  10 kB\nVmRSS:	  4096 kB\n", "VmRSS:")).To(BeEquivalentTo(4096))
		Expect(field("nothing", "VmRSS:")).To(BeZero())
	})
})
