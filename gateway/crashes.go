package gateway

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxCrashReports bounds the digests that are kept for the next poll. Further ones are dropped.
const maxCrashReports = 256

// crashReports collects the digests of requests after which a target went down.
type crashReports struct {
	mu      sync.Mutex
	digests []uint64
}

func (c *crashReports) add(digest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.digests) < maxCrashReports {
		c.digests = append(c.digests, digest)
	}
}

// take returns the collected digests and starts anew.
func (c *crashReports) take() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.digests
	c.digests = nil
	return out
}

// digest identifies the content of a request. It is equal for all attempts of the request.
func (x *exchange) digest() uint64 {
	h := xxhash.New()
	for _, s := range []string{x.org, "\x00", x.r.Method, "\x00", x.r.Host, "\x00", x.r.RequestURI, "\x00"} {
		_, _ = h.WriteString(s) // a hash does not fail
	}
	_, _ = h.Write(x.body)
	return h.Sum64()
}
