package stateclient

import (
	"context"

	"github.com/figlb/figlb/fleet"
)

// KnownBodies asks the leader of the ledger group which bodies of turns it refers to.
func (c *Client) KnownBodies(ctx context.Context, req *fleet.KnownRequest) (*fleet.KnownReply, error) {
	return callController[fleet.KnownReply](ctx, c, fleet.LedgerGroup, fleet.MethodKnownBodies, false, req)
}
