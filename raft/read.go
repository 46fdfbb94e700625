package raft

// pendingRead is a read request that waits until a majority has answered heartbeat round seq
// or a later one. This proves that no other leader had been elected when the request arrived.
type pendingRead struct {
	id    uint64
	index uint64 // must be applied before the request is served
	seq   uint64
}

// ReadIndex registers read requests and starts one heartbeat round for all of them. Confirmed
// requests are returned in Output.Reads; a core that loses its leadership drops the pending
// ones. ReadIndex returns false if the core is not the leader.
func (c *Core) ReadIndex(now Time, ids []uint64) bool {
	c.advanceClock(now)
	if c.role != Leader {
		return false
	}
	// Entries of earlier terms may have been committed without this leader knowing it. All of
	// them precede the no-op entry at the start of its term.
	index := max(c.commit, c.termStart)
	for _, id := range ids {
		c.reads = append(c.reads, pendingRead{id: id, index: index, seq: c.seq + 1})
	}
	c.broadcastHeartbeat()
	return true
}

// confirmReads moves the read requests that a majority has confirmed to the output.
func (c *Core) confirmReads() {
	if len(c.reads) == 0 {
		return
	}
	n := 0
	for n < len(c.reads) && c.heartbeatConfirmed(c.reads[n].seq) {
		c.out.Reads = append(c.out.Reads, ReadState{ID: c.reads[n].id, Index: c.reads[n].index})
		n++
	}
	c.reads = c.reads[n:]
}

// heartbeatConfirmed reports whether a majority of the voters, including this one, has
// answered heartbeat round seq or a later one.
func (c *Core) heartbeatConfirmed(seq uint64) bool {
	n := 0
	for _, p := range c.config().Voters() {
		if p == c.opt.Self || c.progress[p].ackSeq >= seq {
			n++
		}
	}
	return n >= c.config().Quorum()
}
