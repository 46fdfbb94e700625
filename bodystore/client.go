package bodystore

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/fleet"
	"github.com/figlb/figlb/wire"
)

const (
	// silentLimit is the time without a reply after which a connection with unanswered calls is
	// replaced, because the network may drop its packets silently. A slow store answers within 150 ms.
	silentLimit = time.Second
	// idleLimit is the time after which an unused connection is closed.
	idleLimit = time.Minute
)

// Client calls stores. It keeps two connections to each: one for small messages and reads, one for
// bodies to be stored, which would delay the others. It is safe for concurrent use.
type Client struct {
	mu     sync.Mutex
	conns  map[connKey]*pooledConn
	pruned time.Time
}

type connKey struct {
	address string
	bulk    bool
}

// pooledConn is a connection to a store. Its fields are guarded by Client.mu.
type pooledConn struct {
	*wire.Client
	used     time.Time // when the last call began or ended
	inFlight int
	// silentSince is when the first call began that has not been followed by a reply; zero: none.
	silentSince time.Time
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{conns: map[connKey]*pooledConn{}} }

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, conn := range c.conns {
		conn.Close()
		delete(c.conns, key)
	}
}

// Put stores a body on the store at an address. It returns nil once the body is durable there.
func (c *Client) Put(ctx context.Context, address string, body *fleet.BodyPut) error {
	_, err := c.Send(ctx, address, body)
	return err
}

// Send stores a body like Put and returns the store's reply.
func (c *Client) Send(ctx context.Context, address string, body *fleet.BodyPut) (*fleet.BodyPutReply, error) {
	return call[fleet.BodyPutReply](ctx, c, connKey{address, true}, fleet.MethodBodyPut, body)
}

// Get returns the bodies with the given keys from the store at an address, in the order of the keys. A
// body that the store does not have is returned with Found unset. On an error, it returns the bodies
// received so far as well.
func (c *Client) Get(ctx context.Context, address string, keys []string) ([]fleet.Body, error) {
	bodies := make([]fleet.Body, 0, len(keys))
	for len(bodies) < len(keys) {
		rest := keys[len(bodies):]
		reply, err := call[fleet.BodyGetReply](ctx, c, connKey{address, false}, fleet.MethodBodyGet, &fleet.BodyGet{Keys: rest})
		if err != nil {
			return bodies, err
		}
		if len(reply.Bodies) == 0 || len(reply.Bodies) > len(rest) {
			return bodies, errors.Errorf("store %s answered with %d bodies for %d keys", address, len(reply.Bodies), len(rest))
		}
		for i := range reply.Bodies {
			if reply.Bodies[i].Key != rest[i] {
				return bodies, errors.Errorf("store %s answered with the bodies in another order", address)
			}
		}
		bodies = append(bodies, reply.Bodies...)
	}
	return bodies, nil
}

// Offer tells the store at an address which bodies the caller holds.
func (c *Client) Offer(ctx context.Context, address string, offer *fleet.BodyOffer) (*fleet.BodyOfferReply, error) {
	return call[fleet.BodyOfferReply](ctx, c, connKey{address, false}, fleet.MethodBodyOffer, offer)
}

// call sends a request to a store. It returns when ctx ends, even if the connection is blocked in a dial
// or a write.
func call[R any](ctx context.Context, c *Client, key connKey, method string, req any) (*R, error) {
	conn := c.acquire(key, time.Now())
	type result struct {
		reply *R
		err   error
	}
	done := make(chan result, 1)
	go func() {
		reply := new(R)
		err := conn.Call(ctx, method, req, reply)
		// A call that ctx has ended says nothing about the connection.
		c.release(conn, time.Now(), ctx.Err() == nil)
		done <- result{reply, err}
	}()
	select {
	case res := <-done:
		if res.err != nil {
			return nil, res.err
		}
		return res.reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// acquire returns the connection to a store and creates it on first use. A connection that has been
// silent for too long is replaced.
func (c *Client) acquire(key connKey, now time.Time) *pooledConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune(now)
	conn := c.conns[key]
	if conn != nil && !conn.silentSince.IsZero() && now.Sub(conn.silentSince) > silentLimit {
		go conn.Close() // may wait for a dial
		conn = nil
	}
	if conn == nil {
		conn = &pooledConn{Client: wire.NewClient(key.address, nil)}
		c.conns[key] = conn
	}
	if conn.silentSince.IsZero() {
		conn.silentSince = now
	}
	conn.used = now
	conn.inFlight++
	return conn
}

// release ends a call; answered reports whether the store or the connection has given a result.
func (c *Client) release(conn *pooledConn, now time.Time, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.used = now
	conn.inFlight--
	switch {
	case answered && conn.inFlight > 0:
		conn.silentSince = now
	case answered:
		conn.silentSince = time.Time{}
	}
}

// prune closes connections that have not been used for idleLimit, such as those to stores that have
// left. The caller holds mu.
func (c *Client) prune(now time.Time) {
	if now.Sub(c.pruned) < idleLimit/4 {
		return
	}
	c.pruned = now
	for key, conn := range c.conns {
		if conn.inFlight == 0 && now.Sub(conn.used) > idleLimit {
			delete(c.conns, key)
			go conn.Close()
		}
	}
}
