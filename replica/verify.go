package replica

import (
	"context"
	"time"

	"github.com/figlb/figlb/internal/periodic"
	"github.com/figlb/figlb/raft"
)

const (
	// verifyInterval is the time between two rounds of hello calls.
	verifyInterval = 50 * time.Millisecond
	// verifyGrace is the time that a restarted member waits for replies beyond the required
	// ones.
	verifyGrace = 300 * time.Millisecond
)

// verify compares a data directory that existed before the start with what the other members
// have recorded of it, before this member votes. Each group needs replies from one voter less
// than a quorum of its configuration. Replies of further members are awaited for verifyGrace.
func (inc *incarnation) verify(ctx context.Context) {
	since := time.Now()
	ticker := time.NewTicker(verifyInterval)
	defer ticker.Stop()
	for {
		replies := inc.helloAll(ctx)
		complete := len(replies) == len(inc.r.peers.all()) || time.Since(since) > verifyGrace
		unverified := 0
		for _, g := range inc.groups {
			if !g.verify(ctx, replies, complete) {
				unverified++
			}
		}
		if unverified == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// helloAll calls all other members concurrently and returns the replies from this cluster. It
// waits at most verifyGrace for members that do not answer.
func (inc *incarnation) helloAll(ctx context.Context) []helloReply {
	peers := inc.r.peers.all()
	replies := make(chan helloReply, len(peers))
	for _, p := range peers {
		go func() {
			reply, ok := inc.r.callHello(ctx, p, true)
			if !ok || reply.Cluster != inc.cluster.Load() {
				reply = helloReply{}
			}
			replies <- reply
		}()
	}
	grace := time.NewTimer(verifyGrace)
	defer grace.Stop()
	var out []helloReply
	for range peers {
		select {
		case reply := <-replies:
			if reply.Cluster != 0 {
				out = append(out, reply)
			}
		case <-grace.C:
			return out
		}
	}
	return out
}

// verify returns whether this member may vote in the group. If a reply shows that acknowledged
// entries are missing, the directory is discarded. It also returns true if ctx or the
// incarnation has ended, since there is nothing left to wait for.
func (g *group) verify(ctx context.Context, replies []helloReply, complete bool) bool {
	verified, err := withCore(ctx, g, func(now raft.Time, core *raft.Core) bool {
		st := core.Status()
		ev, stale := g.collectEvidence(&st, replies)
		if stale {
			g.inc.discard(g.id)
			return st.Verified
		}
		needed := st.Config.Quorum() - 1
		if st.Verified || ev.voterReplies < needed || (!complete && needed > 0) {
			return st.Verified
		}
		core.SetVerified(now, ev.term, ev.committed)
		return true
	})
	return verified || err != nil
}

// evidence summarises the hello replies of the other members about a group.
type evidence struct {
	voterReplies int    // number of voters that replied
	term         uint64 // the highest in the replies
	committed    raft.Position
}

// collectEvidence summarises the replies about a group. It reports a stale directory if a leader
// of the directory's term or a later one has recorded entries as acknowledged by this member
// that are not in the directory.
func (g *group) collectEvidence(st *raft.Status, replies []helloReply) (ev evidence, stale bool) {
	for _, reply := range replies {
		state, ok := reply.group(g.id)
		if !ok {
			continue
		}
		if state.Term >= st.Term && state.Acked > st.LastIndex {
			return evidence{}, true
		}
		if st.Config.IsVoter(reply.Self) {
			ev.voterReplies++
		}
		ev.term = max(ev.term, state.Term)
		if ev.committed.Before(state.Committed) {
			ev.committed = state.Committed
		}
	}
	return ev, false
}

// group returns the state of a group in the reply.
func (h *helloReply) group(id uint32) (helloGroup, bool) {
	for _, g := range h.Groups {
		if g.Group == id {
			return g, true
		}
	}
	return helloGroup{}, false
}

// snapshotBlockingGroups requests snapshots of the groups that keep the oldest segment of the
// write-ahead log from being removed: groups with little traffic, whose latest snapshot does
// not cover their entries in that segment.
func (inc *incarnation) snapshotBlockingGroups(ctx context.Context) {
	periodic.RunLater(ctx, time.Second, func(context.Context) bool {
		for _, id := range inc.wal.GroupsBlockingCompaction() {
			if g := inc.groups[id]; g != nil {
				g.applier.requestSnapshot()
			}
		}
		return true
	})
}
