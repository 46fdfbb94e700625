package replica

import (
	"context"
	"time"

	"github.com/figlb/figlb/internal/periodic"
	"github.com/figlb/figlb/raft"
)

const (
	verifyInterval = 50 * time.Millisecond
	// verifyGrace is the time that a restarted member waits for the answers of the members
	// beyond the necessary ones.
	verifyGrace = 300 * time.Millisecond
)

// verify compares a directory that existed before with what the other members have recorded
// of it, before this member votes. It needs the answers of a majority less one of the other
// voters in each group.
func (inc *incarnation) verify(ctx context.Context) {
	since := time.Now()
	t := time.NewTicker(verifyInterval)
	defer t.Stop()
	for {
		replies := inc.askAll(ctx)
		complete := len(replies) == len(inc.r.peers.all()) || time.Since(since) > verifyGrace
		open := 0
		for _, g := range inc.groups {
			if !g.verify(ctx, replies, complete) {
				open++
			}
		}
		if open == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// askAll calls all other members at once and returns the answers of this cluster. It does
// not wait longer than the grace for members that do not answer.
func (inc *incarnation) askAll(ctx context.Context) []helloReply {
	peers := inc.r.peers.all()
	answers := make(chan helloReply, len(peers))
	for _, p := range peers {
		go func() {
			reply, ok := inc.r.callHello(ctx, p, true)
			if !ok || reply.Cluster != inc.cluster.Load() {
				reply = helloReply{}
			}
			answers <- reply
		}()
	}
	grace := time.NewTimer(verifyGrace)
	defer grace.Stop()
	var out []helloReply
	for range peers {
		select {
		case reply := <-answers:
			if reply.Cluster != 0 {
				out = append(out, reply)
			}
		case <-grace.C:
			return out
		}
	}
	return out
}

// verify returns whether the group may vote. If an answer shows that acknowledged entries
// are missing, the directory is discarded.
func (g *group) verify(ctx context.Context, replies []helloReply, complete bool) bool {
	verified, err := ask(ctx, g, func(now raft.Time, core *raft.Core) bool {
		st := core.Status()
		ev, stale := g.weigh(&st, replies)
		if stale {
			g.inc.discard(g.id)
			return st.Verified
		}
		needed := st.Config.Quorum() - 1
		if st.Verified || ev.others < needed || (!complete && needed > 0) {
			return st.Verified
		}
		core.SetVerified(now, ev.term, ev.committed)
		return true
	})
	return verified || err != nil
}

// evidence is what the other voters of a group know of it.
type evidence struct {
	others    int    // voters that answered
	term      uint64 // the latest one seen
	committed raft.Position
}

// weigh collects the answers about a group. It reports a stale directory if one of them holds
// more of this member's entries than the directory does.
func (g *group) weigh(st *raft.Status, replies []helloReply) (ev evidence, stale bool) {
	for _, reply := range replies {
		hg, ok := reply.group(g.id)
		if !ok {
			continue
		}
		if hg.Term >= st.Term && hg.Acked > st.Last {
			return evidence{}, true
		}
		if st.Config.IsVoter(reply.Self) {
			ev.others++
		}
		ev.term = max(ev.term, hg.Term)
		if ev.committed.Before(hg.Committed) {
			ev.committed = hg.Committed
		}
	}
	return ev, false
}

func (h *helloReply) group(id uint32) (helloGroup, bool) {
	for _, g := range h.Groups {
		if g.Group == id {
			return g, true
		}
	}
	return helloGroup{}, false
}

// freeSegments makes groups with little traffic take a snapshot where their entries are all
// that keeps the oldest segment of the log.
func (inc *incarnation) freeSegments(ctx context.Context) {
	periodic.RunLater(ctx, time.Second, func(context.Context) bool {
		for _, id := range inc.wal.Blocking() {
			if g := inc.groups[id]; g != nil {
				g.applier.wantSnapshot()
			}
		}
		return true
	})
}
