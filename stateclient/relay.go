package stateclient

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/figlb/figlb/fleet"
)

// SetRelays routes calls through gateways that forward them to the controllers, for a host
// that cannot reach the controllers itself. An empty list routes calls directly again.
// In-flight calls change over with their next attempt.
func (c *Client) SetRelays(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays = slices.Clone(addresses)
	for _, addr := range addresses {
		c.knownRelays[addr] = true
	}
}

// UsesRelays reports whether calls are routed through relays.
func (c *Client) UsesRelays() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.relays) > 0
}

// pickRelay returns a random relay, or an empty string if there are none. The caller holds
// mu.
func (c *Client) pickRelay() string {
	if len(c.relays) == 0 {
		return ""
	}
	return c.relays[rand.IntN(len(c.relays))]
}

// LeaderReachable reports whether the leader of the document group can be reached from this host
// without a relay.
func (c *Client) LeaderReachable(ctx context.Context) bool {
	c.mu.Lock()
	members := slices.Clone(c.members)
	c.mu.Unlock()
	r := &request{group: fleet.DocumentGroup, method: fleet.MethodContact, timeout: controllerAttemptTimeout}
	answered := make(chan bool, len(members))
	for _, addr := range members {
		go func() {
			_, err := attempt[fleet.ContactReply](ctx, c, addr, r, struct{}{})
			if classify(err).silent {
				c.mu.Lock()
				c.replaceConn(addr)
				c.mu.Unlock()
			}
			answered <- err == nil
		}()
	}
	for range members {
		if <-answered {
			return true
		}
	}
	return false
}
