package gateway

import (
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxCrashReports bounds the digests that are kept for the next poll. Further ones are dropped.
const maxCrashReports = 256

// crashReports collects the digests of requests after which a target went down, until a poll has
// reported them. A report is repeated under the same id until the controllers have recorded it.
type crashReports struct {
	mu       sync.Mutex
	digests  []uint64
	id       uint64   // of the report under way; 0: none
	reported []uint64 // the digests of the report under way
}

func (c *crashReports) add(digest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.digests) < maxCrashReports {
		c.digests = append(c.digests, digest)
	}
}

// report returns the report under way, or else a new one of what has been collected.
func (c *crashReports) report() (id uint64, digests []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.id == 0 && len(c.digests) > 0 {
		c.id, c.reported, c.digests = max(rand.Uint64(), 1), c.digests, nil
	}
	return c.id, c.reported
}

// recorded ends a report that the controllers have recorded.
func (c *crashReports) recorded(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.id == id {
		c.id, c.reported = 0, nil
	}
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
