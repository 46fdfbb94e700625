package gateway

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a small organisation whose burst lies unused in the reserves of many gateways,
// each of which sees only an occasional request of the organisation.
func TestTokensWanted(t *testing.T) {
	for _, c := range []struct {
		desc   string
		al     allowance
		tokens float64
	}{
		{"occasional requests", allowance{demand: 0.1}, 0},
		{"just below one request per reserve window", allowance{demand: 0.6}, 0},
		{"steady demand", allowance{demand: 10}, 15},
		{"steady demand, half in reserve", allowance{demand: 10, tokens: 8}, 7},
		{"little demand, three requests wait", allowance{demand: 0.1, waiting: 3}, 3},
	} {
		t.Run(c.desc, func(t *testing.T) {
			NewWithT(t).Expect(c.al.tokensWanted()).To(BeNumerically("~", c.tokens, 0.001))
		})
	}
}
