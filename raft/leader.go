package raft

import (
	"slices"
	"time"
)

const (
	// maxInflight bounds the append messages sent to a member ahead of acknowledgements.
	maxInflight = 256
	// resendAfter is the time without progress after which a leader sends again from the
	// last acknowledged entry. It is longer than a slow sync.
	resendAfter = 200 * time.Millisecond
)

type progressState uint8

const (
	probing progressState = iota // one append at a time until the logs agree
	replicating
	sendingSnapshot
)

// progress is what a leader knows of another member.
type progress struct {
	state      progressState
	match      uint64 // acknowledged as durable
	next       uint64
	paused     bool // probing: an append is under way
	inflight   []uint64
	lastActive Time // last message received
	movedAt    Time // last acknowledgement or resend
	ackSeq     uint64
	ackSentAt  Time // send time of the latest heartbeat that the member has answered
	snap       SnapshotMeta
	snapOffset uint64
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.opt.Self
	c.votes = nil
	c.progress = map[Peer]*progress{}
	c.electedAt = c.now
	c.heartbeatDue = c.now
	c.termStart = c.log.last() + 1
	c.syncProgress()
	c.appendAsLeader([]Entry{{Kind: EntryNoop}})
	c.broadcastHeartbeat()
}

// syncProgress follows a change of the configuration.
func (c *Core) syncProgress() {
	for p := range c.progress {
		if _, ok := c.config().Find(p); !ok {
			delete(c.progress, p)
		}
	}
	for _, m := range c.config().Members {
		if c.progress[m.Peer] == nil {
			c.progress[m.Peer] = &progress{next: c.log.last() + 1, lastActive: c.now, movedAt: c.now}
		}
	}
}

// peers returns the other members in configuration order, which keeps the core
// deterministic.
func (c *Core) peers() []Peer {
	var out []Peer
	for _, m := range c.config().Members {
		if m.Peer != c.opt.Self {
			out = append(out, m.Peer)
		}
	}
	return out
}

func (c *Core) tickLeader() {
	if c.now-c.quorumContact() > c.opt.ElectionMax {
		c.becomeFollower(c.term, Peer{})
		return
	}
	if c.now >= c.heartbeatDue {
		c.broadcastHeartbeat()
	}
}

// Propose appends commands to the log and returns the index of the first one and the term.
// It returns false if the core is not the leader.
func (c *Core) Propose(now Time, cmds [][]byte) (first, term uint64, ok bool) {
	c.advance(now)
	if c.role != Leader || len(cmds) == 0 {
		return 0, 0, false
	}
	es := make([]Entry, len(cmds))
	for i, cmd := range cmds {
		es[i] = Entry{Kind: EntryCommand, Data: cmd}
	}
	c.appendAsLeader(es)
	return es[0].Index, c.term, true
}

// appendAsLeader stamps and appends entries. The core's own acknowledgement is sent to
// itself once they are durable.
func (c *Core) appendAsLeader(es []Entry) {
	stamp := c.LogTime(c.now)
	for i := range es {
		es[i].Index = c.log.last() + 1 + uint64(i)
		es[i].Term = c.term
		es[i].Stamp = stamp
	}
	c.persist(es)
	c.syncProgress()
	c.sendAfterSync(Message{Type: MsgAppendReply, To: c.opt.Self, Index: c.log.last()})
	for _, p := range c.peers() {
		c.replicate(p)
	}
}

// sendLimit returns the last entry that a member may get. A learner gets committed entries
// only. With a longer log it could refuse its vote to a member that counts it as a voter
// already, while it may not stand for election itself, and the group would be stuck.
func (c *Core) sendLimit(p Peer) uint64 {
	if c.config().IsVoter(p) {
		return c.log.last()
	}
	return c.commit
}

// replicate sends what a member lacks, within the limit of messages under way.
func (c *Core) replicate(p Peer) {
	pr := c.progress[p]
	limit := c.sendLimit(p)
	for pr.next <= limit && c.maySend(pr) {
		if !c.sendAppend(p, pr) {
			return
		}
	}
}

func (c *Core) maySend(pr *progress) bool {
	switch pr.state {
	case probing:
		return !pr.paused
	case replicating:
		return len(pr.inflight) < maxInflight
	}
	return false
}

// sendAppend sends entries from pr.next, or starts a snapshot if they were compacted.
func (c *Core) sendAppend(p Peer, pr *progress) bool {
	prev := pr.next - 1
	prevTerm, ok := c.log.term(prev)
	if !ok {
		c.startSnapshot(p, pr)
		return false
	}
	es := c.log.slice(pr.next, c.sendLimit(p), c.opt.MaxAppendBytes)
	c.send(Message{
		Type: MsgAppend, To: p, Index: prev, LogTerm: prevTerm, Entries: es,
		Commit: c.commit, Stamp: c.LogTime(c.now), Acked: pr.match,
	})
	if len(pr.inflight) == 0 {
		pr.movedAt = c.now
	}
	if pr.state == probing {
		pr.paused = true
		return true
	}
	pr.next += uint64(len(es))
	pr.inflight = append(pr.inflight, pr.next-1)
	return true
}

