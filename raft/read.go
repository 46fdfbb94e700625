package raft

// pendingRead waits until a majority has answered heartbeat round seq or a later one,
// which proves that no other leader had been elected when the request came.
type pendingRead struct {
	id    uint64
	index uint64
	seq   uint64
}

// ReadIndex registers read requests and starts one heartbeat round for all of them. Once
// confirmed they appear in Output.Reads; a core that stops leading drops them. It returns
// false if the core is not the leader.
func (c *Core) ReadIndex(now Time, ids []uint64) bool {
	c.advance(now)
	if c.role != Leader {
		return false
	}
	// Entries of earlier terms may be committed without this leader knowing; all of them
	// come before its no-op.
	index := max(c.commit, c.termStart)
	for _, id := range ids {
		c.reads = append(c.reads, pendingRead{id: id, index: index, seq: c.seq + 1})
	}
	c.broadcastHeartbeat()
	return true
}

func (c *Core) confirmReads() {
	if len(c.reads) == 0 {
		return
	}
	n := 0
	for n < len(c.reads) && c.confirmed(c.reads[n].seq) {
		c.out.Reads = append(c.out.Reads, ReadState{ID: c.reads[n].id, Index: c.reads[n].index})
		n++
	}
	c.reads = c.reads[n:]
}

func (c *Core) confirmed(seq uint64) bool {
	n := 0
	for _, p := range c.config().Voters() {
		if p == c.opt.Self || c.progress[p].ackSeq >= seq {
			n++
		}
	}
	return n >= c.config().Quorum()
}
