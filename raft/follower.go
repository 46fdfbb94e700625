package raft

// handleFromLeader handles the messages that only the leader of the term sends.
func (c *Core) handleFromLeader(m Message) {
	if c.role == Leader {
		return // only with a corrupted message: a term has one leader
	}
	c.becomeFollower(c.term, m.From)
	c.lastContact = c.now
	c.resetElectionTimer()
	c.observeStamp(m.Stamp)
	if c.lostAcked(m) {
		c.stale = true
		c.verified = false
		return
	}
	switch m.Type {
	case MsgAppend:
		c.handleAppend(m)
	case MsgHeartbeat:
		c.handleHeartbeat(m)
	case MsgSnapshot:
		c.handleSnapshot(m)
	}
}

// lostAcked reports whether the leader of this term has an acknowledgement of entries that
// this directory does not hold: the directory went back to an older state.
func (c *Core) lostAcked(m Message) bool {
	if m.Acked > c.log.last() {
		return true
	}
	if m.Type != MsgHeartbeat || m.LogTerm == 0 {
		return false
	}
	t, ok := c.log.term(m.Acked)
	return ok && t != m.LogTerm
}

func (c *Core) handleHeartbeat(m Message) {
	// The leader sends min(acknowledged, committed): this log holds these entries.
	c.commitTo(min(m.Commit, m.Acked))
	c.send(Message{Type: MsgHeartbeatReply, To: m.From, Index: c.log.last(), Seq: m.Seq, SentAt: m.SentAt})
}

func (c *Core) handleAppend(m Message) {
	if m.Index < c.commit {
		// What is committed agrees with the leader's log.
		c.sendAfterSync(Message{Type: MsgAppendReply, To: m.From, Index: c.commit})
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		hint := c.log.conflictHint(m.Index, m.LogTerm)
		hintTerm, _ := c.log.term(hint)
		c.sendAfterSync(Message{
			Type: MsgAppendReply, To: m.From, Index: m.Index, Reject: true, Hint: hint, LogTerm: hintTerm,
		})
		return
	}
	c.appendNew(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, last))
	c.sendAfterSync(Message{Type: MsgAppendReply, To: m.From, Index: last})
}

// appendNew stores the entries from the first one that the log lacks or holds with another
// term. Entries that the log already holds are left alone, since a delayed message may end
// before the end of the log.
func (c *Core) appendNew(es []Entry) {
	for i, e := range es {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.commit {
			panic("raft: an append conflicts with a committed entry")
		}
		c.persist(es[i:])
		return
	}
}
