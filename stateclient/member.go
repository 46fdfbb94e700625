package stateclient

import (
	"context"
	"sync"

	"github.com/figlb/figlb/structs"
)

// Members returns the status of each reachable member and the error of each other one,
// both by address.
func (c *Client) Members(ctx context.Context) (map[string]structs.MemberStatus, map[string]error) {
	var mu sync.Mutex
	up, down := map[string]structs.MemberStatus{}, map[string]error{}
	var wg sync.WaitGroup
	for _, addr := range c.members {
		wg.Go(func() {
			st, err := attempt[structs.MemberStatus](ctx, c, addr, &request{method: MethodStatus}, struct{}{})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				down[addr] = err
				return
			}
			up[addr] = *st
		})
	}
	wg.Wait()
	return up, down
}

// memberID is the request of member.remove.
type memberID struct {
	ID string `msgpack:"i"`
}

// RemoveMember removes a member from all groups.
func (c *Client) RemoveMember(ctx context.Context, id string) error {
	_, err := call[struct{}](ctx, c, &request{
		group: ConfigGroup, method: MethodMemberRemove, write: true, body: func(bool) any { return memberID{id} },
	})
	return err
}
