package dispatch

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a remedy that sends operators to the declaration when a limit has been reached.
func TestPoolLimitIsNamed(t *testing.T) {
	g := NewWithT(t)
	m := &Manager{schedulers: map[string]*scheduler{}}
	for i := range maxPools {
		m.schedulers[fmt.Sprint("pool", i)] = &scheduler{}
	}
	_, err := m.findScheduler("one-more")
	g.Expect(err).To(MatchError(ContainSubstring("not among the 1024 pools")))
}
