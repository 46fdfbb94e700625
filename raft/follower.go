package raft

// handleFromLeader handles messages of the types that only the leader of the term sends.
func (c *Core) handleFromLeader(m Message) {
	if c.role == Leader {
		return // can only be a corrupted message, since a term has one leader
	}
	c.becomeFollower(c.term, m.From)
	c.lastContact = c.now
	c.resetElectionTimer()
	c.observeStamp(m.Stamp)
	if c.lostAckedEntries(m) {
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

// lostAckedEntries reports whether the leader's message shows that this member has
// acknowledged entries which its log does not hold. Its data directory has then been reverted
// to an older state.
func (c *Core) lostAckedEntries(m Message) bool {
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
	// The leader sends a commit index of at most m.Acked, and lostAckedEntries has checked
	// that this log reaches m.Acked.
	c.commitTo(min(m.Commit, m.Acked))
	c.send(Message{Type: MsgHeartbeatReply, To: m.From, Index: c.log.last(), Seq: m.Seq, SentAt: m.SentAt})
}

func (c *Core) handleAppend(m Message) {
	if m.Index < c.commit {
		// Committed entries are the same in the leader's log.
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

// appendNew appends es from the first entry that the log lacks or holds with a different
// term. If the log holds all of es, it is not truncated after them: a delayed message may end
// before the end of the log.
func (c *Core) appendNew(es []Entry) {
	for i, e := range es {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.commit {
			panic("raft: append message conflicts with a committed entry")
		}
		c.persist(es[i:])
		return
	}
}