func (c *Core) broadcastHeartbeat() {
	c.seq++
	c.heartbeatDue = c.now + c.opt.Heartbeat
	for _, p := range c.peers() {
		pr := c.progress[p]
		ackedTerm, _ := c.log.term(pr.match)
		c.send(Message{
			Type: MsgHeartbeat, To: p, LogTerm: ackedTerm, Commit: min(pr.match, c.commit),
			Stamp: c.LogTime(c.now), Acked: pr.match, Seq: c.seq, SentAt: c.now,
		})
	}
	c.confirmReads()
}

func (c *Core) handleAppendReply(m Message) {
	pr := c.progress[m.From]
	if c.role != Leader || pr == nil {
		return
	}
	pr.lastActive = c.now
	if m.Reject {
		c.handleReject(m, pr)
		return
	}
	if pr.state == probing || (pr.state == sendingSnapshot && m.Index >= pr.snap.Index) {
		pr.state = replicating
		pr.inflight = nil
		pr.next = max(pr.match, m.Index) + 1
	}
	if m.Index > pr.match {
		pr.match = m.Index
		pr.movedAt = c.now
		c.advanceCommit()
	}
	pr.next = max(pr.next, pr.match+1)
	done, _ := slices.BinarySearch(pr.inflight, pr.match+1)
	pr.inflight = pr.inflight[done:]
	if c.role == Leader && m.From != c.opt.Self {
		c.replicate(m.From)
	}
}

// handleReject moves back to where the logs may agree. A reply about an entry that has been
// acknowledged since then is out of date.
func (c *Core) handleReject(m Message, pr *progress) {
	if m.Index <= pr.match || pr.state == sendingSnapshot || m.From == c.opt.Self {
		return
	}
	if pr.state == probing && m.Index != pr.next-1 {
		return
	}
	hint := c.log.conflictHint(min(m.Hint, m.Index-1), m.LogTerm)
	next := max(pr.match, hint) + 1
	c.probeFrom(m.From, pr, next)
}

func (c *Core) probeFrom(p Peer, pr *progress, next uint64) {
	pr.state = probing
	pr.paused = false
	pr.inflight = nil
	pr.next = next
	pr.movedAt = c.now
	c.sendAppend(p, pr)
}

func (c *Core) handleHeartbeatReply(m Message) {
	pr := c.progress[m.From]
	if c.role != Leader || pr == nil {
		return
	}
	pr.lastActive = c.now
	pr.ackSeq = max(pr.ackSeq, m.Seq)
	pr.ackSentAt = max(pr.ackSentAt, m.SentAt)
	c.confirmReads()
	c.resendIfStuck(m.From, pr)
}

// resendIfStuck repairs the loss of an append, a snapshot chunk or their replies.
func (c *Core) resendIfStuck(p Peer, pr *progress) {
	if pr.match >= c.sendLimit(p) || c.now-pr.movedAt < resendAfter {
		return
	}
	if pr.state == sendingSnapshot {
		pr.movedAt = c.now
		c.sendChunk(p, pr)
		return
	}
	next := pr.next
	if pr.state == replicating {
		next = pr.match + 1
	}
	c.probeFrom(p, pr, next)
}

// advanceCommit commits what a majority of the voters has made durable. Entries of earlier
// terms are committed only through one of this term.
func (c *Core) advanceCommit() {
	voters := c.config().Voters()
	if len(voters) == 0 {
		return
	}
	matches := make([]uint64, len(voters))
	for i, p := range voters {
		matches[i] = c.progress[p].match
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.config().Quorum()]
	if index < c.termStart {
		return
	}
	if index <= c.commit {
		return
	}
	c.commitTo(index)
	c.replicateToLearners()
	if cfg := c.configAt(); cfg.index <= c.commit && !cfg.config.IsVoter(c.opt.Self) {
		c.stepDownAfterRemoval()
	}
}

func (c *Core) replicateToLearners() {
	for _, m := range c.config().Members {
		if !m.Voter && m.Peer != c.opt.Self {
			c.replicate(m.Peer)
		}
	}
}

// stepDownAfterRemoval ends the leadership of a member whose removal is committed. The
// others learn of the commit first.
func (c *Core) stepDownAfterRemoval() {
	c.broadcastHeartbeat()
	c.becomeFollower(c.term, Peer{})
}

// quorumContact returns the time up to which a majority is known to follow this leader.
func (c *Core) quorumContact() Time {
	voters := c.config().Voters()
	times := make([]Time, 0, len(voters))
	for _, p := range voters {
		switch {
		case p == c.opt.Self:
			times = append(times, c.now)
		default:
			times = append(times, c.progress[p].ackSentAt)
		}
	}
	slices.Sort(times)
	return max(c.electedAt, times[len(times)-c.config().Quorum()])
}

// LeaseUntil returns the time at which the leader's lease ends: until then no other member
// can have been elected. It is zero on other members and until a majority has confirmed.
func (c *Core) LeaseUntil() Time {
	if c.role != Leader {
		return 0
	}
	t := c.quorumContact()
	if t == c.electedAt && !c.soleVoter() {
		return 0
	}
	return t + c.opt.ElectionMin - c.opt.LeaseMargin
}
