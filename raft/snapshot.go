package raft

// incomingSnapshot is a partially received snapshot. Different members may encode the snapshot
// at an index to different bytes, so only chunks of one sender and term are combined.
type incomingSnapshot struct {
	from Peer
	term uint64
	meta SnapshotMeta
	data []byte
}

// startSnapshot starts to send the latest snapshot to a member that needs entries which have
// been compacted.
func (c *Core) startSnapshot(p Peer, pr *progress) {
	pr.state = sendingSnapshot
	pr.inflight = nil
	pr.snap = c.snapshot
	pr.snapOffset = 0
	pr.lastProgressAt = c.now
	c.sendChunk(p, pr)
}

// sendChunk sends the next snapshot chunk. The message holds only its offset; the driver adds
// the data.
func (c *Core) sendChunk(p Peer, pr *progress) {
	c.send(Message{
		Type: MsgSnapshot, To: p, Stamp: c.LogTime(c.now), Acked: pr.match,
		Snap: &SnapshotChunk{Meta: pr.snap, Offset: pr.snapOffset},
	})
}

// ReportMissingSnapshot tells the core that the snapshot which is being sent to p is no longer stored.
// The transfer restarts with the latest snapshot.
func (c *Core) ReportMissingSnapshot(p Peer) {
	if pr := c.progress[p]; c.role == Leader && pr != nil && pr.state == sendingSnapshot {
		pr.snap = c.snapshot
		pr.snapOffset = 0
	}
}

func (c *Core) handleSnapshotReply(m Message) {
	pr := c.progress[m.From]
	if c.role != Leader || pr == nil || m.Snap == nil {
		return
	}
	pr.lastActive = c.now
	if pr.state != sendingSnapshot || m.Snap.Meta.Index != pr.snap.Index || m.Snap.Offset == pr.snapOffset {
		return
	}
	pr.snapOffset = m.Snap.Offset
	pr.lastProgressAt = c.now
	c.sendChunk(m.From, pr)
}

func (c *Core) handleSnapshot(m Message) {
	if m.Snap == nil {
		return
	}
	if m.Snap.Meta.Index <= c.commit {
		c.incoming = nil
		c.sendAfterSync(Message{Type: MsgAppendReply, To: m.From, Index: c.commit})
		return
	}
	in := c.incomingFor(m)
	if m.Snap.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Snap.Data...)
		if m.Snap.Last {
			c.install(in)
			return
		}
	}
	c.send(Message{
		Type: MsgSnapshotReply, To: m.From,
		Snap: &SnapshotChunk{Meta: SnapshotMeta{Index: in.meta.Index}, Offset: uint64(len(in.data))},
	})
}

// incomingFor returns the snapshot that the chunk in m belongs to. A chunk of a different
// snapshot discards what was received before.
func (c *Core) incomingFor(m Message) *incomingSnapshot {
	in := c.incoming
	if in == nil || in.from != m.From || in.term != m.Term || in.meta.Index != m.Snap.Meta.Index {
		in = &incomingSnapshot{from: m.From, term: m.Term, meta: m.Snap.Meta}
		c.incoming = in
	}
	return in
}

// install replaces the log up to the snapshot with the snapshot. If the log holds the
// snapshot's last entry, the entries after it are kept, otherwise the whole log is dropped.
func (c *Core) install(in *incomingSnapshot) {
	c.incoming = nil
	meta := in.meta
	if c.log.matches(meta.Index, meta.Term) {
		c.log.compact(meta.Index)
		c.dropConfigsBefore(meta)
	} else {
		c.log.reset(meta.Index, meta.Term)
		c.configs = []indexedConfig{{index: meta.Index, config: meta.Config}}
		c.out.Entries = nil
	}
	c.snapshot = meta
	c.commit = meta.Index
	c.emitted = meta.Index
	c.out.Committed = nil
	c.observeStamp(meta.Stamp)
	c.out.Install = &Install{Meta: meta, Data: in.data}
	c.sendAfterSync(Message{Type: MsgAppendReply, To: in.from, Index: meta.Index})
}

// SnapshotAt returns the metadata for a snapshot of the state machine after the entry at
// index. It returns false if that entry has not been emitted as committed, is no longer in
// the log, or is not after the latest snapshot.
func (c *Core) SnapshotAt(index uint64) (SnapshotMeta, bool) {
	t, ok := c.log.term(index)
	if !ok || index > c.emitted || index <= c.snapshot.Index {
		return SnapshotMeta{}, false
	}
	meta := SnapshotMeta{Index: index, Term: t, Config: c.configFor(index)}
	if es := c.log.slice(index, index, 0); len(es) == 1 {
		meta.Stamp = es[0].Stamp
	}
	return meta, true
}

// Compact records that the driver has stored a snapshot, and drops the entries up to it except
// the last retain ones, so that a member that lags only slightly can catch up without the
// snapshot.
func (c *Core) Compact(meta SnapshotMeta, retain uint64) {
	if meta.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = meta
	if meta.Index > retain {
		c.log.compact(meta.Index - retain)
	}
	c.dropConfigsBefore(SnapshotMeta{Index: c.log.baseIndex, Config: c.configFor(c.log.baseIndex)})
}

// dropConfigsBefore drops the configurations up to the base's index. The base's configuration
// becomes configs[0].
func (c *Core) dropConfigsBefore(base SnapshotMeta) {
	kept := []indexedConfig{{index: base.Index, config: base.Config}}
	for _, cc := range c.configs {
		if cc.index > base.Index {
			kept = append(kept, cc)
		}
	}
	c.configs = kept
}
