package stateclient

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// ignored is a reply whose content does not matter.
type ignored struct{}

// DecodeMsgpack skips the reply.
func (*ignored) DecodeMsgpack(d *msgpack.Decoder) error { return d.Skip() }

// Assign waits in the queue of a pool's scheduler for a target, until ctx ends. After a
// change of leader it is sent again under the same id.
func (c *Client) Assign(ctx context.Context, r structs.AssignRequest) (*structs.Assignment, error) {
	return call[structs.Assignment](ctx, c, &request{
		group: c.PoolGroup(r.Pool), method: MethodSchedAssign, unlimited: true, body: func(bool) any { return &r },
	})
}

// ReleaseSlot gives a slot back.
func (c *Client) ReleaseSlot(ctx context.Context, r structs.ReleaseSlot) error {
	_, err := query[ignored](ctx, c, c.PoolGroup(r.Pool), MethodSchedRelease, &r)
	return err
}

// ReportSlots lists an entry's slots in use in one pool.
func (c *Client) ReportSlots(ctx context.Context, r structs.ReportSlots) error {
	_, err := query[ignored](ctx, c, c.PoolGroup(r.Pool), MethodSchedReport, &r)
	return err
}

// Targets returns the targets as their schedulers see them. A scheduler lists the
// targets of the pools that it leads.
func (c *Client) Targets(ctx context.Context) ([]structs.TargetStatus, error) {
	var out []structs.TargetStatus
	seen := map[string]bool{}
	for g := 1; g <= c.groups; g++ {
		list, err := query[[]structs.TargetStatus](ctx, c, uint32(g), MethodSchedTargets, &structs.GroupSnapshot{Group: uint32(g)})
		if errs.Is(err, errs.NotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, t := range *list {
			if !seen[t.Name] {
				seen[t.Name] = true
				out = append(out, t)
			}
		}
	}
	return out, nil
}
