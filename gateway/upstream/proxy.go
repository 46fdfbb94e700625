package upstream

import (
	"context"
	"io"
	"net"

	"github.com/pkg/errors"
)

// DialThrough returns a function that connects to targets through a forward proxy, or nil if the proxy's
// address is empty. The proxy receives the address of the target in a line and accepts with one byte.
func DialThrough(proxy string) func(ctx context.Context, addr string) (net.Conn, error) {
	if proxy == "" {
		return nil
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", proxy)
		if err != nil {
			return nil, err
		}
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		if _, err = io.WriteString(c, addr+"\n"); err == nil {
			_, err = io.ReadFull(c, make([]byte, 1))
		}
		if !stop() || err != nil {
			_ = c.Close()
			return nil, errors.Errorf("the proxy does not connect to %s: %v", addr, err)
		}
		return c, nil
	}
}
