package stateclient

import (
	"crypto/tls"
	"slices"
)

// NewDiscovering returns a client that starts with the addresses of some members and
// learns the others with SetMembers.
func NewDiscovering(seeds []string, groups int, tlsConf *tls.Config) (*Client, error) {
	c, err := New(seeds, groups, tlsConf)
	if err != nil {
		return nil, err
	}
	c.discovering = true
	return c, nil
}

// SetMembers replaces the member addresses that calls are sent to. An empty list changes nothing.
func (c *Client) SetMembers(members []string) {
	if len(members) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = slices.Clone(members)
}

// replaceConn discards the connection to a member that did not answer, because the network
// may drop its packets silently while a new connection works. The caller holds mu.
func (c *Client) replaceConn(addr string) {
	conn := c.conns[addr]
	if conn == nil {
		return
	}
	delete(c.conns, addr)
	go conn.Close()
}
