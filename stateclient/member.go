package stateclient

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

// Members returns the status of each reachable member and the error of each unreachable
// one, both keyed by address.
func (c *Client) Members(ctx context.Context) (map[string]structs.MemberStatus, map[string]error) {
	return callAllMembers[structs.MemberStatus](ctx, c, MethodStatus, struct{}{})
}

// callAllMembers calls a method once on each member. It returns the replies and the errors by
// address.
func callAllMembers[R any](ctx context.Context, c *Client, method string, body any) (map[string]R, map[string]error) {
	var mu sync.Mutex
	replies, failures := map[string]R{}, map[string]error{}
	var wg sync.WaitGroup
	for _, addr := range c.members {
		wg.Go(func() {
			reply, err := attempt[R](ctx, c, addr, &request{method: method}, body)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failures[addr] = err
				return
			}
			replies[addr] = *reply
		})
	}
	wg.Wait()
	return replies, failures
}

// RemoveMember removes a member from all groups. It calls all members repeatedly until
// the leader of each group has removed it, and gives up when no member replies or ctx ends.
func (c *Client) RemoveMember(ctx context.Context, id string) error {
	backoff := firstBackoff
	for {
		replies, failed := callAllMembers[structs.GroupsReply](ctx, c, MethodMemberRemove, &structs.RemoveMember{ID: id})
		done := map[uint32]bool{}
		for _, r := range replies {
			for _, g := range r.Groups {
				done[g] = true
			}
		}
		if len(done) > c.groups {
			return nil
		}
		if len(replies) == 0 || !sleep(ctx, backoff) {
			return removalError(id, len(done), c.groups+1, failed)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// removalError returns the error for a member that was not removed from all groups. An
// error reply of a member takes precedence.
func removalError(id string, done, all int, failed map[string]error) error {
	for _, err := range failed {
		if e := new(errs.Error); errors.As(err, &e) {
			return e
		}
	}
	return errs.New(errs.Uncertain, "look at 'figlbctl member list' and repeat the command",
		"member %s is removed from %d of %d groups", id, done, all).WithRun(errs.RunUnknown)
}

// snapshotWait is how long a member may take to encode or load one group.
const snapshotWait = 30 * time.Second

// SaveSnapshot returns the state of all groups.
func (c *Client) SaveSnapshot(ctx context.Context) ([]byte, error) {
	var site []structs.GroupSnapshot
	for g := range uint32(c.groups + 1) {
		r, err := call[structs.GroupSnapshot](ctx, c, &request{
			group: g, method: MethodSnapshotSave, wait: snapshotWait,
			body: func(bool) any { return &structs.GroupSnapshot{Group: g} },
		})
		if err != nil {
			return nil, err
		}
		site = append(site, *r)
	}
	out, err := msgpack.Marshal(site)
	return out, errors.Wrap(err, "encode snapshot")
}

// LoadSnapshot replaces the state of all groups of a new site. Repeating it with the same
// snapshot changes nothing. The config group is loaded last, because entries start to work
// once there is a configuration.
func (c *Client) LoadSnapshot(ctx context.Context, snapshot []byte) error {
	var site []structs.GroupSnapshot
	if err := msgpack.Unmarshal(snapshot, &site); err != nil {
		return errs.New(errs.BadRequest, "check the file", "the file is not a snapshot: %v", err)
	}
	if len(site) != c.groups+1 {
		return errs.New(errs.BadRequest, "use a site with the same number of groups",
			"the snapshot has %d organisation groups, the site %d", len(site)-1, c.groups)
	}
	digest := sha256.Sum256(snapshot)
	for _, g := range slices.Backward(site) {
		g.RequestID = "load/" + hex.EncodeToString(digest[:])
		_, err := call[ignoredReply](ctx, c, &request{
			group: g.Group, method: MethodSnapshotLoad, write: true, wait: snapshotWait, body: func(bool) any { return &g },
		})
		if err != nil {
			return err
		}
	}
	return nil
}
